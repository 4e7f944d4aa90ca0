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
    /// Requests in flight at plain servers, by the server's id.
    std::map<std::string, int> inFlight;
};

/// The other entry hosts as their digests tell, with when each was heard.
class HostTable
{
public:
    /// Returns false for a digest that is older than the known one.
    bool take(const HostDigest &digest, TimePoint now);
    void expire(TimePoint now);

    struct Peer
    {
        HostDigest digest;
        TimePoint heardAt {};
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
    bool ranksFirst(std::string_view self, std::string_view task, int count, TimePoint now) const;
    double committedElsewhere(std::string_view server, TimePoint now) const;
    int inFlightElsewhere(std::string_view server, TimePoint now) const;

    /// Hosts that have been silent this long are forgotten.
    static constexpr Duration ForgetTimeout = 30s;

private:
    static constexpr Duration LeastInterval = 100ms;
    /// Peers that a digest goes to in one least interval.
    static constexpr int PeersPerInterval = 10;
    /// Intervals without a digest after which a host is taken for gone: some are lost, and hosts
    /// pause.
    static constexpr int MissedDigests = 7;

    std::map<std::string, Peer, std::less<>> m_peers;
};

/// Chooses the addresses that callers from a zone should use, best first. Hosts that are not ready
/// or are leaving are never named. If the zone has few hosts, hosts of other zones are added, so
/// that a caller can go on when one of them dies.
std::vector<std::string> chooseCallerAddresses(const HostDigest &self, const HostTable &table,
                                               std::string_view zone, TimePoint now);

} // namespace dogwoodvalve
