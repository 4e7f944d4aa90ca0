#include "gateway/servers/server_connections.h"

#include "core/mutation.h"
#include "daemon/log.h"
#include "gateway/gateway_node.h"
#include "gateway/servers/server_request.h"
#include "net/endpoint.h"
#include "net/listening_check.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dogwoodvalve {

namespace {

/// A host that is cut off tries to connect to a server this often.
constexpr Duration LinkCheckInterval = 250ms;
constexpr Duration LinkCheckTimeout = 150ms;
/// A host that did not forward a request is not asked again for this long.
constexpr Duration ForwarderPause = 1s;
/// A connection that was made this long before an attempt still proves the links.
constexpr Duration RecentConnectionTime = 100ms;

} // namespace

ServerConnections::ServerConnections(GatewayNode &node)
    : m_node(node)
{ }

std::shared_ptr<HttpClientRequest> ServerConnections::createClient(const ServerRegistration &server,
                                                                   std::string_view label)
{
    return std::make_shared<ServerRequest>(m_node, server, label);
}

bool ServerConnections::connectsDirectly(std::string_view server) const
{
    return m_links.connectsDirectly(server, m_node.now());
}

bool ServerConnections::provenSince(TimePoint at) const
{
    return m_links.connectedAt() >= at - RecentConnectionTime;
}

void ServerConnections::recordConnected(std::string_view server)
{
    const bool wasDoubtful = m_links.doubtful();
    const bool wasCutOff = cutOff();
    const TimePoint connectedBefore = m_links.connectedAt();
    m_links.recordConnected(server, m_node.now());
    if (wasDoubtful && !m_links.doubtful())
        onLinksChanged(wasCutOff, connectedBefore);
}

void ServerConnections::recordFailed(std::string_view server)
{
    m_links.recordFailed(server);
    if (m_links.doubtful())
        scheduleCheck();
}

void ServerConnections::recordBypassed(std::string_view server, std::int64_t startedAtMs)
{
    const bool wasCutOff = cutOff();
    m_links.recordBypassed(server, m_node.now());
    m_node.view().health().recordEvidence(server, startedAtMs, ServerEvidence::ProbeSucceeded,
                                          m_node.now());
    if (!wasCutOff && cutOff())
        onLinksChanged(wasCutOff, m_links.connectedAt());
}

void ServerConnections::onLinksChanged(bool wasCutOff, TimePoint connectedBefore)
{
    m_node.view().health().withdrawUnreachable(connectedBefore, m_node.now());
    if (wasCutOff != cutOff()) {
        LogEvent(cutOff() ? "server_links_lost" : "server_links_restored")
            .field("servers", m_node.view().registry().servers().size())
            .field("hosts", m_node.view().hosts().liveHosts(m_node.now()));
        m_node.view().setCutOff(cutOff());
    }
    if (cutOff())
        scheduleCheck();
    m_node.loop().post([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            m_node.admitWaitingRequests();
    });
}

bool ServerConnections::mayForward(const HostTable::Peer &peer) const
{
    const HostDigest &host = peer.digest;
    const TimePoint now = m_node.now();
    const auto avoided = m_avoidedUntil.find(host.name);
    return host.ready && !host.leaving && !host.cutOff && !host.peerAddress.empty()
        && m_node.view().hosts().isLive(peer, now) && host.name != m_node.settings().name
        && (avoided == m_avoidedUntil.end() || avoided->second <= now)
        && !mutated("gateway-no-forwarders");
}

bool ServerConnections::anyForwarder() const
{
    const auto &peers = m_node.view().hosts().peers();
    return std::any_of(peers.begin(), peers.end(),
                       [this](const auto &entry) { return mayForward(entry.second); });
}

std::optional<ServerConnections::Forwarder>
ServerConnections::chooseForwarder(const std::set<std::string> &tried)
{
    std::vector<const HostDigest *> candidates;
    for (const auto &[name, peer] : m_node.view().hosts().peers()) {
        if (tried.count(name) == 0 && mayForward(peer))
            candidates.push_back(&peer.digest);
    }
    if (candidates.empty())
        return std::nullopt;
    const HostDigest &chosen = *candidates[m_node.random().next() % candidates.size()];
    return Forwarder {chosen.name, chosen.peerAddress};
}

void ServerConnections::avoid(const std::string &host)
{
    const TimePoint now = m_node.now();
    std::erase_if(m_avoidedUntil, [now](const auto &entry) { return entry.second <= now; });
    m_avoidedUntil[host] = now + ForwarderPause;
}

void ServerConnections::scheduleCheck()
{
    if (m_checkTimer != 0)
        return;
    m_checkTimer = m_node.timers().schedule(m_node.now() + LinkCheckInterval,
                                            [this, alive = std::weak_ptr(m_alive)] {
                                                if (alive.expired())
                                                    return;
                                                m_checkTimer = 0;
                                                if (m_links.doubtful())
                                                    checkLinks();
                                            });
}

const ServerRegistration *ServerConnections::anyServer(std::string_view except) const
{
    FleetView &view = m_node.view();
    std::vector<const ServerRegistration *> servers;
    for (const auto &[id, server] : view.registry().servers()) {
        if (id != except && !server.draining
            && view.health().acceptsCalls(id, server.startedAtMs, m_node.now()))
            servers.push_back(&server);
    }
    return servers.empty() ? nullptr : servers[m_node.random().next() % servers.size()];
}

void ServerConnections::checkLinks()
{
    scheduleCheck();
    const ServerRegistration *server = anyServer();
    if (!server)
        return;
    // A host that knows that it is cut off looks for the end of the cut, another one for any way.
    if (cutOff())
        return tryToConnect(*server, [] {});
    checkServer(*server, createClient(*server, "link_check"), [](std::optional<bool>) {});
}

bool ServerConnections::checkServer(const ServerRegistration &server,
                                    std::shared_ptr<HttpClientRequest> client,
                                    std::function<void(std::optional<bool>)> done)
{
    const ServiceRule *service = m_node.view().serviceOf(server);
    const auto endpoint = parseEndpoint(server.address);
    if (!service || !endpoint)
        return false;
    m_node.view().recordRequest(server.id, server.startedAtMs);
    checkListening(m_node.timers(), std::move(client), endpoint.value(), service->healthPath,
                   LinkCheckTimeout, std::move(done));
    return true;
}

void ServerConnections::tryToConnect(const ServerRegistration &server,
                                     const std::function<void()> &done)
{
    const bool begun = checkServer(server, m_node.loop().createHttpClient(),
                                   [this, id = server.id, done,
                                    alive = std::weak_ptr(m_alive)](std::optional<bool> listening) {
                                       if (alive.expired())
                                           return;
                                       if (listening.value_or(false))
                                           recordConnected(id);
                                       else
                                           recordFailed(id);
                                       done();
                                   });
    if (!begun)
        done();
}

void ServerConnections::proveLinks(std::string_view except, std::function<void()> done)
{
    m_awaitingProof.push_back(std::move(done));
    if (m_awaitingProof.size() > 1)
        return;
    const auto finish = [this] {
        for (const auto &it : std::exchange(m_awaitingProof, {}))
            it();
    };
    const ServerRegistration *server =
        mutated("gateway-leave-links-unproven") ? nullptr : anyServer(except);
    if (!server)
        return finish();
    tryToConnect(*server, finish);
}

} // namespace dogwoodvalve
