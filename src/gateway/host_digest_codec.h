#pragma once

#include <dogwoodvalve/host_table.h>
#include <dogwoodvalve/result.h>

#include <cstdint>
#include <span>
#include <vector>

namespace dogwoodvalve {

/// A digest as CBOR, small enough for one datagram.
std::vector<std::uint8_t> encodeDigest(const HostDigest &digest);
/// Errors: Malformed.
Result<HostDigest> decodeDigest(std::span<const std::uint8_t> bytes);

} // namespace dogwoodvalve
