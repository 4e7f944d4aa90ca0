#pragma once

#include <dogwoodvalve/result.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// A secret that entry hosts share, with the id that frames refer to it by.
struct PeerSecret
{
    std::uint8_t id = 0;
    std::string secret;
};

/// Authenticates the frames of one link between entry hosts. Each side first sends a
/// random nonce. The HMAC-SHA256 of each frame covers both nonces, the direction and a frame
/// counter, so that an attacker cannot forge, alter, replay or reorder frames. Frames are sealed
/// with the first secret and accepted with any of them, so that secrets can be rotated one host at
/// a time.
class FrameAuthenticator
{
public:
    using Nonce = std::array<std::uint8_t, 16>;

    /// The protocol version of this program. Versions that differ by at most one are accepted.
    static constexpr std::uint8_t ProtocolVersion = 1;

    /// The secrets must outlive this object, and there must be at least one.
    FrameAuthenticator(const std::vector<PeerSecret> &secrets, bool isInitiator);

    /// The first frame to send.
    std::string openingFrame() const;

    /// Returns an authenticated frame with the payload. Requires that the peer's opening frame has
    /// been received.
    std::string seal(std::string_view payload);

    /// Verifies a frame and returns its payload, which is empty for the peer's opening frame.
    /// Errors: Unauthorized, Malformed. After an error the link must be closed.
    Result<std::string_view> open(std::string_view frame);

    /// Whether the peer's opening frame has been received.
    bool peerNonceReceived() const { return m_peerNonceReceived; }

private:
    using Mac = std::array<std::uint8_t, 16>;

    Mac computeMac(const std::string &secret, bool fromInitiator, std::uint64_t frameNumber,
                   std::string_view payload) const;
    const PeerSecret *findSecretById(std::uint8_t id) const;

    const std::vector<PeerSecret> &m_secrets;
    bool m_isInitiator;
    bool m_peerNonceReceived = false;
    Nonce m_ownNonce {};
    Nonce m_peerNonce {};
    std::uint64_t m_sentFrames = 0;
    std::uint64_t m_receivedFrames = 0;
};

} // namespace dogwoodvalve
