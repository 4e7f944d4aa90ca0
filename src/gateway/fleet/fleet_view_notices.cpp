#include "core/mutation.h"
#include "daemon/log.h"
#include "gateway/fleet/fleet_view.h"

#include <algorithm>
#include <utility>

/// What the view knows from the answers of servers about further requests to them.

namespace dogwoodvalve {

namespace {

/// Share of an engine's slots that are filled. The rest is for requests that other hosts have sent
/// and not announced yet; beyond the slots, requests wait in the engine without an answer.
constexpr double MaxSlotShare = 0.9;

} // namespace

void FleetView::setCutOff(bool cutOff)
{
    m_self.cutOff = cutOff;
    m_urgentUpdate = true;
}

std::vector<const ServerRegistration *> FleetView::availableServers(std::string_view service) const
{
    std::vector<const ServerRegistration *> servers = m_registry.available(service);
    std::erase_if(servers, [this](const ServerRegistration *server) {
        return m_health.isLeaving(server->id, server->startedAtMs);
    });
    return servers;
}

bool FleetView::hasFreeSlot(const ServerRegistration &server)
{
    const int inFlight =
        load(server.id)->inFlight + m_hosts.inFlightByPeers(server.id, m_timers.now());
    return inFlight < server.slots * MaxSlotShare || mutated("gateway-ignore-slots");
}

std::optional<TimePoint> FleetView::servesAgainAt(const ServiceRule &service)
{
    const TimePoint now = m_timers.now();
    // A plain service counts as one with a single layer that all its servers hold.
    const std::size_t layers =
        service.isLayered() ? static_cast<std::size_t>(service.engine->layers) : 1;
    std::vector<std::optional<TimePoint>> heldFrom(layers);
    for (const ServerRegistration *server : availableServers(service.name)) {
        const LayerSpan held = service.isLayered() ? layersOf(*server) : LayerSpan {0, 1};
        const TimePoint resumesAt =
            m_health.pausedUntil(server->id, server->startedAtMs, now).value_or(now);
        const auto acceptsAt = m_rateLimits.acceptsAt(server->id, server->startedAtMs, now);
        for (int layer = std::max(0, held.first);
             layer < std::min(held.end, static_cast<int>(layers)); ++layer) {
            // The servers of the other layers get requests from other servers, not from this host.
            if (layer == 0 && !acceptsAt)
                continue;
            const TimePoint from = layer == 0 ? std::max(resumesAt, *acceptsAt) : resumesAt;
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

bool FleetView::acceptsRequest(const ServerRegistration &server)
{
    const TimePoint now = m_timers.now();
    if (!m_health.usable(server.id, server.startedAtMs, now))
        return false;
    const auto acceptsAt = m_rateLimits.acceptsAt(server.id, server.startedAtMs, now);
    return acceptsAt && *acceptsAt <= now;
}

void FleetView::recordRequest(std::string_view id, std::int64_t startedAtMs)
{
    m_rateLimits.recordRequest(id, startedAtMs, m_timers.now());
}

void FleetView::recordRateNotice(std::string_view id, std::int64_t startedAtMs,
                                 const ServerNotice &notice, TimePoint sentAt)
{
    if (notice.rate == RateNotice::Unreadable)
        LogEvent::decision("server_limit_unreadable").field("server", id);
    if (notice.rate != RateNotice::Limited && notice.rate != RateNotice::Unlimited)
        return;
    const auto perSecond =
        notice.rate == RateNotice::Limited ? std::optional(notice.requestsPerSecond) : std::nullopt;
    if (!m_rateLimits.recordAnswer(id, startedAtMs, perSecond, sentAt, m_timers.now()))
        return;
    updateRateShares();
    logRateLimit(id, startedAtMs, "answer");
    m_urgentUpdate = true;
}

void FleetView::applyRateLimits(const RateLimitReports &reports, std::string_view host)
{
    const std::vector<std::string> changed = m_rateLimits.merge(reports, m_timers.now());
    if (changed.empty())
        return;
    updateRateShares();
    for (const std::string &id : changed)
        logRateLimit(id, reports.at(id).startedAtMs, host);
    m_hosts.noteChange();
}

void FleetView::updateRateShares()
{
    m_rateLimits.updateShares([this](std::string_view id, int maxHosts) {
        return m_hosts.shareOf(m_self.name, id, maxHosts, m_timers.now());
    });
}

void FleetView::logRateLimit(std::string_view id, std::int64_t startedAtMs,
                             std::string_view source) const
{
    const auto limit = m_rateLimits.limit(id, startedAtMs);
    LogEvent::decision(limit ? "server_limit" : "server_limit_ended")
        .field("server", id)
        .field("started_ms", startedAtMs)
        .field("per_second", limit.value_or(0))
        .field("own_per_second", m_rateLimits.ownRate(id, startedAtMs))
        .field("source", source);
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
                            TimePoint crashedAt, std::string_view tried)
{
    LogEvent::decision("server_crashed")
        .field("server", server)
        .field("started_ms", startedAtMs)
        .field("prompt_parts", loggedParts(parts))
        .field("undelivered", undelivered)
        .field("tried", tried);
    m_quarantine.recordCrash(server, startedAtMs, parts, undelivered, crashedAt, m_timers.now(),
                             tried);
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

void FleetView::adoptArchivedCrashes(const CrashReports &crashes)
{
    m_quarantine.merge(crashes, m_timers.now());
    noteQuarantineChanges(true);
}

void FleetView::setArchiveRead()
{
    if (std::exchange(m_archiveRead, true) || !m_observer)
        return;
    m_observer->archiveRead();
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
    for (const QuarantinedPart &part : changes.doubted)
        LogEvent("prompt_part_doubted")
            .field("part", part.id)
            .field("source", ownFinding ? "own" : "hosts");
    for (const std::string &part : changes.removed)
        LogEvent("prompt_part_released").field("part", part);
    if (!changes.added.empty() && m_quarantineHandler)
        m_quarantineHandler();
}

} // namespace dogwoodvalve
