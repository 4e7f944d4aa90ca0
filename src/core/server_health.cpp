#include "core/duration_math.h"
#include "core/mutation.h"
#include "core/start_records.h"

#include <dogwoodvalve/server_health.h>

#include <algorithm>
#include <cmath>

namespace dogwoodvalve {

namespace {

/// Failures in quick succession that eject a server. A single one may be caused by the request.
constexpr double EjectionThreshold = 3;
/// An unreachable server counts as this many failures, which eject it at once: no request can
/// succeed there.
constexpr double UnreachableFailureWeight = 3;
/// The weight of past failures halves in this time.
constexpr Duration FailureHalfLife = 3s;
/// A server that refuses a request is not used for about the time that its queue needs to drain.
constexpr Duration RefusalEjectionTime = 100ms;
constexpr Duration FirstEjectionTime = 1s;
/// Further doublings would exceed MaxEjectionTime.
constexpr int MaxEjectionDoublings = 3;
constexpr Duration MaxEjectionTime = 8s;
/// A heartbeat that is read within this time after a failure may have been written before it:
/// heartbeats are read every second, and hosts pass them on at the same interval.
constexpr Duration MaxHeartbeatLag = 2200ms;
/// An unreachable server is tried again after this time if no heartbeat can be read, for example
/// because the store is down.
constexpr Duration MaxHeartbeatWait = 6s;

/// The longest pause that a server is granted. After it, one request shows whether the server still
/// wants none.
constexpr Duration MaxPause = 10min;
/// Granted to a server that asks for a pause of unreadable length.
constexpr Duration UnreadablePause = 1s;
/// The first request after a pause may be answered late. The next one is sent after this time.
constexpr Duration TrialTimeout = 1s;

} // namespace

std::string_view toString(ServerEvidence evidence)
{
    switch (evidence) {
    case ServerEvidence::Served:
        return "served";
    case ServerEvidence::Refused:
        return "refused";
    case ServerEvidence::Failed:
        return "failed";
    case ServerEvidence::Unreachable:
        return "unreachable";
    case ServerEvidence::ProbeFailed:
        return "unanswered";
    case ServerEvidence::ProbeSucceeded:
        return "answered";
    }
    return "unreachable";
}

void ServerHealth::recordEvidence(std::string_view id, std::int64_t startedAtMs,
                                  ServerEvidence evidence, TimePoint now)
{
    const bool good =
        evidence == ServerEvidence::Served || evidence == ServerEvidence::ProbeSucceeded;
    Record *found = recordOfStart(m_servers, id, startedAtMs, !good);
    if (!found)
        return;
    Record &record = *found;
    const double halves = static_cast<double>((now - record.updatedAt).count())
        / static_cast<double>(FailureHalfLife.count());
    record.failures *= std::exp2(-std::max(0.0, halves));
    record.updatedAt = now;
    switch (evidence) {
    case ServerEvidence::Served:
        record.awaitsHeartbeat = false;
        record.probeFailedAt.reset();
        record.failures = std::max(0.0, record.failures - 1);
        if (record.failures < 1)
            record.consecutiveEjections = 0;
        return;
    case ServerEvidence::Refused:
        record.ejectedUntil = std::max(record.ejectedUntil, now + RefusalEjectionTime);
        return;
    case ServerEvidence::Failed:
        record.failures += 1;
        break;
    case ServerEvidence::ProbeSucceeded:
        // The server is alive, whatever delayed the request.
        record.probeFailedAt.reset();
        if (record.awaitsHeartbeat) {
            record.awaitsHeartbeat = false;
            record.ejectedUntil = std::min(record.ejectedUntil, now + RefusalEjectionTime);
        }
        return;
    case ServerEvidence::ProbeFailed:
        record.probeFailedAt = now;
        [[fallthrough]];
    case ServerEvidence::Unreachable:
        record.failures += UnreachableFailureWeight;
        record.awaitsHeartbeat = true;
        record.unreachableAt = now;
        break;
    }
    if (record.failures < EjectionThreshold || now < record.ejectedUntil)
        return;
    const Duration pause =
        backoff(FirstEjectionTime, record.consecutiveEjections, MaxEjectionDoublings);
    record.ejectedUntil = now + std::min<Duration>(pause, MaxEjectionTime);
    ++record.consecutiveEjections;
    record.failures = 0;
}

void ServerHealth::withdrawUnreachable(TimePoint since, TimePoint now)
{
    for (auto &[id, pause] : m_pauses)
        pause.reportedUntil = {};
    for (auto &[id, record] : m_servers) {
        if (record.unreachableAt < since)
            continue;
        record.awaitsHeartbeat = false;
        record.probeFailedAt.reset();
        record.ejectedUntil = std::min(record.ejectedUntil, now);
        record.consecutiveEjections = 0;
    }
}

void ServerHealth::recordPeerSuspicion(std::string_view id, std::int64_t startedAtMs, TimePoint now)
{
    if (Record *record = recordOfStart(m_servers, id, startedAtMs, true)) {
        record->awaitsHeartbeat = true;
        record->unreachableAt = now;
    }
}

std::vector<std::string> ServerHealth::failedProbes(TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, record] : m_servers) {
        if (record.probeFailedAt && now - *record.probeFailedAt < FailedProbeMaxAge)
            ids.push_back(id);
    }
    return ids;
}

void ServerHealth::recordHeartbeat(std::string_view id, std::int64_t startedAtMs, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it != m_servers.end() && it->second.startedAtMs == startedAtMs
        && now - it->second.unreachableAt >= MaxHeartbeatLag)
        it->second.awaitsHeartbeat = false;
}

bool ServerHealth::recordLeaving(std::string_view id, std::int64_t startedAtMs, TimePoint now)
{
    if (isLeaving(id, startedAtMs))
        return false;
    m_departures[std::string(id)] = {startedAtMs, now};
    return true;
}

bool ServerHealth::isLeaving(std::string_view id, std::int64_t startedAtMs) const
{
    const auto it = m_departures.find(id);
    return it != m_departures.end() && startedAtMs <= it->second.startedAtMs;
}

Duration ServerHealth::recordPause(std::string_view id, std::int64_t startedAtMs,
                                   std::optional<Duration> asked, TimePoint now)
{
    const Duration granted =
        std::clamp<Duration>(asked.value_or(UnreadablePause), Duration::zero(), MaxPause);
    Pause *pause = recordOfStart(m_pauses, id, startedAtMs, true);
    if (!pause)
        return Duration::zero();
    pause->until = std::max(pause->until, now + granted);
    pause->trialAt.reset();
    return granted;
}

void ServerHealth::recordReportedPause(std::string_view id, std::int64_t startedAtMs, Duration left,
                                       TimePoint now)
{
    Pause *pause = recordOfStart(m_pauses, id, startedAtMs, left > Duration::zero());
    if (!pause)
        return;
    pause->reportedUntil = now + std::min<Duration>(left, MaxPause);
    pause->trialAt.reset();
}

const ServerHealth::Pause *ServerHealth::findPause(std::string_view id,
                                                   std::int64_t startedAtMs) const
{
    const auto it = m_pauses.find(id);
    return it == m_pauses.end() || startedAtMs != it->second.startedAtMs ? nullptr : &it->second;
}

std::optional<TimePoint> ServerHealth::pausedUntil(std::string_view id, std::int64_t startedAtMs,
                                                   TimePoint now) const
{
    const Pause *pause = findPause(id, startedAtMs);
    return pause && now < pause->end() ? std::optional(pause->end()) : std::nullopt;
}

void ServerHealth::recordDispatch(std::string_view id, std::int64_t startedAtMs, TimePoint now)
{
    const auto it = m_pauses.find(id);
    if (it != m_pauses.end() && it->second.startedAtMs == startedAtMs && it->second.end() <= now)
        it->second.trialAt = now;
}

void ServerHealth::recordAccepted(std::string_view id, std::int64_t startedAtMs, TimePoint now)
{
    // The answer to a request from before the pause says nothing about requests after it.
    const Pause *pause = findPause(id, startedAtMs);
    if (pause && pause->end() <= now && pause->trialAt)
        m_pauses.erase(m_pauses.find(id));
}

bool ServerHealth::usable(std::string_view id, std::int64_t startedAtMs, TimePoint now) const
{
    if (!acceptsCalls(id, startedAtMs, now))
        return false;
    const Pause *pause = findPause(id, startedAtMs);
    if (pause && pause->trialAt && now - *pause->trialAt < TrialTimeout
        && !mutated("gateway-all-at-once-after-a-pause"))
        return false;
    const auto it = m_servers.find(id);
    if (it == m_servers.end() || it->second.startedAtMs != startedAtMs)
        return true;
    const Record &record = it->second;
    if (record.awaitsHeartbeat && now - record.unreachableAt < MaxHeartbeatWait)
        return false;
    return record.ejectedUntil <= now;
}

} // namespace dogwoodvalve
