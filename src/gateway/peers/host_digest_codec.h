#pragma once

#include <dogwoodvalve/host_table.h>
#include <dogwoodvalve/result.h>

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace dogwoodvalve {

/// What a host receives from another one.
using PeerDigest = std::variant<HostDigest, RelayDigest>;

/// Encodes a digest as CBOR, small enough for one datagram.
std::vector<std::uint8_t> encodeDigest(const HostDigest &digest);
std::vector<std::uint8_t> encodeRelayDigest(const RelayDigest &digest);
/// Errors: Malformed if the bytes are no CBOR, or a member is missing or of another type.
Result<PeerDigest> decodeDigest(std::span<const std::uint8_t> bytes);
/// Adds a time for which a digest may have waited to be read to all ages in it.
void addDelay(PeerDigest &digest, Duration delay);

} // namespace dogwoodvalve
