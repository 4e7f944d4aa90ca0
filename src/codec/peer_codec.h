#pragma once

#include <dogwoodvalve/peer_messages.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Longer messages are rejected as malformed.
constexpr std::size_t MaxPeerMessageBytes = 32 * 1024 * 1024;

/// Writes a message as a CBOR array: its type, then its fields. Newer versions may append
/// fields, which older readers ignore.
std::string writePeerMessage(const PeerMessage &message);

/// Errors: Malformed.
Result<PeerMessage> readPeerMessage(std::string_view bytes);

} // namespace dogwoodvalve
