#pragma once

#include "daemon/caller_api.h"
#include "daemon/completion_session.h"
#include "daemon/engine_link.h"
#include "daemon/entry_context.h"
#include "net/loop_services.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace dogwoodvalve {

/// One thread's part of an entry process: completion sessions, links to the engines, and the API
/// for callers. On the path of a request, threads share nothing but the EntryContext.
class EntryWorker : public SessionEnvironment, public EngineLinkEvents
{
public:
    EntryWorker(EntryContext &context, LoopServices &loop, std::uint64_t seed);
    ~EntryWorker() override;

    EntryWorker(const EntryWorker &) = delete;
    EntryWorker &operator=(const EntryWorker &) = delete;

    /// Starts admission and connects to the engines. To be called on the loop's thread.
    void start();
    /// Opens and closes links to match the configuration in force.
    void updateEngineLinks();

    CallerApi &api() { return m_api; }
    std::size_t sessionCount() const { return m_sessions.size(); }

    EntryContext &context() override { return m_context; }
    LoopServices &loop() override { return m_loop; }
    Router &router() override { return m_router; }
    bool sendStep(BackendServer &server, const StepRequest &request) override;
    void releaseSequence(BackendServer &server, SequenceId sequence) override;
    void startSession(const std::shared_ptr<CompletionSession> &session) override;
    void sessionEnded(std::uint64_t number) override;

    void engineAnswered(const StepAnswer &answer) override;
    void engineLost(const BackendServer &server, std::string_view cause) override;
    void engineConnected(const BackendServer &server) override;

private:
    void pumpAdmission();

    EntryContext &m_context;
    LoopServices &m_loop;
    Router m_router;
    CallerApi m_api;
    std::map<const BackendServer *, std::unique_ptr<EngineLink>> m_links;
    std::unordered_map<std::uint64_t, std::shared_ptr<CompletionSession>> m_sessions;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    TimerId m_pumpTimer = 0;
};

} // namespace dogwoodvalve
