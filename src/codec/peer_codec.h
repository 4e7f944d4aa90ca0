#pragma once

#include <dogwoodvalve/peer_messages.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// The longest message that is read.
constexpr std::size_t MaxPeerMessageBytes = 32 * 1024 * 1024;

/// Writes a message as a CBOR array: its type, then its fields. A newer version may add fields at
/// the end; an older reader passes over them.
std::string writePeerMessage(const PeerMessage &message);

Result<PeerMessage> readPeerMessage(std::string_view bytes);

} // namespace dogwoodvalve
