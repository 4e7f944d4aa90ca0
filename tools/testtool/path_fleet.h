#pragma once

#include "forwarding_engine.h"
#include "log_store.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace dogwoodvalve::testtool {

/// Answers each call with its path, stamped, and says how often it ran.
class StampedService : public HttpHandler
{
public:
    void handle(const std::shared_ptr<HttpExchange> &exchange) override;
};

/// A pretended platform for gateway hosts in one process: the store on the first port, engines on
/// the ports behind it and a plain service on the last, with a configuration for the host "demo"
/// and the key "demo-key". Routes: /generate/ to the engines, /read/ (idempotent) and /write/ (not)
/// to the service.
class PathFleet
{
public:
    PathFleet(boost::asio::io_context &loop, TimerService &timers, int engines);

    Result<void> listen(const boost::asio::ip::tcp::endpoint &first);

private:
    void configure();
    void heartbeat();
    std::string address(int offset) const;

    TimerService &m_timers;
    LogStore m_store;
    HttpServer m_storeServer;
    EngineMap m_engineMap;
    std::vector<std::unique_ptr<ForwardingEngine>> m_engines;
    std::vector<std::unique_ptr<HttpServer>> m_engineServers;
    StampedService m_service;
    HttpServer m_serviceServer;
    boost::asio::ip::tcp::endpoint m_first;
    boost::asio::io_context &m_loop;
    int m_count;
};

} // namespace dogwoodvalve::testtool
