#pragma once

#include <cstdint>
#include <string_view>

namespace dogwoodvalve {

/// Called with the description of each invariant that fails. None is installed by default; the
/// daemon installs one that logs, and the tests one that aborts.
using InvariantHandler = void (*)(std::string_view description);

/// Replaces the handler and returns the previous one, or nullptr. Thread-safe.
InvariantHandler setInvariantHandler(InvariantHandler handler);

/// Counts a failed invariant and reports it to the handler, if there is one.
void reportInvariantFailure(std::string_view description);

/// Number of failed checks since the start of the process.
std::uint64_t invariantFailures();

/// Checks an invariant, in release builds too. Returns the condition, so that the caller can fail
/// the current request if it does not hold.
inline bool checkInvariant(bool holds, std::string_view description)
{
    if (!holds)
        reportInvariantFailure(description);
    return holds;
}

} // namespace dogwoodvalve
