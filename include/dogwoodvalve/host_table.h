#pragma once

#include <dogwoodvalve/host_census.h>
#include <dogwoodvalve/host_digest.h>
#include <dogwoodvalve/relayed_loads.h>
#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dogwoodvalve {

/// The part of the tasks that one host is responsible for, by its rank among the live hosts.
struct TaskPartition
{
    std::size_t index = 0;
    std::size_t count = 1;

    /// Whether the host is responsible for a task. Tasks are spread evenly by hash. Exactly one
    /// host owns a task as long as all hosts see the same live hosts.
    bool owns(std::string_view task) const;
};

/// The newest digest of each other entry host and when it arrived, with totals over all live hosts.
/// In a large fleet, where hosts hear of most others through relays, it holds the state of each
/// host, and the totals as the relays report them.
class HostTable
{
public:
    explicit HostTable(std::string ownZone = {})
        : m_ownZone(std::move(ownZone))
        , m_relayedLoads(m_ownZone)
    { }

    /// Stores a digest. Returns false, and changes nothing, if a newer one is known.
    bool applyDigest(const HostDigest &digest, TimePoint now);
    /// Stores what a relay sent, except about this host itself. Returns false, and changes nothing,
    /// if a newer digest of the relay is known.
    bool applyRelayDigest(const RelayDigest &digest, std::string_view self, TimePoint now);
    /// Adds a host that is known by its record in the store only. It counts as live until it should
    /// have been heard of.
    void addRecordedHost(const HostDigest &identity, TimePoint now);
    /// How this host learns the load of the others.
    void setExchangeMode(ExchangeMode mode) { m_relayedLoads.setMode(mode); }
    ExchangeMode exchangeMode() const { return m_relayedLoads.mode(); }
    /// Sets the digest that this host has sent last.
    void setOwnDigest(const HostDigest &digest) { m_relayedLoads.setOwnLoad(digest); }
    /// What this host sends as a relay: to the hosts of its zone the load of the fleet, otherwise
    /// the load of its zone. `self` is this host's digest. The digest lists the hosts of the given
    /// zones.
    RelayDigest makeRelayDigest(const HostDigest &self, bool toOwnZone,
                                std::span<const std::string> rosterZones, TimePoint now);
    /// Zones of the known hosts, sorted.
    std::vector<std::string> zones() const;
    /// Whether hosts or reports of hosts have changed in a way that others should learn at once,
    /// since this was asked last.
    bool takeChanges() { return std::exchange(m_changed, false); }
    /// Makes the next takeChanges() return true.
    void noteChange() { m_changed = true; }
    /// The hosts of a zone that should relay digests, best first: hosts with fast links before
    /// others, and rendezvous hashing among equal ones. Includes this host if it is one of them.
    std::vector<HostDigest> relaysOf(std::string_view zone, const HostDigest &self, int count,
                                     TimePoint now) const;
    /// Excludes a host that does not answer from relaying until the given time.
    void suspendRelay(const std::string &name, TimePoint until) { m_suspendedRelays[name] = until; }
    /// Drops expired peers and reports. To be called regularly.
    void expire(TimePoint now);

    struct Peer
    {
        HostDigest digest;
        /// When the host was last heard, here or at the relay that told of it.
        TimePoint lastSeenAt {};
        /// When its own digest last arrived here.
        TimePoint heardDirectlyAt {};
        /// The values of its digest are included in the totals.
        bool inTotals = false;
    };

    const std::map<std::string, Peer, std::less<>> &peers() const { return m_peers; }
    /// Time between two digests of a host. It grows with the number of hosts, which bounds the
    /// digests that a host sends and receives per second at the cost of older information.
    Duration digestInterval() const;
    /// Whether a digest of the host arrived recently enough.
    bool isLive(const Peer &peer, TimePoint now) const;
    /// Number of live hosts, including this one. A host that uses relays and hears nobody is cut
    /// off itself: it can't tell who lives, and for a while counts those that lived before.
    /// Otherwise each of many cut-off hosts would take all tasks and the whole retry budget for
    /// itself.
    int liveHosts(TimePoint now) const;
    /// Number of hosts that may be alive, including this one and those that are silent. What all
    /// hosts share is divided by it.
    int knownHosts(TimePoint now) const;
    /// Number of other live hosts that have been running for at least this time.
    int peersUpFor(Duration time, TimePoint now) const;
    /// Whether this host uses relays and hears nobody.
    bool isolated(TimePoint now) const
    {
        return exchangeMode() != ExchangeMode::Direct && now - m_heardAt > IsolationTimeout;
    }
    /// Number of live hosts with a higher rendezvous hash for a task. Leaving hosts are not ranked.
    int rank(std::string_view self, std::string_view task, TimePoint now) const;
    /// Whether this host is among the `count` live hosts with the highest rendezvous hash for a
    /// task. Leaving hosts are not ranked.
    bool isTopRanked(std::string_view self, std::string_view task, int count, TimePoint now) const;
    /// The other hosts among the `count` live hosts with the highest rendezvous hash for a task.
    std::vector<const Peer *> topRankedPeers(std::string_view self, std::string_view task,
                                             int count, TimePoint now) const;
    /// This host's share of something that at most `maxHosts` hosts divide equally, 0 if it has
    /// none. The highest rendezvous hashes for the server decide. Hosts that are leaving, or that
    /// have been silent for less than 10 s and may only be cut off, keep their share.
    double shareOf(std::string_view self, std::string_view server, int maxHosts,
                   TimePoint now) const;
    TaskPartition taskPartition(std::string_view self, TimePoint now) const;
    /// Totals over the other live hosts. They are maintained as digests arrive, so that selecting a
    /// server does not iterate over all hosts.
    double committedByPeers(std::string_view server, TimePoint now);
    double backlogMsByPeers(std::string_view server, TimePoint now);
    int inFlightByPeers(std::string_view server, TimePoint now);
    /// What callers ask of the other live hosts. Nothing if some of them do not report it, as those
    /// of earlier versions.
    std::optional<DemandTotals> demandByPeers(TimePoint now);
    /// The slowness factor that another host reported last; 1 if there is no recent report.
    double reportedSlowness(std::string_view server, TimePoint now) const;
    /// Number of other hosts that recently reported a failed probe of the server.
    int hostsReportingFailedProbe(std::string_view server, TimePoint now) const;

    /// A relay reports hosts that it has heard within this time, which allows for some lost digests
    /// of each.
    static constexpr Duration RelayedHostMaxAge = 1500ms;
    /// Peers without a digest for this long are removed.
    static constexpr Duration PeerExpiryTimeout = 30s;

private:
    static constexpr Duration MinDigestInterval = 100ms;
    /// The digest interval grows by MinDigestInterval for each further group of this many peers.
    static constexpr int PeersPerInterval = 10;
    /// A host counts as dead after this many intervals without a digest. Fewer would be exceeded by
    /// lost datagrams and by pauses of a live host.
    static constexpr int MaxMissedDigests = 7;
    /// In a large fleet, a host counts as dead after this time. Relays report the hosts of the own
    /// zone about each second, and those of each other zone in turn.
    static constexpr Duration OwnZoneTimeout = 2500ms;
    static constexpr Duration OtherZoneTimeout = 8s;
    /// A host that hears nobody for this long is cut off; after MaxIsolation, it is alone.
    static constexpr Duration IsolationTimeout = 1s;
    static constexpr Duration MaxIsolation = 30s;
    /// The load of a host that is not heard any more counts for this long. If it is only cut off,
    /// its streams go on.
    static constexpr Duration SilentHostLoadAge = 10s;

    /// Hosts measure slowness about every second and report it with each digest.
    static constexpr Duration SlownessReportMaxAge = 3s;
    /// A host that reports more servers than this is probably disconnected itself, and is not
    /// believed.
    static constexpr std::size_t MaxCredibleFailedProbes = 8;

    /// The last slowness factor that any host reported for a server, and when it arrived.
    struct SlownessReport
    {
        double slowness = 1;
        TimePoint reportedAt {};
    };

    Duration timeoutOf(const Peer &peer) const;
    /// The time as of which hosts are counted: now, or while this host is cut off, when it was not.
    TimePoint countingTime(TimePoint now) const;
    /// A digest has arrived.
    void noteHeard(TimePoint now);
    void applyState(const HostDigest &state, TimePoint seenAt);
    void addTotals(RelayDigest &digest, const HostDigest &self, bool ofFleet) const;
    void addReports(RelayDigest &digest, const HostDigest &self, TimePoint now) const;
    /// Hosts of a zone that were heard recently.
    void addRoster(RelayDigest &digest, std::string_view zone, TimePoint now) const;
    /// The demand in the digests that have arrived here.
    DemandReport peerDemand() const;
    /// Load of the other hosts on a server.
    LoadTotals loadByPeers(std::string_view server, TimePoint now);
    /// Live hosts that are not leaving share the tasks.
    bool isEligibleForTasks(const Peer &peer, TimePoint now) const;
    /// Adds the values of a peer's digest to the totals, or subtracts them.
    void setInTotals(Peer &peer, bool in);
    /// Subtracts peers that are not live any more.
    void removeStaleFromTotals(TimePoint now);

    std::string m_ownZone;
    std::map<std::string, Peer, std::less<>> m_peers;
    /// Totals over the digests that have arrived here.
    std::map<std::string, LoadTotals, std::less<>> m_totals;
    HostCensus m_census;
    RelayedLoads m_relayedLoads;
    std::map<std::string, TimePoint, std::less<>> m_suspendedRelays;
    std::map<std::string, SlownessReport, std::less<>> m_slownessReports;
    /// When a failed probe was last reported, by server and reporting host.
    std::map<std::string, std::map<std::string, TimePoint>, std::less<>> m_failedProbes;
    TimePoint m_staleCheckAt {};
    TimePoint m_heardAt {};
    bool m_changed = false;
};

/// Returns the addresses of entry hosts that callers from a zone should use, best first. Hosts that
/// are not ready or are leaving are never included. If the zone has too few hosts, hosts of other
/// zones are appended, so that a caller has an alternative when one of them fails. Hosts that have
/// lost their links to the servers are included only if all have.
std::vector<std::string> chooseCallerAddresses(const HostDigest &self, const HostTable &table,
                                               std::string_view zone, TimePoint now);

} // namespace dogwoodvalve
