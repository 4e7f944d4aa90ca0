#include "service_server.h"

#include "net/http_text.h"
#include "standin_http.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace dogwoodvalve::testtool {

using nlohmann::json;

namespace {

constexpr std::size_t MaxBody = 64 * 1024 * 1024;

HttpServerLimits serviceLimits()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = MaxBody;
    return limits;
}

} // namespace

ServiceServer::ServiceServer(boost::asio::io_context &loop, TimerService &timers)
    : m_timers(timers)
    , m_server(loop, *this, serviceLimits())
{ }

Result<void> ServiceServer::listen(const boost::asio::ip::tcp::endpoint &endpoint)
{
    return m_server.listen(endpoint);
}

void ServiceServer::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string path(pathOf(exchange->target()));
    if (path == "/test/counts")
        return respondJson(exchange, 200, json(m_counts));
    const std::string id(exchange->header("Test-Id"));
    if (!id.empty())
        ++m_counts[id];
    if (path == "/test/drop")
        return exchange->abort();
    constexpr std::string_view SlowPrefix = "/test/slow/";
    if (path.substr(0, SlowPrefix.size()) != SlowPrefix)
        return echo(exchange);
    const Duration wait = std::chrono::milliseconds(std::atoi(path.c_str() + SlowPrefix.size()));
    m_timers.schedule(m_timers.now() + wait, [this, exchange] { echo(exchange); });
}

void ServiceServer::echo(const std::shared_ptr<HttpExchange> &exchange)
{
    exchange->readBody(MaxBody, [exchange](Result<std::string> body) {
        if (!body)
            return respondJson(exchange, 400, {{"error", body.error().describe()}});
        json fields = json::object();
        for (const HttpField &field : exchange->headers())
            fields[field.name] = field.value;
        respondJson(exchange, 200,
                    {{"method", exchange->method()},
                     {"target", exchange->target()},
                     {"fields", fields},
                     {"bodyBytes", body.value().size()},
                     {"body", body.value().substr(0, 1000)}});
    });
}

} // namespace dogwoodvalve::testtool
