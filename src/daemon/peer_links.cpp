#include "daemon/peer_links.h"

#include "codec/peer_codec.h"
#include "daemon/log.h"
#include "net/endpoint.h"

namespace dogwoodvalve {

PeerLinks::PeerLinks(const std::vector<PeerSecret> &secrets, Metrics &metrics)
    : m_secrets(secrets)
    , m_metrics(metrics)
{ }

PeerLinks::~PeerLinks() = default;

void PeerLinks::setTransport(std::unique_ptr<WebsocketTransport> transport)
{
    m_transport = std::move(transport);
}

Result<void> PeerLinks::listen(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.error();
    const std::string problem =
        m_transport->listen(endpoint.value().address().to_string(), endpoint.value().port());
    if (!problem.empty())
        return Error {ErrorKind::Unavailable, "cannot listen on " + address + ": " + problem,
                      "give a free address of this host"};
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PeerLinks::stop()
{
    m_links.clear();
    m_transport->stop();
}

LinkId PeerLinks::connect(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return 0;
    return m_transport->connect(endpoint.value().address().to_string(), endpoint.value().port());
}

void PeerLinks::send(LinkId link, const PeerMessage &message)
{
    const auto it = m_links.find(link);
    if (it == m_links.end() || !it->second.guard.peerNonceReceived())
        return;
    const std::string frame = it->second.guard.seal(writePeerMessage(message));
    m_metrics.countControlBytes(frame.size());
    m_transport->send(link, frame);
}

void PeerLinks::close(LinkId link)
{
    m_links.erase(link);
    m_transport->close(link);
}

void PeerLinks::websocketOpened(std::uint64_t link, bool outgoing)
{
    const auto it =
        m_links.emplace(link, Link {FrameAuthenticator(m_secrets, outgoing), outgoing}).first;
    m_transport->send(link, it->second.guard.openingFrame());
}

void PeerLinks::websocketReceived(std::uint64_t link, const std::string &bytes)
{
    const auto it = m_links.find(link);
    if (it == m_links.end())
        return;
    const bool wasReady = it->second.guard.peerNonceReceived();
    const Result<std::string_view> payload = it->second.guard.open(bytes);
    if (!payload)
        return reject(link, payload.error());
    if (!wasReady)
        return m_events->peerLinkUp(link, it->second.outgoing);
    const Result<PeerMessage> message = readPeerMessage(payload.value());
    if (!message)
        return reject(link, message.error());
    m_events->peerMessageReceived(link, message.value());
}

void PeerLinks::reject(LinkId link, const Error &error)
{
    LogEvent("peer_rejected", LogLevel::Warning).field("reason", error.describe());
    close(link);
    m_events->peerLinkDown(link);
}

void PeerLinks::websocketClosed(std::uint64_t link)
{
    m_links.erase(link);
    m_events->peerLinkDown(link);
}

} // namespace dogwoodvalve
