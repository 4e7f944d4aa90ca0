#include "daemon/engine_link.h"

#include "core/mutation.h"
#include "net/endpoint.h"

namespace dogwoodvalve {

namespace {

constexpr std::size_t MaxLineBytes = 64 * 1024 * 1024;
constexpr Duration ConnectTimeout = 1s;
constexpr Duration ReconnectDelay = 200ms;
constexpr Duration WatchInterval = 100ms;

} // namespace

EngineLink::EngineLink(LoopServices &loop, std::shared_ptr<BackendServer> server,
                       Duration silenceLimit, EngineLinkEvents &events)
    : m_loop(loop)
    , m_timers(loop.timers())
    , m_server(std::move(server))
    , m_silenceLimit(silenceLimit)
    , m_events(events)
    , m_lines(MaxLineBytes)
{
    if (const auto endpoint = parseEndpoint(m_server->address()))
        m_endpoint = endpoint.value();
    connect();
    watch();
}

EngineLink::~EngineLink()
{
    m_timers.cancel(m_watchTimer);
    m_timers.cancel(m_reconnectTimer);
    if (m_request)
        m_request->close();
}

void EngineLink::connect()
{
    m_reconnectTimer = 0;
    m_lines = LineSplitter(MaxLineBytes);
    m_connectStarted = m_timers.now();
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
    if (!m_up)
        return false;
    if (m_outstanding == 0)
        m_lastHeard = m_timers.now();
    ++m_outstanding;
    appendStepLine(m_out, request);
    scheduleFlush();
    return true;
}

void EngineLink::release(SequenceId sequence)
{
    if (!m_up)
        return;
    appendEndLine(m_out, sequence);
    scheduleFlush();
}

/// All lines of one turn of the event loop go out in one write.
void EngineLink::scheduleFlush()
{
    if (m_flushScheduled)
        return;
    m_flushScheduled = true;
    m_loop.post([this, alive = std::weak_ptr(m_alive)] {
        if (alive.expired())
            return;
        m_flushScheduled = false;
        if (m_up)
            m_request->write(m_out);
        m_out.clear();
    });
}

void EngineLink::onHead(int status, std::span<const HttpField>)
{
    if (status != 200)
        return lose("the engine refused the connection");
    m_up = true;
    m_outstanding = 0;
    m_lastHeard = m_timers.now();
    m_server->noteSuccess();
    m_events.engineConnected(*m_server);
}

void EngineLink::onBody(std::string_view part)
{
    m_lastHeard = m_timers.now();
    const auto alive = std::weak_ptr(m_alive);
    const bool good = m_lines.feed(part, [&](std::string_view line) {
        if (!alive.expired())
            takeLine(line);
    });
    if (!alive.expired() && !good)
        lose("the engine sent a line that is too long");
}

void EngineLink::takeLine(std::string_view line)
{
    const Result<EngineLine> parsed = parseEngineLine(line);
    if (!parsed)
        return;
    const EngineLine &message = parsed.value();
    if (message.kind == EngineLine::Kind::Load)
        return m_server->reportLoad(message.load, m_timers.now());
    if (m_outstanding > 0)
        --m_outstanding;
    m_events.engineAnswered(message.answer);
}

void EngineLink::onEnd()
{
    lose("the engine closed the connection");
}

void EngineLink::onError(const Error &error)
{
    lose(error.message);
}

void EngineLink::lose(std::string_view cause)
{
    const std::string kept(cause);
    const bool wasUp = m_up;
    m_up = false;
    m_outstanding = 0;
    m_out.clear();
    m_request->close();
    m_server->noteFailure(m_timers.now());
    if (m_reconnectTimer == 0)
        m_reconnectTimer =
            m_timers.subscribe(m_timers.now() + ReconnectDelay, [this] { connect(); });
    if (wasUp)
        m_events.engineLost(*m_server, kept);
}

/// Notices an engine that is connected but frozen or cut off.
void EngineLink::watch()
{
    const TimePoint now = m_timers.now();
    const bool silent = now - m_lastHeard > m_silenceLimit;
    if (m_up && m_outstanding > 0 && silent && !mutated("ignore-silence"))
        lose("the engine fell silent");
    if (!m_up && m_reconnectTimer == 0 && now - m_connectStarted > ConnectTimeout)
        lose("the engine does not answer");
    m_watchTimer = m_timers.subscribe(now + WatchInterval, [this] { watch(); });
}

} // namespace dogwoodvalve
