#include "codec/frame_authenticator.h"

#include "core/mutation.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <cstring>

namespace dogwoodvalve {

namespace {

/// Frame layout: version (1 byte), id of the secret (1 byte), MAC, payload. The opening frame holds
/// OpeningFrameMarker as the id and a nonce in place of MAC and payload.
constexpr std::size_t HeaderBytes = 2;
constexpr std::size_t MacBytes = 16;
constexpr std::uint8_t OpeningFrameMarker = 0xff;

Error unauthorizedError()
{
    return {ErrorKind::Unauthorized, "a frame from a peer is not authentic",
            "give all entry hosts the same peerSecrets"};
}

bool isCompatibleVersion(std::uint8_t version)
{
    const int distance = int(version) - int(FrameAuthenticator::ProtocolVersion);
    return distance >= -1 && distance <= 1;
}

void appendBigEndian(std::string &text, std::uint64_t number)
{
    for (int shift = 56; shift >= 0; shift -= 8)
        text += static_cast<char>(number >> shift);
}

} // namespace

FrameAuthenticator::FrameAuthenticator(const std::vector<PeerSecret> &secrets, bool isInitiator)
    : m_secrets(secrets)
    , m_isInitiator(isInitiator)
{
    RAND_bytes(m_ownNonce.data(), static_cast<int>(m_ownNonce.size()));
}

std::string FrameAuthenticator::openingFrame() const
{
    std::string frame;
    frame += static_cast<char>(ProtocolVersion);
    frame += static_cast<char>(OpeningFrameMarker);
    frame.append(m_ownNonce.begin(), m_ownNonce.end());
    return frame;
}

FrameAuthenticator::Mac FrameAuthenticator::computeMac(const std::string &secret,
                                                       bool fromInitiator,
                                                       std::uint64_t frameNumber,
                                                       std::string_view payload) const
{
    std::string text;
    text.reserve(64 + payload.size());
    const Nonce &first = m_isInitiator ? m_ownNonce : m_peerNonce;
    const Nonce &second = m_isInitiator ? m_peerNonce : m_ownNonce;
    text.append(first.begin(), first.end());
    text.append(second.begin(), second.end());
    text += fromInitiator ? '>' : '<';
    appendBigEndian(text, frameNumber);
    text += payload;
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &size);
    Mac mac {};
    std::copy_n(digest.begin(), mac.size(), mac.begin());
    return mac;
}

const PeerSecret *FrameAuthenticator::findSecretById(std::uint8_t id) const
{
    const auto it = std::find_if(m_secrets.begin(), m_secrets.end(),
                                 [id](const PeerSecret &secret) { return secret.id == id; });
    return it == m_secrets.end() ? nullptr : &*it;
}

std::string FrameAuthenticator::seal(std::string_view payload)
{
    const PeerSecret &secret = m_secrets.front();
    const Mac mac = computeMac(secret.secret, m_isInitiator, m_sentFrames++, payload);
    std::string frame;
    frame.reserve(HeaderBytes + MacBytes + payload.size());
    frame += static_cast<char>(ProtocolVersion);
    frame += static_cast<char>(secret.id);
    frame.append(mac.begin(), mac.end());
    frame += payload;
    return frame;
}

Result<std::string_view> FrameAuthenticator::open(std::string_view frame)
{
    if (frame.size() < HeaderBytes + MacBytes)
        return Error {ErrorKind::Malformed, "a frame from a peer is too short", ""};
    if (!isCompatibleVersion(static_cast<std::uint8_t>(frame[0])))
        return Error {ErrorKind::Malformed, "a peer uses an incompatible protocol version",
                      "run program versions at most one protocol version apart"};
    const auto id = static_cast<std::uint8_t>(frame[1]);
    const std::string_view mac = frame.substr(HeaderBytes, MacBytes);
    if (!m_peerNonceReceived) {
        if (id != OpeningFrameMarker)
            return unauthorizedError();
        std::memcpy(m_peerNonce.data(), mac.data(), m_peerNonce.size());
        m_peerNonceReceived = true;
        return std::string_view();
    }
    const PeerSecret *secret = findSecretById(id);
    if (!secret)
        return unauthorizedError();
    const std::string_view payload = frame.substr(HeaderBytes + MacBytes);
    const Mac expected = computeMac(secret->secret, !m_isInitiator, m_receivedFrames, payload);
    const bool authentic = CRYPTO_memcmp(expected.data(), mac.data(), expected.size()) == 0;
    if (!authentic && !mutated("accept-forged-frames"))
        return unauthorizedError();
    ++m_receivedFrames;
    return payload;
}

} // namespace dogwoodvalve
