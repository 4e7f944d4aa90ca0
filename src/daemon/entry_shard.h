#pragma once

#include "daemon/completion_session.h"
#include "daemon/engine_link.h"
#include "daemon/entry_context.h"
#include "net/asio_timer_service.h"
#include "net/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <thread>
#include <unordered_map>

namespace dogwoodvalve {

class CallerApi;

/// One thread of an entry process: an event loop with its own listener, links to the engines and
/// sessions. Nothing on a request's path crosses threads but the shared context.
class EntryShard : public SessionHost, public EngineLinkEvents
{
public:
    EntryShard(EntryContext &context, std::uint64_t seed);
    ~EntryShard() override;

    EntryShard(const EntryShard &) = delete;
    EntryShard &operator=(const EntryShard &) = delete;

    Result<void> start();
    /// Ends the thread. Sessions still open are dropped.
    void stop();
    /// To be called from any thread when a new configuration is in force.
    void configurationChanged();
    /// Requests whose answers have not wholly left yet. Any thread may ask.
    int unfinishedExchanges() const { return m_server->unfinishedExchanges(); }

    /// Takes over a session and starts it.
    void run(const std::shared_ptr<CompletionSession> &session);

    EntryContext &context() override { return m_context; }
    TimerService &timers() override { return m_timers; }
    boost::asio::io_context &loop() override { return m_loop; }
    Router &router() override { return m_router; }
    bool sendStep(BackendServer &server, const StepRequest &request) override;
    void releaseSequence(BackendServer &server, SequenceId sequence) override;
    void sessionEnded(std::uint64_t number) override;

    void engineAnswered(const StepAnswer &answer) override;
    void engineLost(const BackendServer &server, std::string_view cause) override;
    void engineConnected(const BackendServer &server) override;

private:
    void adjustLinks();
    void pumpAdmission();

    EntryContext &m_context;
    boost::asio::io_context m_loop{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    AsioTimerService m_timers;
    Router m_router;
    std::unique_ptr<CallerApi> m_api;
    std::unique_ptr<HttpServer> m_server;
    std::map<const BackendServer *, std::unique_ptr<EngineLink>> m_links;
    std::unordered_map<std::uint64_t, std::shared_ptr<CompletionSession>> m_sessions;
    std::thread m_thread;
};

} // namespace dogwoodvalve
