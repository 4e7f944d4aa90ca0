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
    /// The version that the operator saw; 0 says that the object must not exist.
    std::uint64_t baseVersion = 0;
    /// Absent: remove the object.
    std::optional<ObjectSpec> spec;
};

/// What an operator asks for. Either all operations take effect or none.
struct Change
{
    /// Chosen by the operator's tool and unique; the same id is never applied twice.
    std::string id;
    std::string author;
    std::vector<Operation> operations;
};

/// What became of a change.
struct ChangeOutcome
{
    std::string id;
    LogOffset offset = 0;
    bool accepted = false;
    /// Why it was not accepted; empty otherwise.
    std::string reason;
    /// The change that got in first, if a conflict is the reason.
    std::string conflictsWith;

    bool operator==(const ChangeOutcome &) const = default;
};

/// The configuration as data: what the records of the log, applied in order, amount to. Every
/// process that applies the same records holds the same state, byte for byte.
class ConfigurationState
{
public:
    /// An object with the offset that made it, plus one: its version.
    struct StoredObject
    {
        ObjectSpec spec;
        std::uint64_t version = 0;
        std::string changeId;
    };

    /// How many outcomes of past changes are remembered.
    static constexpr std::size_t MaxOutcomes = 4096;

    /// Applies the record at an offset. Offsets must come in order without a gap; any other is
    /// refused with InvalidArgument and changes nothing. A change that is rejected is no error:
    /// its outcome says so.
    Result<ChangeOutcome> apply(LogOffset offset, const Change &change);

    /// Counts a record that could not be read, so that every process passes over it alike.
    Result<void> skip(LogOffset offset);

    /// The offset that must come next: the number of records in force.
    LogOffset nextOffset() const { return m_nextOffset; }

    /// Why a change would be rejected now, if it would.
    std::optional<ChangeOutcome> validate(const Change &change) const;

    const std::map<ObjectId, StoredObject> &objects() const { return m_objects; }
    const StoredObject *find(const ObjectId &id) const;

    /// The outcome of a change that was applied not too long ago.
    const ChangeOutcome *outcome(std::string_view changeId) const;
    const std::deque<ChangeOutcome> &outcomes() const { return m_outcomes; }

    /// Replaces the whole state, as read from a snapshot.
    void restore(LogOffset nextOffset, std::map<ObjectId, StoredObject> objects,
                 std::deque<ChangeOutcome> outcomes);

private:
    /// Carries out all operations, or none and returns why not.
    std::string applyOperations(LogOffset offset, const Change &change);
    void recordOutcome(ChangeOutcome outcome);

    LogOffset m_nextOffset = 0;
    std::map<ObjectId, StoredObject> m_objects;
    std::deque<ChangeOutcome> m_outcomes;
};

} // namespace dogwoodvalve
