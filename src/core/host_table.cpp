#include "core/mutation.h"

#include <dogwoodvalve/hash.h>
#include <dogwoodvalve/host_table.h>
#include <dogwoodvalve/server_health.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace dogwoodvalve {

namespace {

/// With fewer hosts than this in the caller's zone, hosts of other zones are included too.
constexpr std::size_t MinCallerAddresses = 2;
/// Limits the size of a look-up's answer.
constexpr std::size_t MaxCallerAddresses = 64;
/// Stale hosts are removed from the totals this often.
constexpr Duration StaleCheckInterval = 50ms;
/// Totals below this are rounding errors of sums that have become zero, in token-layers or ms.
constexpr double NegligibleTotal = 0.5;

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
    m_census.recordSeen(digest.name, digest.leaving, now);
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
    updated.demand = std::move(known.demand);
    known = std::move(updated);
    m_census.recordSeen(known.name, known.leaving, seenAt);
    peer.lastSeenAt = std::max(peer.lastSeenAt, seenAt);
}

void HostTable::addRecordedHost(const HostDigest &identity, TimePoint now)
{
    const auto [it, added] = m_peers.try_emplace(identity.name);
    if (!added)
        return;
    it->second.digest = identity;
    it->second.lastSeenAt = now;
    m_census.recordSeen(identity.name, false, now);
}

std::vector<std::string> HostTable::zones() const
{
    std::set<std::string> zones;
    for (const auto &[name, peer] : m_peers)
        zones.insert(peer.digest.zone);
    return {zones.begin(), zones.end()};
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
    m_census.expire(now);
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

int HostTable::knownHosts(TimePoint now) const
{
    return mutated("gateway-count-heard-hosts-only") ? liveHosts(now) : 1 + m_census.count(now);
}

int HostTable::peersUpFor(Duration time, TimePoint now) const
{
    return static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const Peer &peer = entry.second;
        return isLive(peer, now) && peer.digest.uptime + (now - peer.lastSeenAt) >= time;
    }));
}

int HostTable::rank(std::string_view self, std::string_view task, TimePoint now) const
{
    const std::uint64_t own = rendezvousWeight(task, self);
    int before = 0;
    for (const auto &[name, peer] : m_peers) {
        if (isEligibleForTasks(peer, now) && rendezvousWeight(task, name) > own)
            ++before;
    }
    return before;
}

bool HostTable::isTopRanked(std::string_view self, std::string_view task, int count,
                            TimePoint now) const
{
    return rank(self, task, now) < count;
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
