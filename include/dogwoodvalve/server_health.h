#pragma once

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// What a request showed about a server.
enum class ServerEvidence {
    Served,
    /// It answered that it can't take the request now.
    Refused,
    /// It failed the request: a broken, garbled or missing answer.
    Failed,
    /// A request could not reach it, or fell silent there, or another server named it as the cause.
    Unreachable,
    /// It did not answer a direct question either.
    ProbeFailed,
    /// It answered a direct question.
    ProbeSucceeded,
};

std::string_view toString(ServerEvidence evidence);

/// Ejects servers by what requests show, for a time that doubles with each further failure, and
/// lets single requests through afterwards to find out whether they have recovered.
class ServerHealth
{
public:
    /// A question that went unanswered longer ago says nothing any more.
    static constexpr Duration FailedProbeMaxAge = std::chrono::seconds(2);

    void recordEvidence(std::string_view id, std::int64_t startedAtMs, ServerEvidence evidence,
                        TimePoint now);
    /// Several other hosts say that the server does not answer.
    void recordPeerSuspicion(std::string_view id, std::int64_t startedAtMs, TimePoint now);
    /// Servers that left a question of this host unanswered lately. Other hosts count such voices.
    std::vector<std::string> failedProbes(TimePoint now) const;
    /// The server has renewed its registration. One that could not be reached is left out until it
    /// does, since a dead server does not.
    void recordHeartbeat(std::string_view id, std::int64_t startedAtMs, TimePoint now);
    /// Whether new requests may go to the server. A new life of a server starts sound.
    bool usable(std::string_view id, std::int64_t startedAtMs, TimePoint now) const;
    /// Forgets servers that are not registered any more.
    template <class Predicate>
    void retain(Predicate isRegistered)
    {
        std::erase_if(m_servers, [&](const auto &entry) { return !isRegistered(entry.first); });
    }

private:
    struct Record
    {
        std::int64_t startedAtMs = 0;
        double failures = 0;
        int consecutiveEjections = 0;
        TimePoint ejectedUntil {};
        TimePoint updatedAt {};
        /// Unreachable, and no heartbeat since that could not have been under way before.
        bool awaitsHeartbeat = false;
        TimePoint unreachableAt {};
        /// The last question that went unanswered, if none was answered since.
        std::optional<TimePoint> probeFailedAt;
    };

    Record *recordOf(std::string_view id, std::int64_t startedAtMs, bool create);

    std::map<std::string, Record, std::less<>> m_servers;
};

} // namespace dogwoodvalve
