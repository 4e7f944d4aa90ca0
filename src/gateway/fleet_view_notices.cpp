#include "core/mutation.h"
#include "daemon/log.h"
#include "gateway/fleet_view.h"

#include <algorithm>

/// What the view knows from the answers of servers about further requests to them.

namespace dogwoodvalve {

std::vector<const ServerRegistration *> FleetView::availableServers(std::string_view service) const
{
    std::vector<const ServerRegistration *> servers = m_registry.available(service);
    std::erase_if(servers, [this](const ServerRegistration *server) {
        return m_health.isLeaving(server->id, server->startedAtMs);
    });
    return servers;
}

std::optional<TimePoint> FleetView::servesAgainAt(const ServiceRule &service) const
{
    const TimePoint now = m_timers.now();
    // A plain service counts as one with a single layer that all its servers hold.
    const std::size_t layers =
        service.isLayered() ? static_cast<std::size_t>(service.engine->layers) : 1;
    std::vector<std::optional<TimePoint>> heldFrom(layers);
    for (const ServerRegistration *server : availableServers(service.name)) {
        const LayerSpan held = service.isLayered() ? layersOf(*server) : LayerSpan {0, 1};
        const TimePoint from =
            m_health.pausedUntil(server->id, server->startedAtMs, now).value_or(now);
        for (int layer = std::max(0, held.first);
             layer < std::min(held.end, static_cast<int>(layers)); ++layer) {
            auto &earliest = heldFrom[static_cast<std::size_t>(layer)];
            earliest = std::min(earliest.value_or(from), from);
        }
    }
    TimePoint latest = now;
    for (const auto &from : heldFrom) {
        if (!from)
            return std::nullopt;
        latest = std::max(latest, *from);
    }
    return latest > now ? std::optional(latest) : std::nullopt;
}

bool FleetView::recordNotice(std::string_view id, std::int64_t startedAtMs,
                             const ServerNotice &notice)
{
    const TimePoint now = m_timers.now();
    if (notice.rate == RateNotice::Limited || notice.rate == RateNotice::Unreadable)
        LogEvent::decision("server_limit")
            .field("server", id)
            .field("started_ms", startedAtMs)
            .field("per_second", notice.requestsPerSecond)
            .field("unreadable", notice.rate == RateNotice::Unreadable);
    if (!notice.asksForPause())
        m_health.recordAccepted(id, startedAtMs, now);
    const bool pauses = notice.asksForPause() && !mutated("gateway-ignore-pauses");
    if (pauses) {
        const Duration granted = m_health.recordPause(id, startedAtMs, notice.pause, now);
        LogEvent::decision("server_pause")
            .field("server", id)
            .field("granted_ms", granted.count() / 1000)
            .field("unreadable", notice.pauseUnreadable);
    }
    if (!notice.leaving || mutated("gateway-ignore-leaving")
        || !m_health.recordLeaving(id, startedAtMs, now))
        return pauses;
    LogEvent::decision("server_leaving")
        .field("server", id)
        .field("started_ms", startedAtMs)
        .field("source", "answer");
    m_urgentUpdate = true;
    return true;
}

void FleetView::applyDepartures(const std::map<std::string, std::int64_t> &leaving,
                                std::string_view host)
{
    if (mutated("gateway-keep-leaving-to-itself"))
        return;
    for (const auto &[id, startedAtMs] : leaving) {
        if (!m_health.recordLeaving(id, startedAtMs, m_timers.now()))
            continue;
        LogEvent::decision("server_leaving")
            .field("server", id)
            .field("started_ms", startedAtMs)
            .field("source", host);
        m_hosts.noteChange();
    }
}

void FleetView::recordCrash(const std::string &server, std::int64_t startedAtMs,
                            std::span<const std::string> parts, bool undelivered,
                            TimePoint crashedAt)
{
    LogEvent::decision("server_crashed")
        .field("server", server)
        .field("started_ms", startedAtMs)
        .field("prompt_parts", parts)
        .field("undelivered", undelivered);
    m_quarantine.recordCrash(server, startedAtMs, parts, undelivered, crashedAt, m_timers.now());
    noteQuarantineChanges(true);
}

void FleetView::recordServed(std::span<const std::string> parts, TimePoint begunAt)
{
    m_quarantine.recordServed(parts, begunAt, m_timers.now());
    noteQuarantineChanges(true);
}

void FleetView::applyCrashes(const CrashReports &crashes)
{
    m_quarantine.merge(crashes, m_timers.now());
    noteQuarantineChanges(false);
}

void FleetView::noteQuarantineChanges(bool ownFinding)
{
    const bool changed = m_quarantine.takeReportsChanged();
    if (changed && ownFinding)
        m_urgentUpdate = true;
    else if (changed)
        m_hosts.noteChange();
    const PromptQuarantine::Changes changes = m_quarantine.takeChanges();
    for (const QuarantinedPart &part : changes.added)
        LogEvent("prompt_part_quarantined")
            .field("part", part.id)
            .field("for_ms", (part.until - m_timers.now()).count() / 1000)
            .field("source", ownFinding ? "own" : "hosts");
    for (const std::string &part : changes.removed)
        LogEvent("prompt_part_released").field("part", part);
    if (!changes.added.empty() && m_quarantineHandler)
        m_quarantineHandler();
}

} // namespace dogwoodvalve
