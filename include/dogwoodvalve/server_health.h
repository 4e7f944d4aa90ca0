#pragma once

#include <dogwoodvalve/timer_service.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// What a request or a probe showed about a server.
enum class ServerEvidence {
    /// It answered the request.
    Served,
    /// It answered that it can't accept the request now, for example because it is overloaded.
    Refused,
    /// It failed the request: the answer was incomplete, corrupt or missing.
    Failed,
    /// The connection failed, the request's stream stalled at it, or another server of the path
    /// reported it as unreachable.
    Unreachable,
    /// It did not answer a probe.
    ProbeFailed,
    /// It answered a probe.
    ProbeSucceeded,
};

std::string_view toString(ServerEvidence evidence);

/// Passive outlier detection: ejects servers whose requests or probes fail, for a time that doubles
/// with each consecutive ejection. When the time is over, requests are sent to the server again,
/// and show whether it has recovered.
///
/// A record belongs to one start of a server, given by `startedAtMs`; a restarted server starts
/// without failures, and evidence about an earlier start is ignored.
class ServerHealth
{
public:
    /// Failed probes older than this are disregarded.
    static constexpr Duration FailedProbeMaxAge = std::chrono::seconds(2);

    /// Updates the health of a server, and ejects it if its failures reach the threshold.
    void recordEvidence(std::string_view id, std::int64_t startedAtMs, ServerEvidence evidence,
                        TimePoint now);
    /// The host's own links were lost, so that failures to reach servers since the given time are
    /// no evidence against them. Nor do the pauses that other hosts have reported count any more.
    void withdrawUnreachable(TimePoint since, TimePoint now);
    /// Several other hosts report failed probes of the server. It is not used until it answers a
    /// probe or renews its registration.
    void recordPeerSuspicion(std::string_view id, std::int64_t startedAtMs, TimePoint now);
    /// Ids of servers that failed a recent probe by this host. They are broadcast in digests, and
    /// other hosts suspect a server that enough hosts report. Suspicions of other hosts are not
    /// included.
    std::vector<std::string> failedProbes(TimePoint now) const;
    /// The server has renewed its registration. An unreachable server is not used until it does,
    /// since a dead server can't.
    void recordHeartbeat(std::string_view id, std::int64_t startedAtMs, TimePoint now);
    /// The server has announced that it is leaving. Returns whether that was not known.
    bool recordLeaving(std::string_view id, std::int64_t startedAtMs, TimePoint now);
    /// Whether this start of the server has announced that it is leaving.
    bool isLeaving(std::string_view id, std::int64_t startedAtMs) const;
    /// The server wants no request for a time from now on. Returns the time that is granted, which
    /// is bounded. When it is over, one request shows whether the server accepts more.
    Duration recordPause(std::string_view id, std::int64_t startedAtMs,
                         std::optional<Duration> asked, TimePoint now);
    /// All hosts that reach the server for this one have to leave it in peace for so long. It
    /// counts as a pause until this host's own links change.
    void recordReportedPause(std::string_view id, std::int64_t startedAtMs, Duration left,
                             TimePoint now);
    /// A request is being sent to the server, or along a path through it.
    void recordDispatch(std::string_view id, std::int64_t startedAtMs, TimePoint now);
    /// The server has answered a request without asking for a pause.
    void recordAccepted(std::string_view id, std::int64_t startedAtMs, TimePoint now);
    /// The end of the server's pause, if it is in one.
    std::optional<TimePoint> pausedUntil(std::string_view id, std::int64_t startedAtMs,
                                         TimePoint now) const;
    /// Whether a request of any kind may be sent to the server: it is not leaving and wants no
    /// pause.
    bool acceptsCalls(std::string_view id, std::int64_t startedAtMs, TimePoint now) const
    {
        return !isLeaving(id, startedAtMs) && !pausedUntil(id, startedAtMs, now);
    }
    /// Whether new requests may be sent to the server.
    bool usable(std::string_view id, std::int64_t startedAtMs, TimePoint now) const;
    /// Drops the records of servers for which the predicate is false. Announcements of leaving are
    /// kept for a while, as the store may still return an old registration.
    template <class Predicate>
    void retain(Predicate isRegistered, TimePoint now)
    {
        std::erase_if(m_servers, [&](const auto &entry) { return !isRegistered(entry.first); });
        for (auto &[id, departure] : m_departures) {
            if (isRegistered(id))
                departure.registeredAt = now;
        }
        std::erase_if(m_departures, [now](const auto &entry) {
            return now - entry.second.registeredAt > DepartureRetention;
        });
        std::erase_if(m_pauses, [&](const auto &entry) {
            return entry.second.end() <= now && !isRegistered(entry.first);
        });
    }

private:
    /// How long an announcement of leaving outlasts the server's registration.
    static constexpr Duration DepartureRetention = std::chrono::minutes(10);

    /// An announcement of leaving. It holds for this start of the server and earlier ones.
    struct Departure
    {
        std::int64_t startedAtMs = 0;
        /// When the server was registered last, or when it made the announcement.
        TimePoint registeredAt {};
    };

    /// A time without requests that a server has asked for. After it, requests are sent one at a
    /// time until one is accepted.
    struct Pause
    {
        std::int64_t startedAtMs = 0;
        TimePoint until {};
        /// The end of the pause that other hosts have reported.
        TimePoint reportedUntil {};
        /// When the last request after the pause was sent.
        std::optional<TimePoint> trialAt;

        TimePoint end() const { return std::max(until, reportedUntil); }
    };

    const Pause *findPause(std::string_view id, std::int64_t startedAtMs) const;

    struct Record
    {
        std::int64_t startedAtMs = 0;
        double failures = 0;
        int consecutiveEjections = 0;
        TimePoint ejectedUntil {};
        TimePoint updatedAt {};
        /// Unreachable, and no heartbeat was read since that must have been written afterwards.
        bool awaitsHeartbeat = false;
        TimePoint unreachableAt {};
        /// When a probe failed last, if none has succeeded since.
        std::optional<TimePoint> probeFailedAt;
    };

    std::map<std::string, Record, std::less<>> m_servers;
    std::map<std::string, Departure, std::less<>> m_departures;
    std::map<std::string, Pause, std::less<>> m_pauses;
};

} // namespace dogwoodvalve
