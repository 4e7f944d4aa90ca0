#include "platform_server.h"

#include "net/http_text.h"
#include "standin_http.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace dogwoodvalve::testtool {

using nlohmann::json;

namespace {

constexpr std::size_t MaxRecord = 1024 * 1024;

std::uint64_t numberParameter(std::string_view target, std::string_view name,
                              std::uint64_t fallback)
{
    const std::string_view text = queryParameter(target, name);
    std::uint64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

PlatformServer::PlatformServer(boost::asio::io_context &loop, TimerService &timers,
                               double appendsPerSecond, std::size_t recordsKept, std::uint64_t seed)
    : m_timers(timers)
    , m_core(timers, appendsPerSecond, recordsKept)
    , m_server(loop, *this, HttpServerLimits {})
    , m_random(seed)
{ }

Result<void> PlatformServer::listen(const boost::asio::ip::tcp::endpoint &endpoint)
{
    return m_server.listen(endpoint);
}

void PlatformServer::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (pathOf(exchange->target()) == "/faults")
        return applyFaults(exchange);
    if (m_core.faults().down)
        return;
    m_timers.schedule(m_timers.now() + m_core.faults().latency,
                      [this, exchange] { answer(exchange); });
}

void PlatformServer::answer(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string_view path = pathOf(exchange->target());
    const bool post = exchange->method() == "POST";
    if (path == "/hosts")
        return post ? replaceHosts(exchange) : respondHosts(exchange);
    constexpr std::string_view LogPrefix = "/log/";
    if (path.substr(0, LogPrefix.size()) != LogPrefix)
        return respondJson(exchange, 404, {{"error", "no such path"}});
    const std::string stream(path.substr(LogPrefix.size()));
    return post ? appendRecord(exchange, stream) : readRecords(exchange, stream);
}

void PlatformServer::appendRecord(const std::shared_ptr<HttpExchange> &exchange,
                                  const std::string &stream)
{
    exchange->readBody(MaxRecord, [this, exchange, stream](Result<std::string> body) {
        if (!body)
            return respondJson(exchange, 400, {{"error", body.error().describe()}});
        const Result<LogOffset> offset = m_core.append(stream, std::move(body).value());
        if (m_random.chance(m_core.faults().loseAnswer))
            return exchange->abort();
        if (!offset)
            return respondJson(exchange, 429, {{"error", offset.error().describe()}});
        respondJson(exchange, 200, {{"offset", offset.value()}});
    });
}

void PlatformServer::readRecords(const std::shared_ptr<HttpExchange> &exchange,
                                 const std::string &stream)
{
    const LogOffset from = numberParameter(exchange->target(), "from", 0);
    const std::uint64_t most = numberParameter(exchange->target(), "max", 256);
    const LogPage page = m_core.read(stream, from, most);
    respondJson(exchange, 200,
                {{"firstKept", page.firstKept},
                 {"from", page.from},
                 {"end", page.end},
                 {"records", page.records}});
}

void PlatformServer::respondHosts(const std::shared_ptr<HttpExchange> &exchange)
{
    json list = json::array();
    for (const HostStatus &host : m_core.hosts())
        list.push_back({{"address", host.address}, {"leaving", host.leaving}});
    respondJson(exchange, 200, {{"hosts", list}});
}

void PlatformServer::replaceHosts(const std::shared_ptr<HttpExchange> &exchange)
{
    withJsonBody(exchange, [this, exchange](const json &body) {
        m_core.hosts().clear();
        for (const json &it : body.value("hosts", json::array()))
            m_core.hosts().push_back({it.value("address", ""), it.value("leaving", false)});
        respondJson(exchange, 200, {{"ok", true}});
    });
}

void PlatformServer::applyFaults(const std::shared_ptr<HttpExchange> &exchange)
{
    withJsonBody(exchange, [this, exchange](const json &body) {
        PlatformFaults &faults = m_core.faults();
        faults.down = body.value("down", faults.down);
        faults.loseAnswer = body.value("loseAnswer", faults.loseAnswer);
        faults.latency = Duration(body.value("latencyMicros", faults.latency.count()));
        respondJson(exchange, 200, {{"ok", true}});
    });
}

} // namespace dogwoodvalve::testtool
