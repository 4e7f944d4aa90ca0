#pragma once

#include <dogwoodvalve/result.h>

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// A YAML document as JSON, with the line of each key, counted from 1, by its path.
struct YamlDocument
{
    nlohmann::json value;
    std::map<std::string, int> lines;

    /// The line of a path, or of its nearest parent that is there.
    int lineOf(std::string path) const;
};

/// Reads all documents of a YAML text. Plain scalars become numbers, true, false or text; quoted
/// ones stay text. Errors: Malformed, with the line.
Result<std::vector<YamlDocument>> readYaml(std::string_view text);

/// Reads a whole file. Errors: NotFound.
Result<std::string> readFile(const std::string &path);

} // namespace dogwoodvalve
