#include "daemon/proxy_session.h"

#include "daemon/caller_answers.h"
#include "daemon/log.h"
#include "net/http_text.h"

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// One side is not read while more than this waits to be sent to the other.
constexpr std::size_t HighWaterBytes = 256 * 1024;

} // namespace

ProxySession::ProxySession(EntryContext &context, LoopServices &loop,
                           std::shared_ptr<HttpExchange> exchange, ProxyRequest request,
                           Finished finished)
    : m_context(context)
    , m_timers(loop.timers())
    , m_loop(loop)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_finished(std::move(finished))
    , m_startedAt(loop.timers().now())
{ }

ProxySession::~ProxySession()
{
    m_timers.cancel(m_timer);
}

bool ProxySession::hasNoBody() const
{
    const std::string_view length = m_exchange->header("Content-Length");
    return m_exchange->header("Transfer-Encoding").empty() && (length.empty() || length == "0");
}

void ProxySession::start()
{
    m_exchange->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->finish(self->m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                         "the caller closed its connection");
    });
    m_timer = m_timers.schedule(m_startedAt + m_request.timeout, [this] {
        m_timer = 0;
        onError({ErrorKind::Timeout, "the answer was not complete in time", "ask again later"});
    });
    tryNextTarget();
}

void ProxySession::tryNextTarget()
{
    if (m_nextTarget < m_request.targets.size()) {
        const ProxyTarget &target = m_request.targets[m_nextTarget++];
        m_inFlightServer = target.server;
        if (m_inFlightServer)
            m_inFlightServer->addInFlight(1);
        m_client = m_loop.createHttpClient();
        return m_client->start(target.endpoint, makeHead(), m_request.connectTimeout, *this);
    }
    if (m_onUnreachable && !m_bodyBegun) {
        const auto callback = std::exchange(m_onUnreachable, nullptr);
        const auto keep = shared_from_this();
        m_ended = true;
        m_timers.cancel(m_timer);
        m_exchange->onClosed(nullptr);
        m_onReleased();
        return callback();
    }
    respondFailure(m_context, m_exchange, 503,
                   {ErrorKind::Unavailable, "no server could be reached", "send it again later"},
                   m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun, 1s);
    finish(m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun, "no server could be reached");
}

HttpRequestHead ProxySession::makeHead() const
{
    HttpRequestHead head;
    head.method = m_exchange->method();
    head.target = m_request.path;
    head.fields = endToEndFields(m_exchange->headers());
    if (!m_request.passAuthorization)
        std::erase_if(head.fields, [](const HttpField &field) {
            return equalsIgnoringCase(field.name, "Authorization");
        });
    head.fields.insert(head.fields.end(), m_request.addedFields.begin(),
                       m_request.addedFields.end());
    head.chunked = !m_exchange->header("Transfer-Encoding").empty();
    const std::string_view length = m_exchange->header("Content-Length");
    if (!length.empty())
        head.bodyBytes = std::strtoull(std::string(length).c_str(), nullptr, 10);
    return head;
}

void ProxySession::onConnected()
{
    m_mayHaveRun = true;
    LogEvent::decision("route")
        .field("kind", m_request.kind)
        .field("workspace", m_request.workspace)
        .field("path", m_request.path)
        .field("server", m_request.targets[m_nextTarget - 1].name)
        .field("reason", m_nextTarget == 1 ? "least load" : "the previous target failed");
    if (!m_bodyBegun)
        pumpBody();
}

void ProxySession::pumpBody()
{
    m_bodyBegun = true;
    m_exchange->readBodyPart([weak = weak_from_this()](Result<std::string_view> part) {
        const auto self = weak.lock();
        if (!self || self->m_ended)
            return;
        if (!part)
            return self->failBody(part.error());
        if (part.value().empty())
            return self->m_client->finishBody();
        self->m_client->write(part.value());
        if (!self->m_exchange->tryHold(self->m_client->pendingBytes()))
            return self->failBody(noRoomForRequest());
        if (self->m_client->pendingBytes() > HighWaterBytes)
            self->m_bodyPaused = true;
        else
            self->pumpBody();
    });
}

/// The server has got a part of the request and may run it, which no status may deny.
void ProxySession::failBody(const Error &error)
{
    const int status = error.kind == ErrorKind::Overloaded ? 502 : httpStatus(error);
    if (!m_exchange->responded() && error.kind != ErrorKind::Unavailable)
        respondFailure(m_context, m_exchange, status, error, Outcome::Unknown, 1s);
    finish(Outcome::Unknown, error.message);
}

void ProxySession::onDrained()
{
    if (!m_bodyPaused)
        return;
    m_bodyPaused = false;
    pumpBody();
}

void ProxySession::onHead(int status, std::span<const HttpField> fields)
{
    const std::vector<HttpField> kept = endToEndFields(fields);
    const bool hasBody =
        m_exchange->method() != "HEAD" && status != 204 && status != 304 && status >= 200;
    if (hasBody)
        m_exchange->beginStream(status, kept);
    else
        m_exchange->respond(status, kept, "");
}

void ProxySession::onBody(std::string_view part)
{
    m_exchange->write(part);
    pauseWhilePending(*m_exchange, m_client, HighWaterBytes);
}

void ProxySession::onEnd()
{
    m_exchange->endStream();
    const auto &target = m_request.targets[m_nextTarget - 1];
    if (target.server)
        target.server->recordSuccess();
    m_context.metrics().countRequest(Outcome::Complete);
    finish(Outcome::Complete, "");
}

void ProxySession::onError(const Error &error)
{
    if (m_ended)
        return;
    const auto &target = m_request.targets[m_nextTarget - 1];
    if (target.server)
        target.server->recordFailure(m_timers.now());
    releaseInFlight();
    const bool timedOut = m_timer == 0;
    m_client->close();
    const bool nothingSent = !m_client->anyByteSent() && !m_bodyBegun;
    const bool canResend = m_request.idempotent && hasNoBody() && !m_exchange->responded();
    if (!timedOut && (nothingSent || canResend))
        return tryNextTarget();
    if (m_exchange->responded())
        m_exchange->abort();
    else
        respondFailure(m_context, m_exchange, timedOut ? 504 : 502, error,
                       m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun, 1s);
    finish(m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun, error.message);
}

void ProxySession::releaseInFlight()
{
    if (const auto server = std::exchange(m_inFlightServer, nullptr))
        server->addInFlight(-1);
}

void ProxySession::finish(Outcome outcome, std::string_view reason)
{
    if (m_ended)
        return;
    m_ended = true;
    const auto keep = shared_from_this();
    m_timers.cancel(m_timer);
    m_timer = 0;
    releaseInFlight();
    if (m_client)
        m_client->close();
    LogEvent("request")
        .field("kind", m_request.kind)
        .field("workspace", m_request.workspace)
        .field("path", m_request.path)
        .field("outcome", toString(outcome))
        .field("reason", reason)
        .field("ms", (m_timers.now() - m_startedAt).count() / 1000);
    m_finished(outcome);
    m_onReleased();
}

} // namespace dogwoodvalve
