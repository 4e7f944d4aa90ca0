#include "path_fleet.h"

#include "platform_objects.h"

#include <nlohmann/json.hpp>

namespace dogwoodvalve::testtool {

using nlohmann::json;

namespace {

constexpr Duration HeartbeatInterval = 1200ms;

} // namespace

void StampedService::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string id(exchange->header("X-Request-Id"));
    if (m_onArrival && !id.empty())
        m_onArrival(id);
    ++m_runs[id];
    std::vector<HttpField> fields {{"X-Request-Id", id}, {"X-Server-Stamp", "service"}};
    fields.insert(fields.end(), m_extraFields.begin(), m_extraFields.end());
    exchange->respond(m_status, fields, "served " + std::string(exchange->target()) + "\n");
}

PathFleet::PathFleet(boost::asio::io_context &loop, TimerService &timers, int engines,
                     int registeredPortShift)
    : m_timers(timers)
    , m_store(timers)
    , m_storeServer(loop, m_store, {})
    , m_loop(loop)
    , m_count(engines)
    , m_portShift(registeredPortShift)
    , m_startedAtMs(static_cast<std::size_t>(engines), 1)
{ }

std::string PathFleet::address(int offset) const
{
    return m_first.address().to_string() + ':'
        + std::to_string(m_first.port() + offset + m_portShift);
}

Result<void> PathFleet::listen(const boost::asio::ip::tcp::endpoint &first)
{
    m_first = first;
    const auto at = [&first](int offset) {
        return boost::asio::ip::tcp::endpoint(first.address(),
                                              static_cast<unsigned short>(first.port() + offset));
    };
    Result<void> result = m_storeServer.listen(first);
    for (int i = 1; i <= m_count && result; ++i) {
        m_engines.push_back(std::make_unique<ForwardingEngine>(m_timers, m_engineMap, address(i),
                                                               "engine-" + std::to_string(i)));
        m_engineServers.push_back(
            std::make_unique<HttpServer>(m_loop, *m_engines.back(), HttpServerLimits {}));
        result = m_engineServers.back()->listen(at(i));
    }
    for (int i = 0; i < Services && result; ++i) {
        m_serviceServers.push_back(std::make_unique<HttpServer>(
            m_loop, m_services[static_cast<std::size_t>(i)], HttpServerLimits {}));
        result = m_serviceServers.back()->listen(at(m_count + 1 + i));
    }
    configure(1, {"demo-key"});
    heartbeat();
    return result;
}

void PathFleet::configure(int version, const std::vector<std::string> &keys)
{
    const json services = {{{"Name", "engines"}, {"Engine", engineObject()}},
                           {{"Name", "service"}}};
    json once = routeObject("demo", "/once/", "streaming", "engines");
    once["CanResume"] = false;
    const json routes = {routeObject("demo", "/generate/", "streaming", "engines"), once,
                         routeObject("demo", "/read/", "safe", "service"),
                         routeObject("demo", "/write/", "unsafe", "service")};
    const json workspaces = {{{"Name", "demo"}, {"ApiKeys", keys}}};
    m_store.put("keyed.op", "config",
                json {{"Version", version},
                      {"Routes", routes},
                      {"Services", services},
                      {"Tenants", workspaces}}
                    .dump());
}

void PathFleet::setDraining(bool draining)
{
    m_draining = draining;
    registerServers();
}

void PathFleet::restartEngine(int i)
{
    engine(i).setLayers({});
    ++m_startedAtMs[static_cast<std::size_t>(i)];
}

void PathFleet::registerServers()
{
    for (int i = 1; i <= m_count; ++i) {
        if (engine(i - 1).dark())
            continue;
        m_store.put("keyed.servers", "engine-" + std::to_string(i),
                    engineEntry("engines", address(i), engine(i - 1).layers(),
                                m_startedAtMs[static_cast<std::size_t>(i - 1)])
                        .dump());
    }
    for (int i = 0; i < Services; ++i)
        m_store.put("keyed.servers", "service-" + std::to_string(i + 1),
                    plainEntry("service", address(m_count + 1 + i), i > 0 && m_draining).dump());
}

void PathFleet::heartbeat()
{
    registerServers();
    m_timers.schedule(m_timers.now() + HeartbeatInterval, [this] { heartbeat(); });
}

} // namespace dogwoodvalve::testtool
