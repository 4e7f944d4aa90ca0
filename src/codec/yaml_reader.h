#pragma once

#include <dogwoodvalve/result.h>

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// A YAML document converted to JSON, with the line number of each key path, starting at 1.
struct YamlDocument
{
    nlohmann::json value;
    std::map<std::string, int> lines;

    /// The line of a path, or of its nearest existing parent; 1 if there is none.
    int lineOf(std::string path) const;
};

/// Parses all documents of a YAML text. Plain scalars become numbers, booleans or strings; quoted
/// scalars always become strings. Errors: Malformed, with the line number.
Result<std::vector<YamlDocument>> readYaml(std::string_view text);

/// Returns the content of a file. Errors: NotFound.
Result<std::string> readFile(const std::string &path);

} // namespace dogwoodvalve
