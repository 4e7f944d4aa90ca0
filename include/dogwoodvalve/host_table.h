#pragma once

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// The state that an entry host broadcasts to the others several times a second. Each digest is
/// complete and replaces the previous one, so a lost datagram needs no retransmission.
struct HostDigest
{
    std::string name;
    std::string zone;
    /// IP:PORT on which the host accepts callers, and other hosts.
    std::string callerAddress;
    std::string peerAddress;
    /// Start of the host process, Unix time in ms. Digests of an earlier start are outdated.
    std::int64_t startedAtMs = 0;
    /// Increases with each digest since the start.
    std::uint64_t sequence = 0;
    bool ready = false;
    bool leaving = false;
    std::uint64_t configurationVersion = 0;
    /// How long ago the configuration was last confirmed to be the newest.
    Duration configurationAge {};
    /// Log offset up to which the host has read the registrations, and how long ago it did.
    std::uint64_t registrationsEnd = 0;
    Duration registrationsAge {};
    /// KV cache that this host has reserved on servers, in tokens x layers, by server id.
    std::map<std::string, double> commitments;
    /// Time that servers need for the prefill of prompts that this host has sent them and that are
    /// still unprocessed, in ms, by server id.
    std::map<std::string, double> backlogMs;
    /// Requests in flight at servers of plain services, by server id.
    std::map<std::string, int> inFlight;
    /// Ids of servers that did not answer a recent probe by this host.
    std::vector<std::string> failedProbes;
    /// Engines that recent probes by this host found slow: factor on their normal times, by server
    /// id.
    std::map<std::string, double> slowness;
};

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
class HostTable
{
public:
    /// Stores a digest. Returns false, and changes nothing, if a newer one is known.
    bool applyDigest(const HostDigest &digest, TimePoint now);
    /// Drops expired peers and reports. To be called regularly.
    void expire(TimePoint now);

    struct Peer
    {
        HostDigest digest;
        TimePoint lastSeenAt {};
        /// The values of its digest are included in the totals.
        bool inTotals = false;
    };

    const std::map<std::string, Peer, std::less<>> &peers() const { return m_peers; }
    /// Time between two digests of a host. It grows with the number of hosts, which bounds the
    /// digests that a host sends and receives per second at the cost of older information.
    Duration digestInterval() const;
    /// Whether a digest of the host arrived recently enough.
    bool isLive(const Peer &peer, TimePoint now) const;
    /// Number of live hosts, including this one.
    int liveHosts(TimePoint now) const;
    /// Whether this host is among the `count` live hosts with the highest rendezvous hash for a
    /// task. Leaving hosts are not ranked.
    bool isTopRanked(std::string_view self, std::string_view task, int count, TimePoint now) const;
    /// The other hosts among the `count` live hosts with the highest rendezvous hash for a task.
    std::vector<const Peer *> topRankedPeers(std::string_view self, std::string_view task,
                                             int count, TimePoint now) const;
    TaskPartition taskPartition(std::string_view self, TimePoint now) const;
    /// Totals over the other live hosts. They are maintained as digests arrive, so that selecting a
    /// server does not iterate over all hosts.
    double committedByPeers(std::string_view server, TimePoint now);
    double backlogMsByPeers(std::string_view server, TimePoint now);
    int inFlightByPeers(std::string_view server, TimePoint now);
    /// The slowness factor that another host reported last; 1 if there is no recent report.
    double reportedSlowness(std::string_view server, TimePoint now) const;
    /// Number of other hosts that recently reported a failed probe of the server.
    int hostsReportingFailedProbe(std::string_view server, TimePoint now) const;

    /// Peers without a digest for this long are removed.
    static constexpr Duration PeerExpiryTimeout = 30s;

private:
    static constexpr Duration MinDigestInterval = 100ms;
    /// The digest interval grows by MinDigestInterval for each further group of this many peers.
    static constexpr int PeersPerInterval = 10;
    /// A host counts as dead after this many intervals without a digest. Fewer would be exceeded by
    /// lost datagrams and by pauses of a live host.
    static constexpr int MaxMissedDigests = 7;

    struct ServerTotals
    {
        double committed = 0;
        double backlogMs = 0;
        int inFlight = 0;
    };
    /// The last slowness factor that any host reported for a server, and when it arrived.
    struct SlownessReport
    {
        double slowness = 1;
        TimePoint reportedAt {};
    };

    /// Live hosts that are not leaving share the tasks.
    bool isEligibleForTasks(const Peer &peer, TimePoint now) const;
    /// Adds the values of a peer's digest to the totals, or subtracts them.
    void setInTotals(Peer &peer, bool in);
    /// Subtracts peers that are not live any more.
    void removeStaleFromTotals(TimePoint now);

    std::map<std::string, Peer, std::less<>> m_peers;
    std::map<std::string, ServerTotals, std::less<>> m_totals;
    std::map<std::string, SlownessReport, std::less<>> m_slownessReports;
    /// When a failed probe was last reported, by server and reporting host.
    std::map<std::string, std::map<std::string, TimePoint>, std::less<>> m_failedProbes;
    TimePoint m_staleCheckAt {};
};

/// Returns the addresses of entry hosts that callers from a zone should use, best first. Hosts that
/// are not ready or are leaving are never included. If the zone has too few hosts, hosts of other
/// zones are appended, so that a caller has an alternative when one of them fails.
std::vector<std::string> chooseCallerAddresses(const HostDigest &self, const HostTable &table,
                                               std::string_view zone, TimePoint now);

} // namespace dogwoodvalve
