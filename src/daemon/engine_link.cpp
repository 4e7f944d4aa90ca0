#include "daemon/engine_link.h"

#include "core/mutation.h"
#include "net/endpoint.h"

namespace dogwoodvalve {

namespace {

constexpr std::size_t MaxLineBytes = 64 * 1024 * 1024;
constexpr Duration ConnectTimeout = 1s;
constexpr Duration ReconnectDelay = 200ms;
constexpr Duration TimeoutCheckInterval = 100ms;

} // namespace

EngineLink::EngineLink(LoopServices &loop, std::shared_ptr<BackendServer> server,
                       Duration readTimeout, EngineLinkEvents &events)
    : m_loop(loop)
    , m_timers(loop.timers())
    , m_server(std::move(server))
    , m_readTimeout(readTimeout)
    , m_events(events)
    , m_lineSplitter(MaxLineBytes)
{
    if (const auto endpoint = parseEndpoint(m_server->address()))
        m_endpoint = endpoint.value();
    connect();
    checkTimeouts();
}

EngineLink::~EngineLink()
{
    m_timers.cancel(m_timeoutCheckTimer);
    m_timers.cancel(m_reconnectTimer);
    if (m_request)
        m_request->close();
}

void EngineLink::connect()
{
    m_reconnectTimer = 0;
    m_lineSplitter = LineSplitter(MaxLineBytes);
    m_connectStartedAt = m_timers.now();
    m_request = m_loop.createHttpClient();
    HttpRequestHead head;
    head.method = "POST";
    head.target = "/v1/steps";
    head.fields = {{"Content-Type", "application/x-ndjson"}};
    head.chunked = true;
    m_request->start(m_endpoint, head, ConnectTimeout, *this);
}

bool EngineLink::send(const StepRequest &request)
{
    if (!m_connected)
        return false;
    if (m_outstanding == 0)
        m_lastReceivedAt = m_timers.now();
    ++m_outstanding;
    appendStepLine(m_sendBuffer, request);
    scheduleFlush();
    return true;
}

void EngineLink::release(SequenceId sequence)
{
    if (!m_connected)
        return;
    appendEndSequenceLine(m_sendBuffer, sequence);
    scheduleFlush();
}

/// Collects the lines of one turn of the event loop, so that they go out in one write.
void EngineLink::scheduleFlush()
{
    if (m_flushScheduled)
        return;
    m_flushScheduled = true;
    m_loop.post([this, alive = std::weak_ptr(m_alive)] {
        if (alive.expired())
            return;
        m_flushScheduled = false;
        if (m_connected)
            m_request->write(m_sendBuffer);
        m_sendBuffer.clear();
    });
}

void EngineLink::onHead(int status, std::span<const HttpField>)
{
    if (status != 200)
        return disconnect("the engine refused the connection");
    m_connected = true;
    m_outstanding = 0;
    m_lastReceivedAt = m_timers.now();
    m_server->recordSuccess();
    m_events.engineConnected(*m_server);
}

void EngineLink::onBody(std::string_view part)
{
    m_lastReceivedAt = m_timers.now();
    const auto alive = std::weak_ptr(m_alive);
    const bool valid = m_lineSplitter.feed(part, [&](std::string_view line) {
        if (!alive.expired())
            handleLine(line);
    });
    if (!alive.expired() && !valid)
        disconnect("the engine sent a line that is too long");
}

void EngineLink::handleLine(std::string_view line)
{
    const Result<EngineLine> parsed = parseEngineLine(line);
    if (!parsed)
        return;
    const EngineLine &message = parsed.value();
    if (message.kind == EngineLine::Kind::Load)
        return m_server->recordLoadReport(message.load, m_timers.now());
    if (m_outstanding > 0)
        --m_outstanding;
    m_events.engineAnswered(message.answer);
}

void EngineLink::onEnd()
{
    disconnect("the engine closed the connection");
}

void EngineLink::onError(const Error &error)
{
    disconnect(error.message);
}

void EngineLink::disconnect(std::string_view cause)
{
    const std::string kept(cause);
    const bool wasConnected = m_connected;
    m_connected = false;
    m_outstanding = 0;
    m_sendBuffer.clear();
    m_request->close();
    m_server->recordFailure(m_timers.now());
    if (m_reconnectTimer == 0)
        m_reconnectTimer =
            m_timers.schedule(m_timers.now() + ReconnectDelay, [this] { connect(); });
    if (wasConnected)
        m_events.engineLost(*m_server, kept);
}

/// Disconnects from an engine that is frozen or cut off from the network, which does not close the
/// connection, and ends connection attempts without an answer.
void EngineLink::checkTimeouts()
{
    const TimePoint now = m_timers.now();
    const bool readTimedOut = now - m_lastReceivedAt > m_readTimeout;
    if (m_connected && m_outstanding > 0 && readTimedOut && !mutated("ignore-silence"))
        disconnect("no data from the engine within the read timeout");
    if (!m_connected && m_reconnectTimer == 0 && now - m_connectStartedAt > ConnectTimeout)
        disconnect("the engine does not answer");
    m_timeoutCheckTimer =
        m_timers.schedule(now + TimeoutCheckInterval, [this] { checkTimeouts(); });
}

} // namespace dogwoodvalve
