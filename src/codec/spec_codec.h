#pragma once

#include <dogwoodvalve/specs.h>

#include <nlohmann/json_fwd.hpp>

namespace dogwoodvalve {

/// An error in a spec and the path of the key that caused it, such as limits.weight.
struct SpecError
{
    std::string path;
    Error error;
};

/// Reads a spec. Unknown keys, wrong types and values out of range are errors. If failedPath is not
/// null, the path of the invalid key is stored there. Errors: InvalidArgument.
Result<ObjectSpec> readSpec(ObjectKind kind, const nlohmann::json &json,
                            std::string *failedPath = nullptr);

/// Writes a spec in the format that readSpec reads. Equal specs give equal JSON.
nlohmann::json writeSpec(const ObjectSpec &spec);

/// Converts a key hash to lower-case hexadecimal digits and back.
std::string toHex(const KeyHash &hash);
Result<KeyHash> keyHashFromHex(std::string_view text);

} // namespace dogwoodvalve
