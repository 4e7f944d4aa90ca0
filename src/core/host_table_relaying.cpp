#include <dogwoodvalve/hash.h>
#include <dogwoodvalve/host_table.h>
#include <dogwoodvalve/server_health.h>

#include <algorithm>
#include <tuple>

namespace dogwoodvalve {

namespace {

/// Links at least this fast count as equal when relays are chosen. A relay needs some 10 Mbit/s in
/// a zone of 60 hosts.
constexpr double FastLinkMbps = 100;

/// A digest without the host's load and its reports about servers.
/// A digest without the host's load and its reports about servers.
HostDigest stateOf(const HostDigest &digest)
{
    HostDigest state = digest;
    state.commitments.clear();
    state.backlogMs.clear();
    state.inFlight.clear();
    state.failedProbes.clear();
    state.slowness.clear();
    state.leavingServers.clear();
    state.crashes.clear();
    state.rateLimits.clear();
    state.demand.reset();
    return state;
}

} // namespace

bool HostTable::applyRelayDigest(const RelayDigest &digest, std::string_view self, TimePoint now)
{
    if (digest.relay.name == self || !m_relayedLoads.apply(digest, now))
        return false;
    noteHeard(now);
    applyState(digest.relay, now);
    for (const auto &[server, report] : digest.slowness) {
        const TimePoint reportedAt = now - report.age;
        SlownessReport &known = m_slownessReports[server];
        if (reportedAt > known.reportedAt)
            known = {report.factor, reportedAt};
    }
    for (const auto &[server, hosts] : digest.failedProbes) {
        for (const auto &[host, age] : hosts) {
            TimePoint &reportedAt = m_failedProbes[server][host];
            reportedAt = std::max(reportedAt, now - age);
        }
    }
    for (const RelayedHost &host : digest.roster) {
        if (host.state.name != self)
            applyState(host.state, now - host.age);
    }
    return true;
}

RelayDigest HostTable::makeRelayDigest(const HostDigest &self, bool toOwnZone,
                                       std::span<const std::string> rosterZones, TimePoint now)
{
    removeStaleFromTotals(now);
    RelayDigest digest;
    digest.relay = stateOf(self);
    digest.leavingServers = self.leavingServers;
    digest.crashes = self.crashes;
    digest.rateLimits = self.rateLimits;
    addTotals(digest, self, toOwnZone);
    addReports(digest, self, now);
    for (const std::string &zone : rosterZones)
        addRoster(digest, zone, now);
    return digest;
}

void HostTable::addTotals(RelayDigest &digest, const HostDigest &self, bool ofFleet) const
{
    // A member passes on what it has from a relay, to hosts that reach no relay.
    if (exchangeMode() != ExchangeMode::Relay) {
        digest.hosts = m_relayedLoads.hosts();
        digest.totals.insert(m_relayedLoads.totals().begin(), m_relayedLoads.totals().end());
        digest.demand = m_relayedLoads.totalDemand();
        return;
    }
    digest.hosts = 1;
    for (const auto &[name, peer] : m_peers)
        digest.hosts += peer.inTotals ? 1 : 0;
    for (const auto &[server, load] : m_totals)
        digest.totals[server].add(load);
    for (const auto &[server, amount] : self.commitments)
        digest.totals[server].committed += amount;
    for (const auto &[server, ms] : self.backlogMs)
        digest.totals[server].backlogMs += ms;
    for (const auto &[server, n] : self.inFlight)
        digest.totals[server].inFlight += n;
    digest.demand = peerDemand();
    if (self.demand)
        digest.demand.add({1, *self.demand});
    if (!ofFleet)
        return;
    digest.demand.add(m_relayedLoads.demand());
    digest.hosts += m_relayedLoads.hosts();
    for (const auto &[server, load] : m_relayedLoads.totals())
        digest.totals[server].add(load);
}

void HostTable::addReports(RelayDigest &digest, const HostDigest &self, TimePoint now) const
{
    for (const auto &[server, report] : m_slownessReports) {
        if (now - report.reportedAt <= SlownessReportMaxAge)
            digest.slowness[server] = {report.slowness, now - report.reportedAt};
    }
    for (const auto &[server, factor] : self.slowness)
        digest.slowness[server] = {factor, Duration::zero()};
    for (const auto &[server, hosts] : m_failedProbes) {
        for (const auto &[host, reportedAt] : hosts) {
            if (now - reportedAt <= ServerHealth::FailedProbeMaxAge)
                digest.failedProbes[server][host] = now - reportedAt;
        }
    }
    if (self.failedProbes.size() <= MaxCredibleFailedProbes) {
        for (const std::string &server : self.failedProbes)
            digest.failedProbes[server][self.name] = Duration::zero();
    }
}

void HostTable::addRoster(RelayDigest &digest, std::string_view zone, TimePoint now) const
{
    const Duration maxAge = zone == m_ownZone ? RelayedHostMaxAge : OtherZoneTimeout;
    for (const auto &[name, peer] : m_peers) {
        if (peer.digest.zone == zone && now - peer.lastSeenAt <= maxAge)
            digest.roster.push_back({stateOf(peer.digest), now - peer.lastSeenAt});
    }
}

std::vector<HostDigest> HostTable::relaysOf(std::string_view zone, const HostDigest &self,
                                            int count, TimePoint now) const
{
    struct Candidate
    {
        const HostDigest *host = nullptr;
        // A host that hears none of the others, as it is cut off from its relays, tries them all.
        bool live = true;
    };
    std::vector<Candidate> candidates;
    if (self.zone == zone && !self.leaving)
        candidates.push_back({&self});
    for (const auto &[name, peer] : m_peers) {
        const auto suspended = m_suspendedRelays.find(name);
        if (peer.digest.zone == zone && !peer.digest.leaving && name != self.name
            && (suspended == m_suspendedRelays.end() || suspended->second <= now))
            candidates.push_back({&peer.digest, isLive(peer, countingTime(now))});
    }
    const auto rank = [zone](const Candidate &it) {
        return std::tuple(it.live, it.host->linkMbps >= FastLinkMbps,
                          rendezvousWeight(zone, it.host->name));
    };
    const std::size_t n = std::min(candidates.size(), static_cast<std::size_t>(count));
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n),
                      candidates.end(),
                      [&rank](const auto &l, const auto &r) { return rank(l) > rank(r); });
    std::vector<HostDigest> relays;
    relays.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
        relays.push_back(*candidates[i].host);
    return relays;
}

DemandReport HostTable::peerDemand() const
{
    DemandReport demand;
    for (const auto &[name, peer] : m_peers) {
        if (peer.inTotals && peer.digest.demand)
            demand.add({1, *peer.digest.demand});
    }
    return demand;
}

std::optional<DemandTotals> HostTable::demandByPeers(TimePoint now)
{
    removeStaleFromTotals(now);
    int hosts = m_relayedLoads.hosts();
    DemandReport demand = m_relayedLoads.demand();
    if (exchangeMode() == ExchangeMode::Member && hosts > 0) {
        // The report contains this host.
        --hosts;
    } else {
        hosts += static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(),
                                                [](const auto &it) { return it.second.inTotals; }));
        demand.add(peerDemand());
    }
    if (demand.hosts < hosts)
        return std::nullopt;
    return std::move(demand.totals);
}

} // namespace dogwoodvalve
