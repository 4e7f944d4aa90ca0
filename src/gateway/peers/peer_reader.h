#pragma once

#include "gateway/gateway_node.h"

namespace dogwoodvalve {

/// Fetches from other hosts what they have read from the platform's store. Rendezvous hashing
/// chooses a few hosts, the same ones at every host, as readers of the store; the others fetch the
/// registrations from one of them about every second. In a fleet that uses relays, the first relay
/// of each zone reads, and the hosts of its zone fetch from their relays. A host that is cut off
/// from the store keeps up to date through the other hosts, and hosts that can't reach a reader
/// read the store themselves.
class PeerReader
{
public:
    explicit PeerReader(GatewayNode &node);
    ~PeerReader();

    PeerReader(const PeerReader &) = delete;
    PeerReader &operator=(const PeerReader &) = delete;

    void start();
    /// Handles another host's digest: fetches that host's configuration if it is newer.
    void onDigest(const HostDigest &digest);

    /// Number of hosts that read the store for the others. With this many, some are left if the
    /// store refuses or loses calls.
    static constexpr int ReaderCount = 4;
    /// The task that hosts are ranked for to choose the readers.
    static constexpr const char *ReaderTask = "store-readers";

private:
    FeedRole chooseRole();
    FeedRole chooseMemberRole();
    /// Whether other hosts have had a newer configuration for some time, and this one could not
    /// fetch it.
    bool fallenBehind();
    /// Hosts to pull registrations from.
    std::vector<const HostTable::Peer *> readers() const;
    /// Updates this host's role, and pulls registrations if its own are out of date.
    void pullPeriodically();
    void pullFromUpToDatePeer();
    HostDigest configurationHolder(const HostDigest &digest);
    void fetch(const HostDigest &peer, const std::string &target, Duration timeout, bool &inFlight,
               std::function<Result<void>(const std::string &body)> apply);
    /// Fetches the configuration of a host, which is no older than one that was the newest as of
    /// the given time. The digest of that host does not tell the time, as it may have come long
    /// ago.
    void pullConfiguration(const HostDigest &peer, TimePoint asOf);
    void pullRegistrations(const HostDigest &peer);

    GatewayNode &m_node;
    bool m_configurationPullInFlight = false;
    bool m_registrationsPullInFlight = false;
    FeedRole m_role = FeedRole::Reader;
    bool m_fallenBehind = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
