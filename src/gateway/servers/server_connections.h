#pragma once

#include "gateway/platform_interfaces.h"

#include <dogwoodvalve/host_table.h>
#include <dogwoodvalve/server_links.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace dogwoodvalve {

class GatewayNode;

/// The connections of this host to servers. A request to a server to which the host can't connect
/// is forwarded by another host, if one can. All decisions about the request stay here: the other
/// host sends it to the named server or says that it did not, and never passes it on to a third
/// host. While the host is cut off from all servers, it says so in its digests, so that look-ups
/// name other hosts, and it checks regularly whether it reaches a server again.
class ServerConnections : public ServerConnector
{
public:
    explicit ServerConnections(GatewayNode &node);

    std::shared_ptr<HttpClientRequest> createClient(const ServerRegistration &server,
                                                    std::string_view label) override;

    /// Whether this host, but not every other one, has lost its links to the servers.
    bool cutOff() const { return m_links.cutOff(); }
    bool connectsDirectly(std::string_view server) const;
    /// Whether the host has connected to some server since the given time, or shortly before, so
    /// that a failure after it is not that of all its links.
    bool provenSince(TimePoint at) const;
    /// Tries to connect to some server but the given one, and calls back when that has succeeded or
    /// failed. Several calls share one attempt.
    void proveLinks(std::string_view except, std::function<void()> done);

    /// This host has connected to a server itself.
    void recordConnected(std::string_view server);
    /// It could not.
    void recordFailed(std::string_view server);
    /// Nor could another host that connects to other servers.
    void recordUnreachable(std::string_view server) { m_links.recordUnreachable(server); }
    /// Another host has connected to a server for this one.
    void recordBypassed(std::string_view server, std::int64_t startedAtMs);

    /// A host that may forward requests to servers.
    struct Forwarder
    {
        std::string name;
        std::string address;
    };

    /// A random one of the live hosts that have not lost their links, except those that were tried
    /// or failed a moment ago. Returns nothing if there is none.
    std::optional<Forwarder> chooseForwarder(const std::set<std::string> &tried);
    /// Whether chooseForwarder() would return a host if none had been tried.
    bool anyForwarder() const;
    /// The host did not forward a request.
    void avoid(const std::string &host);

private:
    /// Whether the host is live, has not lost its links and did not fail to forward a moment ago.
    bool mayForward(const HostTable::Peer &peer) const;
    /// Uses what is now known of the links, and was not before.
    void onLinksChanged(bool wasCutOff, TimePoint connectedBefore);
    /// Tries to connect to some server, to notice soon that links are lost or restored.
    void checkLinks();
    void scheduleCheck();
    /// A random server that accepts calls, and is not the given one, or nullptr.
    const ServerRegistration *anyServer(std::string_view except = {}) const;
    /// Uses a client to find out whether a server accepts connections, and calls back. Returns
    /// false if its service or its address is unknown; then there is no call.
    bool checkServer(const ServerRegistration &server, std::shared_ptr<HttpClientRequest> client,
                     std::function<void(std::optional<bool>)> done);
    /// Connects to a server directly, uses the result, and calls back.
    void tryToConnect(const ServerRegistration &server, const std::function<void()> &done);

    GatewayNode &m_node;
    ServerLinks m_links;
    /// Until when hosts are not asked to forward requests, by name.
    std::map<std::string, TimePoint> m_avoidedUntil;
    TimerId m_checkTimer = 0;
    /// Callbacks of proveLinks() while its attempt is open.
    std::vector<std::function<void()>> m_awaitingProof;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
