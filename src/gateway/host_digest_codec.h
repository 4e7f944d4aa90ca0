#pragma once

#include <dogwoodvalve/host_table.h>
#include <dogwoodvalve/result.h>

#include <cstdint>
#include <span>
#include <vector>

namespace dogwoodvalve {

/// Encodes a digest as CBOR, small enough for one datagram.
std::vector<std::uint8_t> encodeDigest(const HostDigest &digest);
/// Errors: Malformed if the bytes are no CBOR, or a member is missing or of another type.
Result<HostDigest> decodeDigest(std::span<const std::uint8_t> bytes);

} // namespace dogwoodvalve
