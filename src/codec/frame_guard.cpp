#include "codec/frame_guard.h"

#include "core/mutation.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <cstring>

namespace dogwoodvalve {

namespace {

/// Layout of a frame: version, number of the secret, MAC, payload. An opening frame has a nonce
/// in place of MAC and payload.
constexpr std::size_t HeaderBytes = 2;
constexpr std::size_t MacBytes = 16;
constexpr std::uint8_t OpeningSecretId = 0xff;

Error unauthorised()
{
    return {ErrorKind::Unauthorized, "a frame from a peer is not authentic",
            "give all entry hosts the same peerSecrets"};
}

bool versionAccepted(std::uint8_t version)
{
    const int distance = int(version) - int(FrameGuard::ProtocolVersion);
    return distance >= -1 && distance <= 1;
}

void appendNumber(std::string &text, std::uint64_t number)
{
    for (int shift = 56; shift >= 0; shift -= 8)
        text += static_cast<char>(number >> shift);
}

} // namespace

FrameGuard::FrameGuard(const std::vector<PeerSecret> &secrets, bool outgoing)
    : m_secrets(secrets)
    , m_outgoing(outgoing)
{
    RAND_bytes(m_ownNonce.data(), static_cast<int>(m_ownNonce.size()));
}

std::string FrameGuard::openingFrame() const
{
    std::string frame;
    frame += static_cast<char>(ProtocolVersion);
    frame += static_cast<char>(OpeningSecretId);
    frame.append(m_ownNonce.begin(), m_ownNonce.end());
    return frame;
}

FrameGuard::Mac FrameGuard::macOf(const std::string &secret, bool fromOutgoing,
                                  std::uint64_t number, std::string_view payload) const
{
    std::string text;
    text.reserve(64 + payload.size());
    const Nonce &first = m_outgoing ? m_ownNonce : m_peerNonce;
    const Nonce &second = m_outgoing ? m_peerNonce : m_ownNonce;
    text.append(first.begin(), first.end());
    text.append(second.begin(), second.end());
    text += fromOutgoing ? '>' : '<';
    appendNumber(text, number);
    text += payload;
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> whole {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), whole.data(), &size);
    Mac mac {};
    std::copy_n(whole.begin(), mac.size(), mac.begin());
    return mac;
}

const PeerSecret *FrameGuard::findSecret(std::uint8_t id) const
{
    const auto it = std::find_if(m_secrets.begin(), m_secrets.end(),
                                 [id](const PeerSecret &secret) { return secret.id == id; });
    return it == m_secrets.end() ? nullptr : &*it;
}

std::string FrameGuard::seal(std::string_view payload)
{
    const PeerSecret &secret = m_secrets.front();
    const Mac mac = macOf(secret.secret, m_outgoing, m_sent++, payload);
    std::string frame;
    frame.reserve(HeaderBytes + MacBytes + payload.size());
    frame += static_cast<char>(ProtocolVersion);
    frame += static_cast<char>(secret.id);
    frame.append(mac.begin(), mac.end());
    frame += payload;
    return frame;
}

Result<std::string_view> FrameGuard::open(std::string_view frame)
{
    if (frame.size() < HeaderBytes + MacBytes)
        return Error {ErrorKind::Malformed, "a frame from a peer is too short", ""};
    if (!versionAccepted(static_cast<std::uint8_t>(frame[0])))
        return Error {ErrorKind::Malformed, "a peer speaks another version of the protocol",
                      "run versions of the program that are next to each other"};
    const auto id = static_cast<std::uint8_t>(frame[1]);
    const std::string_view mac = frame.substr(HeaderBytes, MacBytes);
    if (!m_ready) {
        if (id != OpeningSecretId)
            return unauthorised();
        std::memcpy(m_peerNonce.data(), mac.data(), m_peerNonce.size());
        m_ready = true;
        return std::string_view();
    }
    const PeerSecret *secret = findSecret(id);
    if (!secret)
        return unauthorised();
    const std::string_view payload = frame.substr(HeaderBytes + MacBytes);
    const Mac expected = macOf(secret->secret, !m_outgoing, m_received, payload);
    const bool authentic = CRYPTO_memcmp(expected.data(), mac.data(), expected.size()) == 0;
    if (!authentic && !mutated("accept-forged-frames"))
        return unauthorised();
    ++m_received;
    return payload;
}

} // namespace dogwoodvalve
