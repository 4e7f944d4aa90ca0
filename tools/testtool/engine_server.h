#pragma once

#include "engine_core.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>

namespace dogwoodvalve::testtool {

/// An engine behind HTTP:
///
///     POST /v1/steps    steps and answers, one JSON object a line, both ways at once
///     GET  /v1/load     sequences held
///     GET  /v1/counters what it has done
///     POST /faults      switches faults on and off
class EngineServer : public HttpHandler
{
public:
    EngineServer(boost::asio::io_context &loop, TimerService &timers, EngineProfile profile,
                 std::uint64_t seed);

    /// Begins to report load to those connected.
    void start() { reportLoad(); }
    ~EngineServer() override { m_timers.cancel(m_reportTimer); }

    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    Result<void> listen(const boost::asio::ip::tcp::endpoint &endpoint);
    void handle(const std::shared_ptr<HttpExchange> &exchange) override;

    EngineCore &core() { return m_core; }
    unsigned short port() const { return m_server.port(); }

private:
    struct StepStream
    {
        std::shared_ptr<HttpExchange> exchange;
        LineSplitter lines;
    };

    void beginSteps(const std::shared_ptr<HttpExchange> &exchange);
    void readSteps(EngineCore::ConnectionId id);
    void endSteps(EngineCore::ConnectionId id);
    void sendAnswer(EngineCore::ConnectionId id, const StepAnswer &answer);
    void reportLoad();
    void applyFaults(const std::shared_ptr<HttpExchange> &exchange);
    void respondCounters(const std::shared_ptr<HttpExchange> &exchange);

    TimerService &m_timers;
    EngineCore m_core;
    HttpServer m_server;
    std::map<EngineCore::ConnectionId, StepStream> m_streams;
    EngineCore::ConnectionId m_lastId = 0;
    std::string m_line;
    TimerId m_reportTimer = 0;
};

} // namespace dogwoodvalve::testtool
