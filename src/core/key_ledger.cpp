#include "core/mutation.h"

#include <dogwoodvalve/invariant.h>
#include <dogwoodvalve/key_ledger.h>

#include <openssl/sha.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace dogwoodvalve {

namespace {

constexpr std::size_t MinSuffixLength = 8;
constexpr std::size_t MaxSuffixLength = 64;
constexpr std::size_t MaxKeyLength = 256;

bool isSuffixCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
        || c == '_';
}

template <class Number>
bool parseNumber(std::string_view text, Number &number, int base)
{
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, base);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

} // namespace

std::string KeyPrefix::text() const
{
    std::array<char, 17> hex {};
    const auto end = std::to_chars(hex.data(), hex.data() + hex.size(), boot, 16).ptr;
    return entryHost + '/' + std::string(hex.data(), end) + '/' + std::to_string(epoch);
}

Result<RequestKey> RequestKey::parse(std::string_view text)
{
    const Error error {ErrorKind::InvalidArgument, "the request key is not valid",
                       "take a prefix from GET /v1/entries and append '.' and 8 to 64 letters, "
                       "digits, '-' or '_' of your own"};
    if (text.size() > MaxKeyLength)
        return error;
    const std::size_t dot = text.rfind('.');
    const std::size_t second = text.substr(0, std::min(dot, text.size())).rfind('/');
    if (dot == std::string_view::npos || second == std::string_view::npos || second == 0)
        return error;
    const std::size_t first = text.rfind('/', second - 1);
    if (first == std::string_view::npos || first == 0)
        return error;
    RequestKey key;
    key.prefix.entryHost = text.substr(0, first);
    key.suffix = text.substr(dot + 1);
    const bool numbers =
        parseNumber(text.substr(first + 1, second - first - 1), key.prefix.boot, 16)
        && parseNumber(text.substr(second + 1, dot - second - 1), key.prefix.epoch, 10);
    const bool goodSuffix = key.suffix.size() >= MinSuffixLength
        && key.suffix.size() <= MaxSuffixLength
        && std::all_of(key.suffix.begin(), key.suffix.end(), isSuffixCharacter);
    if (!numbers || !goodSuffix)
        return error;
    return key;
}

std::size_t KeyLedger::DigestHasher::operator()(const Digest &digest) const
{
    std::size_t value = 0;
    std::memcpy(&value, digest.data(), sizeof(value));
    return value;
}

KeyLedger::KeyLedger(std::string entryHost, std::uint64_t boot, TimePoint start,
                     KeyLedgerOptions options)
    : m_entryHost(std::move(entryHost))
    , m_boot(boot)
    , m_start(start)
    , m_options(options)
{
    m_epochs.push_back({});
}

KeyLedger::Digest KeyLedger::digestOf(std::string_view workspace, std::string_view suffix)
{
    std::string text(workspace);
    text += '\0';
    text += suffix;
    std::array<std::uint8_t, SHA256_DIGEST_LENGTH> sha256 {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), sha256.data());
    Digest digest {};
    std::copy_n(sha256.begin(), digest.size(), digest.begin());
    return digest;
}

/// Starts the epoch of the given time and drops those that are no longer kept. The epoch never goes
/// back, even if the time does.
void KeyLedger::advance(TimePoint now)
{
    const auto passed = static_cast<std::uint32_t>((now - m_start) / m_options.epochLength);
    if (passed <= m_epoch)
        return;
    m_epoch = passed;
    m_epochs.push_back({m_epoch, {}});
    while (m_epochs.front().number + m_options.epochsKept <= m_epoch)
        m_epochs.pop_front();
}

KeyPrefix KeyLedger::currentPrefix(TimePoint now)
{
    advance(now);
    return {m_entryHost, m_boot, m_epoch};
}

KeyLedger::Epoch *KeyLedger::findEpoch(std::uint32_t number)
{
    const auto it = std::find_if(m_epochs.begin(), m_epochs.end(),
                                 [number](const Epoch &epoch) { return epoch.number == number; });
    return it == m_epochs.end() ? nullptr : &*it;
}

KeyDecision KeyLedger::peek(std::string_view workspace, const RequestKey &key, TimePoint now)
{
    advance(now);
    const bool own = key.prefix.entryHost == m_entryHost && key.prefix.boot == m_boot;
    if (!own && !mutated("run-others-keys"))
        return KeyDecision::OtherOwner;
    const Epoch *epoch = findEpoch(key.prefix.epoch);
    if (!epoch)
        return KeyDecision::Expired;
    const auto it = epoch->keys.find(digestOf(workspace, key.suffix));
    if (it != epoch->keys.end() && !mutated("forget-keys"))
        return it->second == KeyState::Running ? KeyDecision::Running : KeyDecision::Used;
    return epoch->keys.size() >= m_options.keysPerEpoch ? KeyDecision::Full : KeyDecision::Run;
}

KeyDecision KeyLedger::admit(std::string_view workspace, const RequestKey &key, TimePoint now)
{
    const KeyDecision decision = peek(workspace, key, now);
    if (decision == KeyDecision::Run)
        findEpoch(key.prefix.epoch)
            ->keys.emplace(digestOf(workspace, key.suffix), KeyState::Running);
    return decision;
}

void KeyLedger::recordOutcome(std::string_view workspace, const RequestKey &key, Outcome outcome)
{
    Epoch *epoch = findEpoch(key.prefix.epoch);
    if (!epoch)
        return;
    const auto it = epoch->keys.find(digestOf(workspace, key.suffix));
    if (!checkInvariant(it != epoch->keys.end(), "only an admitted key is settled"))
        return;
    if (outcome == Outcome::NotRun)
        epoch->keys.erase(it);
    else
        it->second = KeyState::Used;
}

std::size_t KeyLedger::size() const
{
    std::size_t n = 0;
    for (const Epoch &epoch : m_epochs)
        n += epoch.keys.size();
    return n;
}

std::size_t KeyLedger::bytesPerKey()
{
    // A node holds a link and the pair and is rounded up to allocator units. The table adds about
    // one bucket pointer per key.
    constexpr std::size_t Node = sizeof(void *) + sizeof(std::pair<const Digest, KeyState>);
    constexpr std::size_t Unit = 16;
    constexpr std::size_t AllocatorHeader = 8;
    return (Node + AllocatorHeader + Unit - 1) / Unit * Unit + sizeof(void *);
}

} // namespace dogwoodvalve
