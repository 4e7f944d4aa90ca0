#pragma once

#include <dogwoodvalve/specs.h>

#include <nlohmann/json_fwd.hpp>

namespace dogwoodvalve {

/// Where reading a spec failed: the path of keys, such as limits.weight, beside the error.
struct SpecError
{
    std::string path;
    Error error;
};

/// Reads a spec. Unknown keys, wrong types and values out of range are refused; the path of the
/// key at fault is stored if wanted.
Result<ObjectSpec> readSpec(ObjectKind kind, const nlohmann::json &json,
                            std::string *failedPath = nullptr);

/// Writes a spec in the form that readSpec reads. The same spec always gives the same JSON.
nlohmann::json writeSpec(const ObjectSpec &spec);

/// The lower-case hexadecimal form of a hash, and back.
std::string toHex(const KeyHash &hash);
Result<KeyHash> keyHashFromHex(std::string_view text);

} // namespace dogwoodvalve
