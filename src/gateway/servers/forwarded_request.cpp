#include "gateway/servers/forwarded_request.h"

#include "core/mutation.h"
#include "daemon/log.h"
#include "gateway/gateway_node.h"
#include "gateway/requests/request_limits.h"
#include "gateway/servers/forwarding.h"
#include "net/endpoint.h"
#include "net/http_client.h"
#include "net/http_status.h"

#include <utility>

namespace dogwoodvalve {

namespace {

/// Shorter than the time after which the other host looks for another way.
constexpr Duration ConnectTimeout = 120ms;
/// Reading from the server pauses while more bytes than this wait to be sent to the other host.
constexpr std::size_t HighWaterBytes = 128 * 1024;

/// Owns itself from start() until the exchange has ended.
class ForwardedRequest : public HttpClientEvents,
                         public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(GatewayNode &node, std::shared_ptr<HttpExchange> exchange,
                     ForwardTarget target)
        : m_node(node)
        , m_exchange(std::move(exchange))
        , m_target(std::move(target))
    { }

    void start();

    void onConnected() override;
    void onHead(int status, std::span<const HttpField> fields) override;
    void onBody(std::string_view part) override;
    void onEnd() override;
    void onError(const Error &error) override;

private:
    /// Whether the request asks for nothing but a sign of life.
    bool isHealthCheck() const;
    /// The registration of the server that the request names, if this host uses it.
    const ServerRegistration *findServer() const;
    void sendToServer(const SharedBytes &body);
    void answer(ForwardOutcome outcome);
    /// Answers with the fields of an outcome.
    void answer(std::span<const HttpField> outcome);
    void finish(std::string_view outcome);

    GatewayNode &m_node;
    std::shared_ptr<HttpExchange> m_exchange;
    ForwardTarget m_target;
    std::shared_ptr<HttpClientRequest> m_client;
    TimePoint m_startedAt {};
    bool m_connected = false;
    bool m_answered = false;
    int m_status = 0;
    std::shared_ptr<ForwardedRequest> m_self;
};

void ForwardedRequest::start()
{
    m_self = shared_from_this();
    m_node.forwardStarted();
    m_exchange->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->finish("other_host_left");
    });
    m_exchange->readBody(
        MaxRequestBodyBytes, [self = shared_from_this()](Result<std::string> body) {
            if (!self->m_self)
                return;
            if (!body)
                return self->answer(ForwardOutcome::Refused);
            self->sendToServer(std::make_shared<const std::string>(std::move(body.value())));
        });
}

bool ForwardedRequest::isHealthCheck() const
{
    const ServerRegistration *server = m_node.view().registry().find(m_target.server);
    const ServiceRule *service = server ? m_node.view().serviceOf(*server) : nullptr;
    return service && m_exchange->method() == "GET" && m_target.target == service->healthPath;
}

const ServerRegistration *ForwardedRequest::findServer() const
{
    FleetView &view = m_node.view();
    const ServerRegistration *server = view.registry().find(m_target.server);
    const bool usable = server && server->startedAtMs == m_target.startedAtMs && !server->draining
        && !view.health().isLeaving(server->id, server->startedAtMs);
    return usable ? server : nullptr;
}

void ForwardedRequest::sendToServer(const SharedBytes &body)
{
    if (m_node.view().leaving() || m_node.connections().cutOff())
        return answer(ForwardOutcome::Refused);
    const ServerRegistration *server = findServer();
    const auto endpoint = parseEndpoint(server ? server->address : "");
    if (!server || !endpoint)
        return answer(ForwardOutcome::Unavailable);
    ServerHealth &health = m_node.view().health();
    const auto pausedUntil = health.pausedUntil(server->id, server->startedAtMs, m_node.now());
    if (pausedUntil && !mutated("gateway-forward-to-paused-servers"))
        return answer(forwardPauseFields(*pausedUntil - m_node.now()));
    health.recordDispatch(server->id, server->startedAtMs, m_node.now());
    HttpRequestHead head;
    head.method = m_exchange->method();
    head.target = m_target.target;
    head.fields = forwardedRequestFields(m_exchange->headers());
    head.bodyBytes = body->size();
    m_startedAt = m_node.now();
    m_client = m_node.loop().createHttpClient();
    m_client->start(endpoint.value(), head, ConnectTimeout, *this);
    m_client->writeBody(body);
}

void ForwardedRequest::onConnected()
{
    m_connected = true;
    m_node.connections().recordConnected(m_target.server);
}

void ForwardedRequest::onHead(int status, std::span<const HttpField> fields)
{
    m_answered = true;
    m_status = status;
    // The server can't tell the host that forwards from the one that asked it to.
    m_node.recordNotice(m_target.server, m_target.startedAtMs,
                        m_node.dialect().decodeAnswer(status, fields, {}).notice);
    m_exchange->beginStream(status, forwardedAnswerFields(fields));
}

void ForwardedRequest::onBody(std::string_view part)
{
    m_exchange->write(part);
    pauseWhilePending(*m_exchange, m_client, HighWaterBytes);
}

void ForwardedRequest::onEnd()
{
    m_exchange->endStream();
    finish("complete");
}

void ForwardedRequest::onError(const Error &error)
{
    if (m_answered) {
        // Closing calls back, and the other host has not left.
        m_exchange->onClosed(nullptr);
        m_exchange->abort();
        return finish("cut");
    }
    if (m_connected)
        return answer(ForwardOutcome::Lost);
    ServerConnections &connections = m_node.connections();
    connections.recordFailed(m_target.server);
    const ForwardOutcome outcome =
        error.kind == ErrorKind::Timeout ? ForwardOutcome::TimedOut : ForwardOutcome::Unreachable;
    if (connections.provenSince(m_startedAt))
        return answer(outcome);
    if (!isHealthCheck())
        return answer(ForwardOutcome::LinksUnproven);
    // The other host asks whether the server has ended, and nobody needs to have sent a request to
    // another server lately.
    connections.proveLinks(m_target.server, [weak = weak_from_this(), outcome] {
        const auto self = weak.lock();
        if (!self || !self->m_self)
            return;
        const bool proven = self->m_node.connections().provenSince(self->m_startedAt);
        self->answer(proven ? outcome : ForwardOutcome::LinksUnproven);
    });
}

void ForwardedRequest::answer(ForwardOutcome outcome)
{
    answer(forwardOutcomeFields(outcome));
}

void ForwardedRequest::answer(std::span<const HttpField> outcome)
{
    m_exchange->onClosed(nullptr);
    m_exchange->respond(StatusBadGateway, outcome, "");
    finish(outcome.front().value);
}

void ForwardedRequest::finish(std::string_view outcome)
{
    const auto keep = std::exchange(m_self, nullptr);
    if (!keep)
        return;
    m_node.forwardEnded();
    m_exchange->onClosed(nullptr);
    if (const auto client = std::exchange(m_client, nullptr))
        client->close();
    LogEvent::decision("forwarded_for")
        .field("request", m_node.dialect().decodeRequest(*m_exchange).id)
        .field("server", m_target.server)
        .field("status", m_status)
        .field("outcome", outcome);
}

} // namespace

bool tryForwardRequest(GatewayNode &node, const std::shared_ptr<HttpExchange> &exchange)
{
    auto target = decodeForwardTarget(exchange->target());
    if (!target)
        return false;
    std::make_shared<ForwardedRequest>(node, exchange, std::move(*target))->start();
    return true;
}

} // namespace dogwoodvalve
