#pragma once

#include "forwarding_engine.h"
#include "log_store.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dogwoodvalve::testtool {

/// Answers each call with its path, stamped, and counts how often it ran.
class StampedService : public HttpHandler
{
public:
    void handle(const std::shared_ptr<HttpExchange> &exchange) override;
    /// Runs by the caller's request id.
    const std::map<std::string, int> &runs() const { return m_runs; }
    /// Answers each further call with this status and these fields besides the usual ones.
    void setAnswer(int status, std::vector<HttpField> fields)
    {
        m_status = status;
        m_extraFields = std::move(fields);
    }
    /// The handler is called with the request id of each call that arrives.
    void setArrivalHandler(std::function<void(std::string_view id)> handler)
    {
        m_onArrival = std::move(handler);
    }

private:
    std::map<std::string, int> m_runs;
    std::vector<HttpField> m_extraFields;
    std::function<void(std::string_view)> m_onArrival;
    int m_status = 200;
};

/// A pretended platform for gateway hosts in one process: the store on the first port, engines on
/// the ports behind it and two plain servers on the last, with a configuration for the host "demo"
/// and the key "demo-key". Routes: /generate/ (resumable) and /once/ (not) to the engines, /read/
/// (idempotent) and /write/ (not) to the plain servers. The servers may be registered under other
/// ports, for relays before them.
class PathFleet
{
public:
    PathFleet(boost::asio::io_context &loop, TimerService &timers, int engines,
              int registeredPortShift = 0);

    Result<void> listen(const boost::asio::ip::tcp::endpoint &first);
    void configure(int version, const std::vector<std::string> &keys);
    /// Whether the second plain server registers itself as leaving.
    void setDraining(bool draining);
    /// Forgets what an engine holds, as after a restart, under the same id.
    void restartEngine(int i);

    LogStore &store() { return m_store; }
    ForwardingEngine &engine(int i) { return *m_engines[static_cast<std::size_t>(i)]; }
    const ForwardingEngine &engine(int i) const { return *m_engines[static_cast<std::size_t>(i)]; }
    StampedService &service(int i) { return m_services[static_cast<std::size_t>(i)]; }
    const StampedService &service(int i) const { return m_services[static_cast<std::size_t>(i)]; }

    static constexpr int Services = 2;

private:
    void heartbeat();
    void registerServers();
    /// Where a server is registered.
    std::string address(int offset) const;

    TimerService &m_timers;
    LogStore m_store;
    HttpServer m_storeServer;
    EngineMap m_engineMap;
    std::vector<std::unique_ptr<ForwardingEngine>> m_engines;
    std::vector<std::unique_ptr<HttpServer>> m_engineServers;
    std::array<StampedService, Services> m_services;
    std::vector<std::unique_ptr<HttpServer>> m_serviceServers;
    boost::asio::ip::tcp::endpoint m_first;
    boost::asio::io_context &m_loop;
    int m_count;
    int m_portShift;
    bool m_draining = false;
    /// Unix milliseconds of the engines' starts.
    std::vector<std::int64_t> m_startedAtMs;
};

} // namespace dogwoodvalve::testtool
