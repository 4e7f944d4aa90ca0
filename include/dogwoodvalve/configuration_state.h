#pragma once

#include <dogwoodvalve/specs.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dogwoodvalve {

/// Position of a record in a stream of the platform's log. The first record has offset 0.
using LogOffset = std::uint64_t;

/// One object of a change: its new content, or its removal.
struct Operation
{
    ObjectId id;
    /// The version that the operation was made against; 0 if the object must not exist yet.
    std::uint64_t baseVersion = 0;
    /// Absent: remove the object.
    std::optional<ObjectSpec> spec;
};

/// A set of operations that an operator submits. Either all of them are applied or none.
struct Change
{
    /// Unique, chosen by the operator's tool; the same id is never applied twice.
    std::string id;
    std::string author;
    std::vector<Operation> operations;
};

/// The outcome of a change.
struct ChangeOutcome
{
    std::string id;
    LogOffset offset = 0;
    bool accepted = false;
    /// Why the change was rejected; empty if it was accepted.
    std::string reason;
    /// Id of the change that last wrote the object, if a version conflict is the reason.
    std::string conflictsWith;

    bool operator==(const ChangeOutcome &) const = default;
};

/// The configuration as a replicated state machine: the result of applying the log's records in
/// order. Processes that applied the same records hold the same state, byte for byte.
class ConfigurationState
{
public:
    /// An object with its version, which is the offset of the record that wrote it plus one.
    struct StoredObject
    {
        ObjectSpec spec;
        std::uint64_t version = 0;
        std::string changeId;
    };

    /// Number of outcomes of past changes that are kept.
    static constexpr std::size_t MaxOutcomes = 4096;

    /// Applies the record at an offset. Any offset but nextOffset() fails with InvalidArgument and
    /// changes nothing. A rejected change is no error: its outcome says so. A change whose id is
    /// among the kept outcomes is not applied again and returns the earlier outcome.
    Result<ChangeOutcome> apply(LogOffset offset, const Change &change);

    /// Skips a record that can't be decoded, so that the offsets stay the same in every process.
    /// Any offset but nextOffset() fails with InvalidArgument.
    Result<void> skip(LogOffset offset);

    /// The offset of the next record to apply: the number of records applied or skipped so far.
    LogOffset nextOffset() const { return m_nextOffset; }

    /// Checks the form of a change and the versions that it was made against; apply() checks the
    /// references between objects too. Returns the outcome of a change that would be rejected.
    std::optional<ChangeOutcome> validate(const Change &change) const;

    const std::map<ObjectId, StoredObject> &objects() const { return m_objects; }
    /// The object, or nullptr.
    const StoredObject *find(const ObjectId &id) const;

    /// The outcome of a change, or nullptr if it is not among the kept outcomes.
    const ChangeOutcome *outcome(std::string_view changeId) const;
    const std::deque<ChangeOutcome> &outcomes() const { return m_outcomes; }

    /// Replaces the whole state by that of a snapshot. An older one fails an invariant and changes
    /// nothing.
    void restore(LogOffset nextOffset, std::map<ObjectId, StoredObject> objects,
                 std::deque<ChangeOutcome> outcomes);

private:
    /// Applies all operations and returns an empty text, or applies none and returns the reason.
    std::string applyOperations(LogOffset offset, const Change &change);
    void recordOutcome(ChangeOutcome outcome);

    LogOffset m_nextOffset = 0;
    std::map<ObjectId, StoredObject> m_objects;
    std::deque<ChangeOutcome> m_outcomes;
};

} // namespace dogwoodvalve
