#pragma once

#include <dogwoodvalve/configuration_state.h>

#include <span>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// One object as declared in a configuration file.
struct ObjectDeclaration
{
    ObjectId id;
    /// Absent: the object is to be removed.
    std::optional<ObjectSpec> spec;
    /// The version that the change is based on, if the file states it.
    std::optional<std::uint64_t> version;
    /// FILE:LINE.
    std::string location;
};

/// Reads objects from YAML files; each YAML document holds one object. If any object is invalid,
/// none is returned; the error names the file, line, key and remedy.
Result<std::vector<ObjectDeclaration>> readConfigurationFiles(std::span<const std::string> files);

/// Like readConfigurationFiles, for the text of one file; `file` is its name in errors.
Result<std::vector<ObjectDeclaration>> readConfigurationText(std::string_view text,
                                                             const std::string &file);

} // namespace dogwoodvalve
