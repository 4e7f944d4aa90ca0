#pragma once

#include <dogwoodvalve/result.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Compresses a text with zlib.
std::string compressText(std::string_view text);

/// Errors: Malformed if the bytes are not zlib's, or TooLarge if the text would be longer than
/// `maxBytes`.
Result<std::string> decompressText(std::string_view bytes, std::size_t maxBytes);

} // namespace dogwoodvalve
