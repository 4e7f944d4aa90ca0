#include "core/mutation.h"

#include <dogwoodvalve/hash.h>
#include <dogwoodvalve/host_table.h>
#include <dogwoodvalve/server_health.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace dogwoodvalve {

namespace {

/// With fewer hosts than this in the caller's zone, hosts of other zones are included too.
constexpr std::size_t MinCallerAddresses = 2;
/// Limits the size of a look-up's answer.
constexpr std::size_t MaxCallerAddresses = 64;
/// Stale hosts are removed from the totals this often.
constexpr Duration StaleCheckInterval = 50ms;
/// Hosts measure slowness about every second and report it with each digest.
constexpr Duration SlownessReportMaxAge = 3s;
/// A host that reports more servers than this is probably disconnected itself, and is not believed.
constexpr std::size_t MaxCredibleFailedProbes = 8;

/// Links at least this fast count as equal when relays are chosen. A relay needs some 10 Mbit/s in
/// a zone of 60 hosts.
constexpr double FastLinkMbps = 100;

/// Totals below this are rounding errors of sums that have become zero, in token-layers or ms.
constexpr double NegligibleTotal = 0.5;

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
    return state;
}

/// Whether two digests of a host agree on what other hosts must learn soon.
bool sameStanding(const HostDigest &l, const HostDigest &r)
{
    return l.startedAtMs == r.startedAtMs && l.ready == r.ready && l.leaving == r.leaving
        && l.cutOff == r.cutOff && l.configurationVersion == r.configurationVersion;
}

bool acceptsCallers(const HostDigest &digest)
{
    return digest.ready && !digest.leaving && !digest.callerAddress.empty();
}

} // namespace

bool HostTable::applyDigest(const HostDigest &digest, TimePoint now)
{
    Peer &peer = m_peers[digest.name];
    const HostDigest &known = peer.digest;
    const bool older = digest.startedAtMs < known.startedAtMs
        || (digest.startedAtMs == known.startedAtMs && digest.sequence <= known.sequence);
    if (!known.name.empty() && older)
        return false;
    noteHeard(now);
    m_changed = m_changed || !sameStanding(known, digest)
        || known.failedProbes != digest.failedProbes
        || known.slowness.size() != digest.slowness.size();
    setInTotals(peer, false);
    peer.digest = digest;
    peer.lastSeenAt = now;
    peer.heardDirectlyAt = now;
    setInTotals(peer, true);
    for (const auto &[server, factor] : digest.slowness)
        m_slownessReports[server] = {factor, now};
    if (digest.failedProbes.size() <= MaxCredibleFailedProbes) {
        for (const std::string &server : digest.failedProbes)
            m_failedProbes[server][digest.name] = now;
    }
    return true;
}

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

/// Updates what is known of a host, but for its load and reports, which its own digests contain.
void HostTable::applyState(const HostDigest &state, TimePoint seenAt)
{
    Peer &peer = m_peers[state.name];
    HostDigest &known = peer.digest;
    if (state.startedAtMs < known.startedAtMs
        || (state.startedAtMs == known.startedAtMs && state.sequence < known.sequence))
        return;
    m_changed = m_changed || !sameStanding(known, state);
    if (state.startedAtMs != known.startedAtMs) {
        setInTotals(peer, false);
        known = {};
    }
    HostDigest updated = state;
    updated.commitments = std::move(known.commitments);
    updated.backlogMs = std::move(known.backlogMs);
    updated.inFlight = std::move(known.inFlight);
    known = std::move(updated);
    peer.lastSeenAt = std::max(peer.lastSeenAt, seenAt);
}

void HostTable::addRecordedHost(const HostDigest &identity, TimePoint now)
{
    const auto [it, added] = m_peers.try_emplace(identity.name);
    if (!added)
        return;
    it->second.digest = identity;
    it->second.lastSeenAt = now;
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
    if (!ofFleet)
        return;
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

std::vector<std::string> HostTable::zones() const
{
    std::set<std::string> zones;
    for (const auto &[name, peer] : m_peers)
        zones.insert(peer.digest.zone);
    return {zones.begin(), zones.end()};
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

void HostTable::setInTotals(Peer &peer, bool in)
{
    if (peer.inTotals == in)
        return;
    peer.inTotals = in;
    const int sign = in ? 1 : -1;
    for (const auto &[server, amount] : peer.digest.commitments)
        m_totals[server].committed += sign * amount;
    for (const auto &[server, ms] : peer.digest.backlogMs)
        m_totals[server].backlogMs += sign * ms;
    for (const auto &[server, n] : peer.digest.inFlight)
        m_totals[server].inFlight += sign * n;
}

void HostTable::removeStaleFromTotals(TimePoint now)
{
    if (now - m_staleCheckAt < StaleCheckInterval)
        return;
    m_staleCheckAt = now;
    const bool direct = exchangeMode() == ExchangeMode::Direct;
    for (auto &[name, peer] : m_peers) {
        if (direct ? !isLive(peer, now) : now - peer.heardDirectlyAt > SilentHostLoadAge)
            setInTotals(peer, false);
    }
}

void HostTable::expire(TimePoint now)
{
    removeStaleFromTotals(now);
    m_relayedLoads.expire(now);
    std::erase_if(m_suspendedRelays, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(m_peers, [now](const auto &entry) {
        return !entry.second.inTotals && now - entry.second.lastSeenAt > PeerExpiryTimeout;
    });
    // Adding and subtracting floating-point values does not get back to exactly zero.
    std::erase_if(m_totals, [](const auto &entry) {
        return std::abs(entry.second.committed) < NegligibleTotal
            && entry.second.backlogMs < NegligibleTotal && entry.second.inFlight == 0;
    });
    std::erase_if(m_slownessReports, [now](const auto &entry) {
        return now - entry.second.reportedAt > SlownessReportMaxAge;
    });
    for (auto &[server, hosts] : m_failedProbes)
        std::erase_if(hosts, [now](const auto &entry) {
            return now - entry.second > ServerHealth::FailedProbeMaxAge;
        });
    std::erase_if(m_failedProbes, [](const auto &entry) { return entry.second.empty(); });
}

Duration HostTable::digestInterval() const
{
    const int rounds = 1 + static_cast<int>(m_peers.size()) / PeersPerInterval;
    return MinDigestInterval * rounds;
}

bool HostTable::isLive(const Peer &peer, TimePoint now) const
{
    return now - peer.lastSeenAt <= timeoutOf(peer);
}

Duration HostTable::timeoutOf(const Peer &peer) const
{
    if (exchangeMode() == ExchangeMode::Direct)
        return digestInterval() * MaxMissedDigests;
    return peer.digest.zone == m_ownZone ? OwnZoneTimeout : OtherZoneTimeout;
}

bool HostTable::isEligibleForTasks(const Peer &peer, TimePoint now) const
{
    return isLive(peer, countingTime(now)) && !peer.digest.leaving;
}

TimePoint HostTable::countingTime(TimePoint now) const
{
    const Duration silence = now - m_heardAt;
    return isolated(now) && silence <= MaxIsolation ? m_heardAt : now;
}

/// After a cut, the other hosts get as much time to be heard again as they had before it.
void HostTable::noteHeard(TimePoint now)
{
    const Duration cutOff = now - countingTime(now);
    m_heardAt = now;
    if (cutOff <= Duration::zero())
        return;
    for (auto &[name, peer] : m_peers)
        peer.lastSeenAt += cutOff;
}

int HostTable::liveHosts(TimePoint now) const
{
    const TimePoint asOf = countingTime(now);
    int n = 1;
    for (const auto &[name, peer] : m_peers)
        n += isLive(peer, asOf) ? 1 : 0;
    return n;
}

bool HostTable::isTopRanked(std::string_view self, std::string_view task, int count,
                            TimePoint now) const
{
    const std::uint64_t own = rendezvousWeight(task, self);
    int before = 0;
    for (const auto &[name, peer] : m_peers) {
        if (isEligibleForTasks(peer, now) && rendezvousWeight(task, name) > own)
            ++before;
    }
    return before < count;
}

std::vector<const HostTable::Peer *> HostTable::topRankedPeers(std::string_view self,
                                                               std::string_view task, int count,
                                                               TimePoint now) const
{
    // This host is ranked too, but not returned.
    std::vector<std::pair<std::uint64_t, const Peer *>> ranking;
    ranking.emplace_back(rendezvousWeight(task, self), nullptr);
    for (const auto &[name, peer] : m_peers) {
        if (isEligibleForTasks(peer, now))
            ranking.emplace_back(rendezvousWeight(task, name), &peer);
    }
    const std::size_t places = std::min(static_cast<std::size_t>(count), ranking.size());
    std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(places),
                      ranking.end(),
                      [](const auto &l, const auto &r) { return l.first > r.first; });
    std::vector<const Peer *> first;
    first.reserve(places);
    for (std::size_t i = 0; i < places; ++i) {
        if (ranking[i].second)
            first.push_back(ranking[i].second);
    }
    return first;
}

double HostTable::shareOf(std::string_view self, std::string_view server, int maxHosts,
                          TimePoint now) const
{
    const std::uint64_t own = rendezvousWeight(server, self);
    int hosts = 1;
    int before = 0;
    for (const auto &[name, peer] : m_peers) {
        if (name == self || now - peer.lastSeenAt > SilentHostLoadAge)
            continue;
        ++hosts;
        before += rendezvousWeight(server, name) > own ? 1 : 0;
    }
    const int sharing = std::min(hosts, maxHosts);
    return before < sharing ? 1.0 / sharing : 0;
}

TaskPartition HostTable::taskPartition(std::string_view self, TimePoint now) const
{
    TaskPartition partition;
    for (const auto &[name, peer] : m_peers) {
        if (!isEligibleForTasks(peer, now))
            continue;
        ++partition.count;
        partition.index += name < self ? 1 : 0;
    }
    return partition;
}

bool TaskPartition::owns(std::string_view task) const
{
    return stableHash(task) % count == index;
}

LoadTotals HostTable::loadByPeers(std::string_view server, TimePoint now)
{
    removeStaleFromTotals(now);
    LoadTotals load = m_relayedLoads.load(server);
    // The load that a relay reports to a member contains all hosts.
    const bool complete = exchangeMode() == ExchangeMode::Member && m_relayedLoads.hosts() > 0;
    const auto it = m_totals.find(server);
    if (!complete && it != m_totals.end())
        load.add(it->second);
    return load;
}

double HostTable::committedByPeers(std::string_view server, TimePoint now)
{
    return loadByPeers(server, now).committed;
}

double HostTable::backlogMsByPeers(std::string_view server, TimePoint now)
{
    return std::max(0.0, loadByPeers(server, now).backlogMs);
}

int HostTable::inFlightByPeers(std::string_view server, TimePoint now)
{
    return loadByPeers(server, now).inFlight;
}

double HostTable::reportedSlowness(std::string_view server, TimePoint now) const
{
    const auto it = m_slownessReports.find(server);
    return it == m_slownessReports.end() || now - it->second.reportedAt > SlownessReportMaxAge
        ? 1
        : it->second.slowness;
}

int HostTable::hostsReportingFailedProbe(std::string_view server, TimePoint now) const
{
    const auto it = m_failedProbes.find(server);
    if (it == m_failedProbes.end())
        return 0;
    return static_cast<int>(
        std::count_if(it->second.begin(), it->second.end(), [now](const auto &entry) {
            return now - entry.second <= ServerHealth::FailedProbeMaxAge;
        }));
}

std::vector<std::string> chooseCallerAddresses(const HostDigest &self, const HostTable &table,
                                               std::string_view zone, TimePoint now)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    std::vector<std::string> cutOff;
    const auto add = [&](const HostDigest &digest) {
        if (!acceptsCallers(digest))
            return;
        auto &group = digest.cutOff && !mutated("gateway-name-cut-off-hosts") ? cutOff
            : digest.zone == zone                                             ? near
                                                                              : far;
        group.push_back(digest.callerAddress);
    };
    add(self);
    for (const auto &[name, peer] : table.peers()) {
        if (table.isLive(peer, now) && name != self.name)
            add(peer.digest);
    }
    if (near.size() < MinCallerAddresses)
        near.insert(near.end(), far.begin(), far.end());
    if (near.empty())
        near = std::move(cutOff);
    if (near.size() > MaxCallerAddresses)
        near.resize(MaxCallerAddresses);
    return near;
}

} // namespace dogwoodvalve
