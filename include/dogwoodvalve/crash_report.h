#pragma once

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace dogwoodvalve {

/// Evidence that a part of a prompt is harmless, though a request with it was on a server that
/// crashed. When hosts merge their reports, the highest value counts.
enum class PartStanding {
    /// No answer to a request with the part is known to have gone on past its beginning.
    Unproven,
    /// There was such an answer before the crash.
    ServedBefore,
    /// There was one that began after the crash, so the part did not cause it.
    Cleared,
};

/// A part of a prompt that may have caused a crash.
struct SuspectedPart
{
    PartStanding standing = PartStanding::Unproven;
    /// Position in the prompt. More requests share the first parts than later ones.
    int position = 0;
    /// The server had begun an answer to a prompt with the part and not delivered any of it.
    bool undelivered = false;
    /// The server ran a request that was to show whether the part crashes servers.
    bool tried = false;

    bool operator==(const SuspectedPart &other) const = default;
};

/// The crash of one start of a server.
struct CrashReport
{
    /// Time since the crash.
    Duration age {};
    /// The parts of prompts that the server had just begun to answer, by id.
    std::map<std::string, SuspectedPart> parts;
    /// The era of the store in which it held this evidence; absent if it is not known to.
    std::optional<std::uint64_t> archivedEra = std::nullopt;
};

/// Crash reports by server and its start.
using CrashReports = std::map<std::string, CrashReport>;

} // namespace dogwoodvalve
