#pragma once

#include <dogwoodvalve/labels.h>
#include <dogwoodvalve/result.h>
#include <dogwoodvalve/selector.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// Reads the members of a JSON object strictly and remembers the first failure. Members are read
/// by name; rejectUnknownKeys() rejects every member that was not read. After a failure,
/// reading continues with the default values, so that a caller needs to check only once, at the
/// end.
class ObjectReader
{
public:
    ObjectReader(const nlohmann::json &object, std::string path);

    std::string text(std::string_view key, std::string defaultValue = {});
    std::string requiredText(std::string_view key);
    bool flag(std::string_view key, bool defaultValue);
    std::int64_t integer(std::string_view key, std::int64_t defaultValue, std::int64_t min,
                         std::int64_t max);
    double number(std::string_view key, double defaultValue, double min, double max);
    std::vector<std::string> textList(std::string_view key,
                                      std::vector<std::string> defaultValue = {});
    Labels labels(std::string_view key);
    Selector selector(std::string_view key);

    /// Returns the member, or nullptr if it is absent or null. Marks the key as known.
    const nlohmann::json *member(std::string_view key);

    /// Records a failure at a key, unless an earlier one is recorded.
    void fail(std::string_view key, const std::string &message, std::string remedy);
    /// Records the failure of the reader of a nested object, unless an earlier one is recorded.
    void mergeFailure(const ObjectReader &nested);

    /// Records a failure if the object has members that were not read.
    void rejectUnknownKeys();

    const std::optional<Error> &failure() const { return m_failure; }
    const std::string &failedPath() const { return m_failedPath; }
    std::string pathOf(std::string_view key) const;

private:
    const nlohmann::json &m_object;
    std::string m_path;
    std::vector<std::string> m_readKeys;
    std::optional<Error> m_failure;
    std::string m_failedPath;
};

} // namespace dogwoodvalve
