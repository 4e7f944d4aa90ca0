#pragma once

#include <dogwoodvalve/configuration_state.h>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// Serializes a change as one log record, a JSON object.
std::string writeChange(const Change &change);
/// Parses a log record. Errors: Malformed, InvalidArgument.
Result<Change> readChange(std::string_view record);

nlohmann::json outcomeToJson(const ChangeOutcome &outcome);
Result<ChangeOutcome> outcomeFromJson(const nlohmann::json &json);

/// Serializes a state as text, one JSON object per line. Equal states give equal bytes.
std::string writeSnapshot(const ConfigurationState &state);

/// Restores a state from a snapshot. An incomplete or damaged snapshot returns an error and leaves
/// the state unchanged. Errors: Malformed, InvalidArgument.
Result<void> readSnapshot(std::string_view text, ConfigurationState &state);

/// Splits a snapshot into parts that each fit into one log record.
std::vector<std::string> splitSnapshot(const std::string &text, LogOffset nextOffset);

/// Assembles the latest complete snapshot from the records of the snapshot stream.
class SnapshotAssembler
{
public:
    /// Adds the next record; records must be added in offset order. Malformed records and parts of
    /// snapshots older than the latest are ignored.
    void add(std::string_view record);

    /// The text of the latest complete snapshot, or an empty string.
    const std::string &latest() const { return m_latest; }
    LogOffset latestOffset() const { return m_latestOffset; }

private:
    struct PartialSnapshot
    {
        std::string digest;
        std::size_t parts = 0;
        std::vector<std::string> texts;
    };

    std::map<LogOffset, PartialSnapshot> m_partialSnapshots;
    std::string m_latest;
    LogOffset m_latestOffset = 0;
};

} // namespace dogwoodvalve
