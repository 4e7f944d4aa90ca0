#include "net/compression.h"

#include <algorithm>
#include <zlib.h>

namespace dogwoodvalve {

namespace {

/// Texts between hosts are JSON of many similar objects, which shrink to about a tenth.
constexpr std::size_t ExpectedRatio = 8;
constexpr std::size_t MinBufferBytes = 4096;

} // namespace

std::string compressText(std::string_view text)
{
    std::string bytes(compressBound(text.size()), '\0');
    uLongf size = bytes.size();
    // It fails only for lack of memory or of space in the buffer, which is large enough.
    compress2(reinterpret_cast<Bytef *>(bytes.data()), &size,
              reinterpret_cast<const Bytef *>(text.data()), text.size(), Z_BEST_SPEED);
    bytes.resize(size);
    return bytes;
}

Result<std::string> decompressText(std::string_view bytes, std::size_t maxBytes)
{
    std::string text;
    std::size_t capacity = std::max(bytes.size() * ExpectedRatio, MinBufferBytes);
    for (;;) {
        capacity = std::min(capacity, maxBytes);
        text.resize(capacity);
        uLongf size = text.size();
        const int status = uncompress(reinterpret_cast<Bytef *>(text.data()), &size,
                                      reinterpret_cast<const Bytef *>(bytes.data()), bytes.size());
        text.resize(size);
        if (status == Z_OK)
            return text;
        if (status != Z_BUF_ERROR)
            return Error {ErrorKind::Malformed, "the text is not compressed by zlib, or cut off",
                          "run the same version on all hosts"};
        if (capacity == maxBytes)
            return Error {ErrorKind::TooLarge,
                          "the text is longer than " + std::to_string(maxBytes)
                              + " bytes, or cut off",
                          "send a shorter one"};
        capacity *= 2;
    }
}

} // namespace dogwoodvalve
