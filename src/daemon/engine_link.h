#pragma once

#include "codec/step_codec.h"
#include "net/loop_services.h"

#include <dogwoodvalve/timer_service.h>
#include <dogwoodvalve/world.h>

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace dogwoodvalve {

/// Receives step answers and changes of the connection from an EngineLink.
class EngineLinkEvents
{
public:
    virtual ~EngineLinkEvents() = default;
    virtual void engineAnswered(const StepAnswer &answer) = 0;
    virtual void engineLost(const BackendServer &server, std::string_view cause) = 0;
    virtual void engineConnected(const BackendServer &server) = 0;
};

/// The connection of one thread to one engine: a single HTTP request whose body streams steps and
/// whose answer streams results. The link reconnects when the connection breaks, or when nothing
/// arrives within the read timeout while steps are outstanding.
class EngineLink : public HttpClientEvents
{
public:
    EngineLink(LoopServices &loop, std::shared_ptr<BackendServer> server, Duration readTimeout,
               EngineLinkEvents &events);
    ~EngineLink() override;

    EngineLink(const EngineLink &) = delete;
    EngineLink &operator=(const EngineLink &) = delete;

    /// Queues a step for sending. Returns false, without queueing it, if the engine is not
    /// connected.
    bool send(const StepRequest &request);
    /// Tells the engine that a sequence has ended. Does nothing if the engine is not connected.
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
