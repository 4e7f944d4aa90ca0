#pragma once

#include <dogwoodvalve/configuration_state.h>

#include <span>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// One object as an operator wrote it.
struct ObjectDeclaration
{
    ObjectId id;
    /// Absent: the object is to be removed.
    std::optional<ObjectSpec> spec;
    /// The version that the operator builds on, if written.
    std::optional<std::uint64_t> version;
    /// FILE:LINE.
    std::string location;
};

/// Reads objects from YAML files, each document one object. Errors name file, line, key and
/// remedy; one wrong object refuses all.
Result<std::vector<ObjectDeclaration>> readConfigurationFiles(std::span<const std::string> files);

/// The same for the text of one file.
Result<std::vector<ObjectDeclaration>> readConfigurationText(std::string_view text,
                                                             const std::string &file);

} // namespace dogwoodvalve
