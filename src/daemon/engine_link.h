#pragma once

#include "codec/step_codec.h"
#include "net/loop_services.h"

#include <dogwoodvalve/timer_service.h>
#include <dogwoodvalve/world.h>

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace dogwoodvalve {

/// Receives what comes over the link to an engine.
class EngineLinkEvents
{
public:
    virtual ~EngineLinkEvents() = default;
    virtual void engineAnswered(const StepAnswer &answer) = 0;
    virtual void engineLost(const BackendServer &server, std::string_view cause) = 0;
    virtual void engineConnected(const BackendServer &server) = 0;
};

/// The connection of one thread to one engine: a request whose body carries steps and whose
/// answer carries results, both for as long as the connection lives. It is made anew when it
/// breaks or falls silent while there is work on it.
class EngineLink : public HttpClientEvents
{
public:
    EngineLink(LoopServices &loop, std::shared_ptr<BackendServer> server, Duration readTimeout,
               EngineLinkEvents &events);
    ~EngineLink() override;

    EngineLink(const EngineLink &) = delete;
    EngineLink &operator=(const EngineLink &) = delete;

    /// Hands a step over. False if the engine is not connected; nothing is then handed over.
    bool send(const StepRequest &request);
    void release(SequenceId sequence);

    bool isConnected() const { return m_connected; }
    const BackendServer &server() const { return *m_server; }

    void onHead(int status, std::span<const HttpField> fields) override;
    void onBody(std::string_view part) override;
    void onEnd() override;
    void onError(const Error &error) override;

private:
    void connect();
    void disconnect(std::string_view cause);
    void handleLine(std::string_view line);
    void scheduleFlush();
    void checkTimeouts();

    LoopServices &m_loop;
    TimerService &m_timers;
    std::shared_ptr<BackendServer> m_server;
    Duration m_readTimeout;
    EngineLinkEvents &m_events;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::shared_ptr<HttpClientRequest> m_request;
    LineSplitter m_lineSplitter;
    std::string m_sendBuffer;
    TimePoint m_lastReceivedAt {};
    TimePoint m_connectStartedAt {};
    TimerId m_timeoutCheckTimer = 0;
    TimerId m_reconnectTimer = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    int m_outstanding = 0;
    bool m_connected = false;
    bool m_flushScheduled = false;
};

} // namespace dogwoodvalve
