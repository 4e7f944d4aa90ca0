#include "engine_server.h"

#include "net/http_text.h"
#include "standin_http.h"

#include <nlohmann/json.hpp>

namespace dogwoodvalve::testtool {

using nlohmann::json;

namespace {

constexpr Duration LoadReportInterval = 200ms;
constexpr std::size_t MaxLine = 64 * 1024 * 1024;

HttpServerLimits engineLimits()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = std::size_t(1) << 40;
    limits.stallTimeout = Duration(24h);
    return limits;
}

} // namespace

EngineServer::EngineServer(boost::asio::io_context &loop, TimerService &timers,
                           EngineProfile profile, std::uint64_t seed)
    : m_timers(timers)
    , m_core(
          std::move(profile), timers,
          [this](EngineCore::ConnectionId id, const StepAnswer &answer) { sendAnswer(id, answer); },
          seed)
    , m_server(loop, *this, engineLimits())
{ }

Result<void> EngineServer::listen(const boost::asio::ip::tcp::endpoint &endpoint)
{
    start();
    return m_server.listen(endpoint);
}

void EngineServer::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string_view path = pathOf(exchange->target());
    if (path == "/v1/steps")
        return beginSteps(exchange);
    if (path == "/v1/load")
        return respondJson(exchange, 200, {{"load", m_core.load()}});
    if (path == "/v1/counters")
        return respondCounters(exchange);
    if (path == "/faults")
        return applyFaults(exchange);
    respondJson(exchange, 404, {{"error", "no such path"}});
}

void EngineServer::beginSteps(const std::shared_ptr<HttpExchange> &exchange)
{
    const EngineCore::ConnectionId id = ++m_lastId;
    m_streams.emplace(id, StepStream {exchange, LineSplitter(MaxLine)});
    const std::vector<HttpField> fields {{"Content-Type", "application/x-ndjson"}};
    exchange->beginStream(200, fields);
    exchange->onClosed([this, id] { endSteps(id); });
    readSteps(id);
}

void EngineServer::readSteps(EngineCore::ConnectionId id)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    it->second.exchange->readBodyPart([this, id](Result<std::string_view> part) {
        const auto stream = m_streams.find(id);
        if (stream == m_streams.end())
            return;
        if (!part || part.value().empty())
            return endSteps(id);
        stream->second.lines.feed(part.value(), [&](std::string_view line) {
            Result<EngineCommand> command = parseEngineCommand(line);
            if (command)
                m_core.submit(id, std::move(command).value());
        });
        readSteps(id);
    });
}

void EngineServer::endSteps(EngineCore::ConnectionId id)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    const auto exchange = it->second.exchange;
    m_streams.erase(it);
    m_core.dropConnection(id);
    exchange->endStream();
}

void EngineServer::sendAnswer(EngineCore::ConnectionId id, const StepAnswer &answer)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    m_line.clear();
    appendAnswerLine(m_line, answer);
    it->second.exchange->write(m_line);
}

void EngineServer::reportLoad()
{
    m_line.clear();
    appendLoadLine(m_line, m_core.load());
    if (!m_core.faults().frozen) {
        for (const auto &[id, stream] : m_streams)
            stream.exchange->write(m_line);
    }
    m_reportTimer =
        m_timers.schedule(m_timers.now() + LoadReportInterval, [this] { reportLoad(); });
}

void EngineServer::applyFaults(const std::shared_ptr<HttpExchange> &exchange)
{
    withJsonBody(exchange, [this, exchange](const json &body) {
        EngineFaults &faults = m_core.faults();
        faults.lose = body.value("lose", faults.lose);
        faults.duplicate = body.value("duplicate", faults.duplicate);
        faults.delay = body.value("delay", faults.delay);
        faults.refuse = body.value("refuse", faults.refuse);
        faults.loseCache = body.value("loseCache", faults.loseCache);
        faults.slowdown = body.value("slowdown", faults.slowdown);
        const bool frozen = body.value("frozen", faults.frozen);
        if (faults.frozen && !frozen)
            m_core.thaw();
        faults.frozen = frozen;
        respondJson(exchange, 200, {{"ok", true}});
    });
}

void EngineServer::respondCounters(const std::shared_ptr<HttpExchange> &exchange)
{
    const EngineCounters &counters = m_core.counters();
    respondJson(exchange, 200,
                {{"steps", counters.steps},
                 {"iterations", counters.iterations},
                 {"positions", counters.positions},
                 {"prefillPositions", counters.prefillPositions},
                 {"cachedPositions", counters.cachedPositions},
                 {"sequencesStarted", counters.sequencesStarted},
                 {"stale", counters.stale},
                 {"load", m_core.load()}});
}

} // namespace dogwoodvalve::testtool
