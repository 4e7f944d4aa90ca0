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

/// The part of a request key that an entry host issues. It identifies the only process that may run
/// requests with the key, and the epoch in which it was issued.
struct KeyPrefix
{
    std::string entryHost;
    /// Boot number of the issuing process; it changes when the host restarts.
    std::uint64_t boot = 0;
    std::uint32_t epoch = 0;

    /// ENTRYHOST/BOOT/EPOCH, with the boot number in hexadecimal.
    std::string text() const;
    bool operator==(const KeyPrefix &) const = default;
};

/// A key as the caller sends it: PREFIX.SUFFIX.
struct RequestKey
{
    KeyPrefix prefix;
    std::string suffix;

    /// Errors: InvalidArgument if the text is not a valid key.
    static Result<RequestKey> parse(std::string_view text);
};

/// Whether a request with a key may run.
enum class KeyDecision {
    /// The key has not been used: run the request.
    Run,
    /// Another process issued the key; only that process may run the request.
    OtherOwner,
    /// A request with this key is running now.
    Running,
    /// A request with this key ran, or may have run.
    Used,
    /// The ledger does not hold the epoch of the key, usually because it is too old.
    Expired,
    /// The epoch of the key already holds the maximum number of keys.
    Full,
};

/// Limits of a ledger.
struct KeyLedgerOptions
{
    Duration epochLength = 300s;
    /// Number of epochs whose keys are kept, including the current one.
    std::uint32_t epochsKept = 4;
    std::size_t keysPerEpoch = 100'000;
};

/// Ensures that requests with a key run at most once. Only the process that issued the prefix of a
/// key runs requests with it. That process keeps the keys of its most recent epochs and refuses
/// older ones. This needs no shared state and no lease that could expire, and a process that was
/// frozen cannot run a request a second time when it resumes.
class KeyLedger
{
public:
    KeyLedger(std::string entryHost, std::uint64_t boot, TimePoint start, KeyLedgerOptions options);

    /// Returns the prefix to issue to callers now.
    KeyPrefix currentPrefix(TimePoint now);

    /// Returns what admit() would return now, without recording the key.
    KeyDecision peek(std::string_view workspace, const RequestKey &key, TimePoint now);

    /// Decides whether a request may run and, if so, records its key as running. After Run, the
    /// caller must call recordOutcome() once.
    KeyDecision admit(std::string_view workspace, const RequestKey &key, TimePoint now);

    /// Records how an admitted request ended. Only NotRun frees the key for another attempt.
    void recordOutcome(std::string_view workspace, const RequestKey &key, Outcome outcome);

    /// The number of keys held.
    std::size_t size() const;
    /// Estimated memory of one key in bytes, including the overhead of hash table and allocator.
    static std::size_t bytesPerKey();

private:
    /// A digest of workspace and suffix, so that the memory does not depend on their length.
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
