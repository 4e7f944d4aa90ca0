#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dogwoodvalve {

/// Labels of a backend server or a workspace: names with values, kept sorted by name.
class Labels
{
public:
    using Pair = std::pair<std::string, std::string>;

    /// Adds a label or replaces its value.
    void set(std::string_view name, std::string_view value);

    /// The value of a label, or nullptr if there is none.
    const std::string *find(std::string_view name) const;

    const std::vector<Pair> &pairs() const { return m_pairs; }
    bool operator==(const Labels &) const = default;

private:
    std::vector<Pair> m_pairs;
};

} // namespace dogwoodvalve
