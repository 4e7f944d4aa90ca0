#pragma once

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/sequence.h>
#include <dogwoodvalve/timer_service.h>

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dogwoodvalve {

/// The part of a caller's key that an entry host issues: it says which process alone may run
/// requests with the key, and since when.
struct KeyPrefix
{
    std::string entryHost;
    /// The process that issued it: a restarted host has another boot number.
    std::uint64_t boot = 0;
    std::uint32_t epoch = 0;

    std::string text() const;
    bool operator==(const KeyPrefix &) const = default;
};

/// A key as the caller sends it: PREFIX.SUFFIX.
struct RequestKey
{
    KeyPrefix prefix;
    std::string suffix;

    static Result<RequestKey> parse(std::string_view text);
};

/// What a ledger says to a key.
enum class KeyDecision {
    /// First time: run it.
    Run,
    /// Another process issued the key; it alone may run the request.
    OtherOwner,
    /// The request with this key is running now.
    Running,
    /// The request with this key ran, or may have run.
    Used,
    /// The key is older than the ledger remembers.
    Expired,
    /// The ledger has no room for more keys in this epoch.
    Full,
};

/// Bounds of a ledger.
struct KeyLedgerOptions
{
    Duration epochLength = 300s;
    /// Epochs whose keys are remembered, the current one included.
    std::uint32_t epochsKept = 4;
    std::size_t keysPerEpoch = 100'000;
};

/// Makes requests with a key run at most once. Only the process that issued a key's prefix ever
/// runs it, and that process remembers the keys of its last epochs and refuses older ones. So no
/// state is shared, no lease can lapse, and a process that was frozen does no harm on waking.
class KeyLedger
{
public:
    KeyLedger(std::string entryHost, std::uint64_t boot, TimePoint start, KeyLedgerOptions options);

    /// The prefix to hand to callers now.
    KeyPrefix currentPrefix(TimePoint now);

    /// What admit() would say now.
    KeyDecision peek(std::string_view workspace, const RequestKey &key, TimePoint now);

    /// Decides on a request. After Run the caller must call recordOutcome() once.
    KeyDecision admit(std::string_view workspace, const RequestKey &key, TimePoint now);

    /// Records how an admitted request ended. Only NotRun frees the key for another try.
    void recordOutcome(std::string_view workspace, const RequestKey &key, Outcome outcome);

    std::size_t size() const;
    /// Bytes that one remembered key takes, as laid out by the hash table.
    static std::size_t bytesPerKey();

private:
    /// A digest stands for workspace and suffix, so that a key's size does not count.
    using Digest = std::array<std::uint8_t, 16>;

    struct DigestHasher
    {
        std::size_t operator()(const Digest &digest) const;
    };

    enum class KeyState : std::uint8_t {
        Running,
        Used,
    };

    struct Epoch
    {
        std::uint32_t number = 0;
        std::unordered_map<Digest, KeyState, DigestHasher> keys;
    };

    static Digest digestOf(std::string_view workspace, std::string_view suffix);
    void advance(TimePoint now);
    Epoch *findEpoch(std::uint32_t number);

    std::string m_entryHost;
    std::uint64_t m_boot;
    TimePoint m_start;
    KeyLedgerOptions m_options;
    std::uint32_t m_epoch = 0;
    std::deque<Epoch> m_epochs;
};

} // namespace dogwoodvalve
