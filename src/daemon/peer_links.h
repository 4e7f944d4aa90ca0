#pragma once

#include "codec/frame_authenticator.h"
#include "daemon/metrics.h"
#include "net/websocket_transport.h"

#include <dogwoodvalve/membership.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// Receives the events of links between entry hosts.
class PeerLinkEvents
{
public:
    virtual ~PeerLinkEvents() = default;
    virtual void peerLinkUp(LinkId link, bool outgoing) = 0;
    virtual void peerLinkDown(LinkId link) = 0;
    virtual void peerMessageReceived(LinkId link, const PeerMessage &message) = 0;
};

/// Carries messages between entry hosts as authenticated CBOR frames over websockets. A link
/// counts as up once both sides have exchanged their opening frames.
class PeerLinks : public PeerTransport, public WebsocketEvents
{
public:
    PeerLinks(const std::vector<PeerSecret> &secrets, Metrics &metrics);
    ~PeerLinks() override;

    /// Both must be called before listening or connecting. The transport must be one that delivers
    /// its events to this object.
    void setTransport(std::unique_ptr<WebsocketTransport> transport);
    void setEvents(PeerLinkEvents &events) { m_events = &events; }

    Result<void> listen(const std::string &address);
    void stop();

    LinkId connect(const std::string &address) override;
    void send(LinkId link, const PeerMessage &message) override;
    void close(LinkId link) override;

    void websocketOpened(std::uint64_t link, bool outgoing) override;
    void websocketReceived(std::uint64_t link, const std::string &bytes) override;
    void websocketClosed(std::uint64_t link) override;

private:
    struct Link
    {
        FrameAuthenticator guard;
        bool outgoing = false;
    };

    void reject(LinkId link, const Error &error);

    const std::vector<PeerSecret> &m_secrets;
    Metrics &m_metrics;
    PeerLinkEvents *m_events = nullptr;
    std::unique_ptr<WebsocketTransport> m_transport;
    std::map<LinkId, Link> m_links;
};

} // namespace dogwoodvalve
