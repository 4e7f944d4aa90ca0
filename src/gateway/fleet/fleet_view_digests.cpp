#include "daemon/log.h"
#include "gateway/fleet/fleet_view.h"

#include <algorithm>

/// What the view tells the other hosts, and what it learns from them.

namespace dogwoodvalve {

HostDigest FleetView::identity() const
{
    HostDigest identity = m_self;
    identity.ready = ready();
    identity.uptime = m_timers.now() - m_startedAt;
    return identity;
}

HostDigest FleetView::nextDigest()
{
    ++m_self.sequence;
    HostDigest digest = identity();
    digest.configurationVersion = configurationVersion();
    digest.configurationAge = std::min(configurationAge(), HostDigest::MaxAge);
    digest.registrationsEnd = m_serversEnd;
    digest.registrationsAge = std::min(serversAge(), HostDigest::MaxAge);
    for (const auto &[id, load] : m_loads) {
        if (load->committed > 0)
            digest.commitments.emplace(id, load->committed);
        if (load->backlogMs > 0)
            digest.backlogMs.emplace(id, load->backlogMs);
        if (load->inFlight > 0)
            digest.inFlight.emplace(id, load->inFlight);
    }
    const TimePoint now = m_timers.now();
    digest.failedProbes = m_health.failedProbes(now);
    for (const auto &[id, found] : m_slowness) {
        if (now - found.second <= SlownessTimeToLive)
            digest.slowness.emplace(id, found.first);
    }
    for (const auto &[id, server] : m_registry.servers()) {
        if (m_health.isLeaving(id, server.startedAtMs))
            digest.leavingServers.emplace(id, server.startedAtMs);
    }
    digest.demand = m_demand.demand(now);
    updateRateShares();
    digest.rateLimits = m_rateLimits.reports(now);
    m_quarantine.refresh(now);
    noteQuarantineChanges(true);
    digest.crashes = m_quarantine.reports(now);
    m_urgentUpdate = false;
    return digest;
}

void FleetView::applyDigest(const HostDigest &digest)
{
    const TimePoint now = m_timers.now();
    const bool known = m_hosts.peers().count(digest.name) > 0;
    if (digest.name == m_self.name || !m_hosts.applyDigest(digest, now))
        return;
    if (!known)
        LogEvent("host_discovered").field("host", digest.name).field("zone", digest.zone);
    for (const std::string &server : digest.failedProbes)
        applySuspicion(server);
    applyDepartures(digest.leavingServers, digest.name);
    applyCrashes(digest.crashes);
    applyRateLimits(digest.rateLimits, digest.name);
    applyConfirmation(digest, now);
}

void FleetView::applyRelayDigest(const RelayDigest &digest)
{
    const TimePoint now = m_timers.now();
    const std::size_t known = m_hosts.peers().size();
    if (!m_hosts.applyRelayDigest(digest, m_self.name, now))
        return;
    if (m_hosts.peers().size() > known)
        LogEvent("hosts_discovered")
            .field("relay", digest.relay.name)
            .field("new", m_hosts.peers().size() - known)
            .field("known", m_hosts.peers().size());
    for (const auto &[server, hosts] : digest.failedProbes)
        applySuspicion(server);
    applyDepartures(digest.leavingServers, digest.relay.name);
    applyCrashes(digest.crashes);
    applyRateLimits(digest.rateLimits, digest.relay.name);
    applyConfirmation(digest.relay, now);
    for (const RelayedHost &host : digest.roster)
        applyConfirmation(host.state, now - host.age);
}

void FleetView::applyConfirmation(const HostDigest &digest, TimePoint sentAt)
{
    recordReportedVersion(digest.configurationVersion);
    const bool sameVersion =
        m_configuration && digest.configurationVersion == m_configuration->version();
    if (sameVersion && digest.configurationAge < m_keyRevocation)
        onConfigurationConfirmed(sentAt - digest.configurationAge);
}

std::optional<DemandTotals> FleetView::fleetDemand()
{
    std::optional<DemandTotals> demand = m_hosts.demandByPeers(m_timers.now());
    if (demand)
        addDemand(*demand, m_demand.demand(m_timers.now()));
    return demand;
}

} // namespace dogwoodvalve
