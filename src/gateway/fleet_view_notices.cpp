#include "core/mutation.h"
#include "daemon/log.h"
#include "gateway/fleet_view.h"

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

bool FleetView::recordNotice(std::string_view id, std::int64_t startedAtMs,
                             const ServerNotice &notice)
{
    if (!notice.leaving || mutated("gateway-ignore-leaving")
        || !m_health.recordLeaving(id, startedAtMs, m_timers.now()))
        return false;
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

} // namespace dogwoodvalve
