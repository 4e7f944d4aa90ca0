#pragma once

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// What an entry host tells the others, several times a second. Each digest replaces the one
/// before, so a lost one does no harm.
struct HostDigest
{
    std::string name;
    std::string zone;
    /// IP:PORT for callers and for other hosts.
    std::string callerAddress;
    std::string peerAddress;
    /// Unix milliseconds of the start; a later one replaces what was known.
    std::int64_t startedAtMs = 0;
    std::uint64_t sequence = 0;
    bool ready = false;
    bool leaving = false;
    std::uint64_t configurationVersion = 0;
    /// How long ago the configuration was known to be the newest.
    Duration configurationAge {};
    /// End of the registrations that the host has read, and how long ago.
    std::uint64_t registrationsEnd = 0;
    Duration registrationsAge {};
    /// Context memory promised on servers, in tokens x layers, by the server's id.
    std::map<std::string, double> commitments;
    /// Time that servers need to read the prompts that this host has given them and that are not
    /// read yet, in ms, by the server's id.
    std::map<std::string, double> backlogMs;
    /// Requests in flight at plain servers, by the server's id.
    std::map<std::string, int> inFlight;
    /// Servers that left a direct question of this host unanswered lately.
    std::vector<std::string> failedProbes;
    /// Engines that this host found slow lately: factor on their usual times, by the server's id.
    std::map<std::string, double> slowness;
};

/// A host's place among the live ones, for dividing tasks.
struct TaskPartition
{
    std::size_t index = 0;
    std::size_t count = 1;

    /// Whether a task falls to this host. Tasks are spread evenly, and all hosts agree as far as
    /// they see the same others.
    bool owns(std::string_view task) const;
};

/// The other entry hosts as their digests tell, with when each was heard.
class HostTable
{
public:
    /// Returns false for a digest that is older than the known one.
    bool applyDigest(const HostDigest &digest, TimePoint now);
    void expire(TimePoint now);

    struct Peer
    {
        HostDigest digest;
        TimePoint lastSeenAt {};
        /// Its commitments are in the sums.
        bool inTotals = false;
    };

    const std::map<std::string, Peer, std::less<>> &peers() const { return m_peers; }
    /// Time between digests of a host. What a host sends and takes in a second stays the same
    /// however many hosts there are; their knowledge of one another ages instead.
    Duration digestInterval() const;
    /// Whether a host was heard lately.
    bool isLive(const Peer &peer, TimePoint now) const;
    /// Live hosts, this one included.
    int liveHosts(TimePoint now) const;
    /// Whether a host is among the given number of live hosts that rank first for a task, by
    /// rendezvous hashing.
    bool isTopRanked(std::string_view self, std::string_view task, int count, TimePoint now) const;
    /// The others among the live hosts that rank first for a task.
    std::vector<const Peer *> topRankedPeers(std::string_view self, std::string_view task,
                                             int count, TimePoint now) const;
    TaskPartition taskPartition(std::string_view self, TimePoint now) const;
    /// Sums over the live hosts. They are kept up as digests come, so that a choice does not look
    /// at each host.
    double committedByPeers(std::string_view server, TimePoint now);
    double backlogMsByPeers(std::string_view server, TimePoint now);
    int inFlightByPeers(std::string_view server, TimePoint now);
    /// The slowness that another host has found lately; 1 if none has.
    double reportedSlowness(std::string_view server, TimePoint now) const;
    /// How many live hosts had a question to the server unanswered lately.
    int hostsReportingFailedProbe(std::string_view server, TimePoint now) const;

    /// Hosts that have been silent this long are forgotten.
    static constexpr Duration PeerExpiryTimeout = 30s;

private:
    static constexpr Duration MinDigestInterval = 100ms;
    /// Peers that a digest goes to in one least interval.
    static constexpr int PeersPerInterval = 10;
    /// Intervals without a digest after which a host is taken for gone: some are lost, and hosts
    /// pause.
    static constexpr int MaxMissedDigests = 7;

    struct ServerTotals
    {
        double committed = 0;
        double backlogMs = 0;
        int inFlight = 0;
    };
    /// What a host found out about a server, and when it was heard.
    struct SlownessReport
    {
        double slowness = 1;
        TimePoint reportedAt {};
    };

    /// Tasks are divided among the hosts that stay.
    bool isEligibleForTasks(const Peer &peer, TimePoint now) const;
    void setInTotals(Peer &peer, bool in);
    void removeStaleFromTotals(TimePoint now);

    std::map<std::string, Peer, std::less<>> m_peers;
    std::map<std::string, ServerTotals, std::less<>> m_totals;
    std::map<std::string, SlownessReport, std::less<>> m_slownessReports;
    /// Hosts without an answer, by server and host, with when they said so.
    std::map<std::string, std::map<std::string, TimePoint>, std::less<>> m_failedProbes;
    TimePoint m_staleCheckAt {};
};

/// Chooses the addresses that callers from a zone should use, best first. Hosts that are not ready
/// or are leaving are never named. If the zone has few hosts, hosts of other zones are added, so
/// that a caller can go on when one of them dies.
std::vector<std::string> chooseCallerAddresses(const HostDigest &self, const HostTable &table,
                                               std::string_view zone, TimePoint now);

} // namespace dogwoodvalve
