#pragma once

#include "gateway/gateway_node.h"

namespace dogwoodvalve {

/// Learns from other hosts what they have read of the platform. A few hosts, the same ones in the
/// eyes of all by rendezvous hashing, read the platform's store closely; the others ask one of them
/// for the registrations about every second. A host that the store refuses lives on what the others
/// tell; hosts whose readers are silent read for themselves.
class PeerReader
{
public:
    explicit PeerReader(GatewayNode &node);
    ~PeerReader();

    PeerReader(const PeerReader &) = delete;
    PeerReader &operator=(const PeerReader &) = delete;

    void start();
    /// Another host's digest has arrived: adopts a newer configuration from it.
    void onDigest(const HostDigest &digest);

    /// Hosts that read for the others. With this many, refusals by the store and losses leave some.
    static constexpr int ReaderCount = 4;
    static constexpr const char *ReaderTask = "store-readers";

private:
    void pullPeriodically();
    void pullFromUpToDatePeer();
    void fetch(const HostDigest &peer, const std::string &target, bool &inFlight,
               std::function<Result<void>(const std::string &body)> apply);
    void pullConfiguration(const HostDigest &peer);
    void pullRegistrations(const HostDigest &peer);

    GatewayNode &m_node;
    bool m_configurationPullInFlight = false;
    bool m_registrationsPullInFlight = false;
    FeedRole m_role = FeedRole::Reader;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
