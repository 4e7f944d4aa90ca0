#include "gateway/servers/server_request.h"

#include "daemon/log.h"
#include "gateway/gateway_node.h"
#include "gateway/servers/forwarding.h"
#include "net/endpoint.h"
#include "net/http_text.h"

#include <algorithm>
#include <utility>

namespace dogwoodvalve {

namespace {

/// If other hosts may forward the request, this host waits no longer for a connection of its own.
constexpr Duration DirectConnectTimeout = 150ms;
constexpr Duration ForwarderConnectTimeout = 150ms;
/// No further host is asked after this time. The deadline that the server is told does not shrink
/// in it.
constexpr Duration MaxConnectTime = 350ms;
constexpr std::size_t MaxForwarders = 8;

} // namespace

ServerRequest::ServerRequest(GatewayNode &node, const ServerRegistration &server,
                             std::string_view label)
    : m_node(node)
    , m_server(server.id)
    , m_startedAtMs(server.startedAtMs)
    , m_label(label)
{ }

ServerRequest::~ServerRequest()
{
    close();
}

void ServerRequest::start(const boost::asio::ip::tcp::endpoint &endpoint,
                          const HttpRequestHead &head, Duration connectTimeout,
                          HttpClientEvents &events)
{
    m_events = &events;
    m_endpoint = endpoint;
    m_head = head;
    if (findField(m_head.fields, "Host").empty())
        m_head.fields.push_back(
            {"Host", endpoint.address().to_string() + ':' + std::to_string(endpoint.port())});
    m_connectTimeout = connectTimeout;
    m_startedAt = m_node.now();
    m_lastError = {ErrorKind::Unavailable, "this host does not reach the server",
                   "check the links of this host"};
    connect();
}

void ServerRequest::connect()
{
    ServerConnections &connections = m_node.connections();
    if (!connections.connectsDirectly(m_server) && connections.anyForwarder())
        return tryForwarder();
    connectDirectly();
}

void ServerRequest::connectDirectly()
{
    m_triedDirectly = true;
    m_forwarder.clear();
    openClient(m_endpoint, m_head,
               m_node.connections().anyForwarder()
                   ? std::min<Duration>(m_connectTimeout, DirectConnectTimeout)
                   : m_connectTimeout);
}

void ServerRequest::openClient(const boost::asio::ip::tcp::endpoint &endpoint,
                               const HttpRequestHead &head, Duration connectTimeout)
{
    if (const auto previous = std::exchange(m_client, nullptr))
        previous->close();
    m_notSent = false;
    m_client = m_node.loop().createHttpClient();
    m_client->start(endpoint, head, connectTimeout, *this);
    if (m_body)
        m_client->writeBody(m_body);
    m_client->write(m_parts);
    if (m_bodyFinished)
        m_client->finishBody();
    if (m_paused)
        m_client->pauseReading(true);
}

void ServerRequest::tryForwarder()
{
    HttpRequestHead head = m_head;
    const Result<std::string> target =
        encodeForwardTarget({m_server, m_startedAtMs, m_head.target});
    const Duration left = m_startedAt + MaxConnectTime - m_node.now();
    const auto forwarder = m_node.connections().chooseForwarder(m_triedForwarders);
    const auto endpoint = parseEndpoint(forwarder ? forwarder->address : "");
    if (m_pausedForwarders > 0 && !forwarder)
        return failPaused();
    if (!target || !endpoint || left <= Duration::zero()
        || m_triedForwarders.size() >= MaxForwarders)
        return m_triedDirectly ? fail(m_lastError) : connectDirectly();
    m_forwarder = forwarder->name;
    m_triedForwarders.insert(m_forwarder);
    head.target = target.value();
    openClient(endpoint.value(), head, std::min<Duration>(ForwarderConnectTimeout, left));
}

void ServerRequest::failPaused()
{
    if (m_pausedForwarders == m_triedForwarders.size())
        m_node.view().health().recordReportedPause(m_server, m_startedAtMs, m_shortestPause,
                                                   m_node.now());
    fail({ErrorKind::Overloaded, "the server wants no request from the hosts that reach it",
          "send it again later"});
}

void ServerRequest::settle()
{
    m_connected = true;
    std::string().swap(m_parts);
    m_body.reset();
    m_events->onConnected();
}

void ServerRequest::onConnected()
{
    if (!m_events || !m_forwarder.empty())
        return;
    const auto keep = shared_from_this();
    m_node.connections().recordConnected(m_server);
    if (m_events)
        settle();
}

void ServerRequest::onHead(int status, std::span<const HttpField> fields)
{
    if (!m_events)
        return;
    const auto keep = shared_from_this();
    if (m_forwarder.empty())
        return m_events->onHead(status, fields);
    onForwardOutcome(status, fields);
}

void ServerRequest::onForwardOutcome(int status, std::span<const HttpField> fields)
{
    ServerConnections &connections = m_node.connections();
    const ForwardOutcome outcome = decodeForwardOutcome(fields);
    m_notSent = outcome != ForwardOutcome::Answered && outcome != ForwardOutcome::Lost;
    switch (outcome) {
    case ForwardOutcome::Answered: {
        LogEvent::decision("forwarded_by")
            .field("request", m_label)
            .field("server", m_server)
            .field("host", m_forwarder)
            .field("reason", m_lastError.message);
        const std::vector<HttpField> restored = restoreAnswerFields(fields);
        connections.recordBypassed(m_server, m_startedAtMs);
        if (m_events)
            settle();
        if (m_events)
            m_events->onHead(status, restored);
        return;
    }
    case ForwardOutcome::Unreachable:
        connections.recordUnreachable(m_server);
        return fail({ErrorKind::Unavailable,
                     "the server refuses connections, also of " + m_forwarder,
                     "see the server's log"});
    case ForwardOutcome::TimedOut:
        connections.recordUnreachable(m_server);
        return fail({ErrorKind::Timeout, "connecting timed out, also at " + m_forwarder,
                     "see the server's log"});
    case ForwardOutcome::Lost:
        return fail({ErrorKind::Unavailable, "the connection was lost at " + m_forwarder,
                     "see the server's log"});
    case ForwardOutcome::LinksUnproven:
        // The links of both hosts may be at fault, which says nothing about the server.
        m_lastError.kind = ErrorKind::Timeout;
        return tryForwarder();
    case ForwardOutcome::Paused: {
        const Duration pause = decodeForwardPause(fields);
        m_shortestPause =
            m_pausedForwarders++ == 0 ? pause : std::min<Duration>(m_shortestPause, pause);
        return tryForwarder();
    }
    case ForwardOutcome::Unavailable:
        m_lastError = {ErrorKind::Unavailable, m_forwarder + " does not use the server",
                       "see the log of that host"};
        return tryForwarder();
    case ForwardOutcome::Refused:
        connections.avoid(m_forwarder);
        return tryForwarder();
    }
}

void ServerRequest::onBody(std::string_view part)
{
    if (m_events && m_connected)
        m_events->onBody(part);
}

void ServerRequest::onEnd()
{
    if (!m_events || !m_connected)
        return;
    const auto keep = shared_from_this();
    HttpClientEvents *events = std::exchange(m_events, nullptr);
    events->onEnd();
}

void ServerRequest::onError(const Error &error)
{
    if (!m_events)
        return;
    const auto keep = shared_from_this();
    if (m_client->anyByteSent())
        return fail(error);
    m_lastError = error;
    if (m_forwarder.empty())
        m_node.connections().recordFailed(m_server);
    else
        m_node.connections().avoid(m_forwarder);
    tryForwarder();
}

void ServerRequest::onDrained()
{
    if (m_events && m_connected)
        m_events->onDrained();
}

void ServerRequest::write(std::string_view part)
{
    if (!m_events)
        return;
    if (!m_connected)
        m_parts += part;
    if (m_client)
        m_client->write(part);
}

void ServerRequest::writeBody(const SharedBytes &body)
{
    if (!m_events)
        return;
    if (!m_connected)
        m_body = body;
    if (m_client)
        m_client->writeBody(body);
}

void ServerRequest::finishBody()
{
    m_bodyFinished = true;
    if (m_events && m_client)
        m_client->finishBody();
}

void ServerRequest::pauseReading(bool paused)
{
    m_paused = paused;
    if (m_client)
        m_client->pauseReading(paused);
}

bool ServerRequest::anyByteSent() const
{
    return m_client && !m_notSent && m_client->anyByteSent();
}

void ServerRequest::fail(const Error &error)
{
    const auto keep = shared_from_this();
    HttpClientEvents *events = std::exchange(m_events, nullptr);
    if (m_client)
        m_client->close();
    if (events)
        events->onError(error);
}

void ServerRequest::close()
{
    m_events = nullptr;
    if (m_client)
        m_client->close();
}

} // namespace dogwoodvalve
