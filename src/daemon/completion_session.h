#pragma once

#include "codec/completion_codec.h"
#include "daemon/entry_context.h"
#include "net/http_server.h"
#include "net/loop_services.h"

#include <dogwoodvalve/routing.h>
#include <dogwoodvalve/sequence.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// What sessions and the caller API use of the thread that they run on.
class SessionEnvironment
{
public:
    virtual ~SessionEnvironment() = default;
    virtual EntryContext &context() = 0;
    virtual LoopServices &loop() = 0;
    virtual Router &router() = 0;
    /// Returns false if the engine is not connected; the step is then not sent.
    virtual bool sendStep(BackendServer &server, const StepRequest &request) = 0;
    virtual void releaseSequence(BackendServer &server, SequenceId sequence) = 0;
    /// Takes ownership of a session and starts it.
    virtual void startSession(const std::shared_ptr<class CompletionSession> &session) = 0;
    /// Called when a session has ended. The session must outlive the current turn of the event
    /// loop, since it is still on the stack.
    virtual void sessionEnded(std::uint64_t number) = 0;
};

/// One completion request from its admission to its last byte.
class CompletionSession : public SequenceEnvironment,
                          public std::enable_shared_from_this<CompletionSession>
{
public:
    CompletionSession(SessionEnvironment &environment, std::shared_ptr<HttpExchange> exchange,
                      ConfigurationPointer configuration, const ConfiguredWorkspace &workspace,
                      CompletionRequest request, bool idempotent, std::optional<RequestKey> key);
    ~CompletionSession() override;

    std::uint64_t number() const { return m_id.number; }

    /// Requests admission. The decision either starts the sequence or fails the request.
    void start();
    void onAnswer(const StepAnswer &answer);
    void onServerLost(const BackendServer &server);

    TimerService &timers() override { return m_environment.loop().timers(); }
    Result<std::shared_ptr<BackendServer>>
    chooseServer(std::size_t stage, std::span<const BackendServer *const> excluded) override;
    bool send(BackendServer &server, const StepRequest &request) override;
    void release(BackendServer &server, SequenceId sequence) override;
    Duration stepTimeout(const BackendServer &server, int positions) override;
    bool trySpendRetry() override;
    bool canAcceptToken() override;
    void emitToken(std::size_t index, std::string_view text) override;
    void completed(FinishReason reason) override;
    void failed(const SequenceFailure &failure) override;
    void recovering(std::size_t stage, const BackendServer &lost, std::string_view cause) override;

private:
    void onAdmissionDecision(const Refusal *refusal);
    void startSequence();
    void beginStream();
    void end(Outcome outcome, std::string_view reason);
    void logRoute(std::size_t stage, const RoutingChoice &choice) const;
    std::string requestId() const;

    SessionEnvironment &m_environment;
    std::shared_ptr<HttpExchange> m_exchange;
    ConfigurationPointer m_configuration;
    const ConfiguredWorkspace &m_workspace;
    const ConfiguredPipeline *m_pipeline;
    CompletionRequest m_request;
    bool m_idempotent;
    std::optional<RequestKey> m_key;
    SequenceId m_id;
    std::vector<std::uint64_t> m_prefixBlocks;
    std::unique_ptr<Sequence> m_sequence;
    std::unique_ptr<CompletionWriter> m_writer;
    std::string m_text;
    std::string m_chunk;
    AdmissionController::Ticket m_ticket = 0;
    TimePoint m_arrivedAt;
    TimePoint m_lastTokenAt {};
    bool m_admitted = false;
    bool m_streaming = false;
    bool m_ended = false;
};

} // namespace dogwoodvalve
