#pragma once

#include <dogwoodvalve/result.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// A secret that entry hosts share, with the number that frames name it by.
struct PeerSecret
{
    std::uint8_t id = 0;
    std::string secret;
};

/// Authenticates the frames of one link between entry hosts. Each side sends a random nonce first;
/// both nonces, the direction and a running number go into each frame's HMAC-SHA256, so that a
/// stranger can neither make, change, repeat nor reorder frames. The first secret seals, all are
/// accepted, which lets an operator change secrets one host after another.
class FrameAuthenticator
{
public:
    using Nonce = std::array<std::uint8_t, 16>;

    /// The version of the protocol that this program speaks. Versions next to it are accepted.
    static constexpr std::uint8_t ProtocolVersion = 1;

    /// The secrets must outlive the guard and there must be at least one.
    FrameAuthenticator(const std::vector<PeerSecret> &secrets, bool isInitiator);

    /// The first frame to send.
    std::string openingFrame() const;

    /// Makes a frame of a payload. Only after the peer's opening frame has come.
    std::string seal(std::string_view payload);

    /// Checks a frame and returns its payload, which is empty for the peer's opening frame.
    /// Errors: Unauthorized, Malformed. After an error the link must be closed.
    Result<std::string_view> open(std::string_view frame);

    /// Whether the peer's opening frame has come.
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
