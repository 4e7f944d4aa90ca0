#pragma once

#include <cstdint>
#include <string_view>

namespace dogwoodvalve {

/// Receives each invariant that failed. The default handler logs nothing and counts; the daemon
/// installs one that logs, and the tests one that aborts.
using InvariantHandler = void (*)(std::string_view description);

/// Replaces the handler and returns the one before. Thread-safe.
InvariantHandler setInvariantHandler(InvariantHandler handler);

/// Reports a failed invariant to the handler and counts it.
void reportInvariantFailure(std::string_view description);

/// How many invariants failed since the process began.
std::uint64_t invariantFailures();

/// Checks an invariant in every build. Returns the condition, so that the caller can refuse the
/// request in hand when the invariant does not hold.
inline bool checkInvariant(bool holds, std::string_view description)
{
    if (!holds)
        reportInvariantFailure(description);
    return holds;
}

} // namespace dogwoodvalve
