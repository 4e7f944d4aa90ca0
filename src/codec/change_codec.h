#pragma once

#include <dogwoodvalve/configuration_state.h>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// A change as it stands in a record of the log: one JSON object.
std::string writeChange(const Change &change);
Result<Change> readChange(std::string_view record);

nlohmann::json outcomeToJson(const ChangeOutcome &outcome);
Result<ChangeOutcome> outcomeFromJson(const nlohmann::json &json);

/// A state as text, one object a line. The same state always gives the same bytes.
std::string writeSnapshot(const ConfigurationState &state);

/// Reads a snapshot. A snapshot that is not whole is refused and changes nothing.
Result<void> readSnapshot(std::string_view text, ConfigurationState &state);

/// A snapshot cut into records of the log's size.
std::vector<std::string> splitSnapshot(const std::string &text, LogOffset nextOffset);

/// Puts together the latest whole snapshot from the records of the snapshot stream.
class SnapshotAssembler
{
public:
    /// Takes the next record in order of offsets.
    void add(std::string_view record);

    /// The text of the latest whole snapshot, or empty.
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
