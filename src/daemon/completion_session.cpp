#include "daemon/completion_session.h"

#include "core/mutation.h"
#include "daemon/caller_answers.h"
#include "daemon/log.h"
#include "net/http_text.h"

#include <dogwoodvalve/hash.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace dogwoodvalve {

namespace {

constexpr Duration MinStepTimeout = 2s;
constexpr Duration MaxStepTimeout = 60s;
/// A step times out after this multiple of the server's usual step time.
constexpr std::int64_t StepTimeoutFactor = 10;
constexpr Duration PrefillTimeoutPerPosition = 2ms;
/// Token generation pauses while at least this much output waits to be sent to the caller.
constexpr std::size_t StreamHighWaterBytes = 64 * 1024;
constexpr double CharactersPerToken = 4;
/// Weights of a sequence at the engines, for workspaces within their fair share and beyond it.
constexpr double FullPriority = 1;
constexpr double ReducedPriority = 0.5;

std::int64_t unixSeconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

} // namespace

CompletionSession::CompletionSession(SessionEnvironment &environment,
                                     std::shared_ptr<HttpExchange> exchange,
                                     ConfigurationPointer configuration,
                                     const ConfiguredWorkspace &workspace,
                                     CompletionRequest request, bool idempotent,
                                     std::optional<RequestKey> key)
    : m_environment(environment)
    , m_exchange(std::move(exchange))
    , m_configuration(std::move(configuration))
    , m_workspace(workspace)
    , m_pipeline(m_configuration->pipeline(request.model))
    , m_request(std::move(request))
    , m_idempotent(idempotent)
    , m_key(std::move(key))
    , m_id {environment.context().boot(), environment.context().nextSequence()}
    , m_arrivedAt(environment.loop().timers().now())
{
    const std::uint64_t salt = stableHash(m_pipeline->name, stableHash(m_workspace.name));
    m_prefixBlocks = PrefixIndex::blockHashes(m_request.prompt, salt);
}

CompletionSession::~CompletionSession() = default;

std::string CompletionSession::requestId() const
{
    char text[48];
    std::snprintf(text, sizeof(text), "%llx-%llx", static_cast<unsigned long long>(m_id.origin),
                  static_cast<unsigned long long>(m_id.number));
    return text;
}

void CompletionSession::start()
{
    EntryContext &context = m_environment.context();
    m_exchange->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->end(Outcome::Unknown, "the caller closed its connection");
    });
    const auto homes = context.workspaceHomes(m_workspace.name);
    AdmissionRequest admission;
    admission.workspace = m_workspace.name;
    admission.pipeline = m_pipeline->name;
    admission.limits = perHomeLimits(m_workspace.spec->limits, homes);
    const int wanted = m_request.maxTokens > 0 ? m_request.maxTokens : m_pipeline->spec->maxTokens;
    admission.cost = static_cast<double>(m_request.prompt.size()) / CharactersPerToken + wanted;
    admission.startBy = m_arrivedAt + context.settings().queueTimeout;
    context.recordRequest(m_pipeline->spec->pool, m_pipeline->pool->retryPercent);
    // The decision may be called on any thread and with the admission lock held, so it is posted to
    // this session's loop. It keeps the session alive, since an admitted request must be released.
    const auto decide = [self = shared_from_this(),
                         &loop = m_environment.loop()](const Refusal *refusal) {
        std::optional<Refusal> copy;
        if (refusal)
            copy = *refusal;
        loop.post([self, copy] { self->onAdmissionDecision(copy ? &*copy : nullptr); });
    };
    m_ticket = context.withAdmission([&](AdmissionController &controller) {
        return controller.submit(std::move(admission), m_arrivedAt, decide);
    });
}

void CompletionSession::onAdmissionDecision(const Refusal *refusal)
{
    if (!refusal)
        m_admitted = true;
    if (m_ended) {
        // The caller disconnected after the decision, before this task ran.
        if (m_admitted)
            m_environment.context().withAdmission([&](AdmissionController &controller) {
                controller.release(m_ticket, 0, timers().now());
            });
        return;
    }
    if (!refusal)
        return startSequence();
    failed({Outcome::NotRun, refusal->error, refusal->retryAfter});
}

void CompletionSession::startSequence()
{
    SequenceRequest request;
    request.id = m_id;
    request.stages = m_pipeline->spec->stages;
    request.prompt = m_request.prompt;
    request.maxTokens = m_pipeline->spec->maxTokens;
    if (m_request.maxTokens > 0)
        request.maxTokens = std::min(request.maxTokens, m_request.maxTokens);
    request.idempotent = m_idempotent;
    const bool withinShare = m_environment.context().withAdmission(
        [this](AdmissionController &controller) { return controller.withinFairShare(m_ticket); });
    request.weight = withinShare ? FullPriority : ReducedPriority;
    request.deadline = m_arrivedAt + m_environment.context().settings().requestTimeout;
    m_writer = std::make_unique<CompletionWriter>(
        m_request.kind,
        (m_request.kind == CompletionKind::Chat ? "chatcmpl-" : "cmpl-") + requestId(),
        m_request.model, unixSeconds());
    m_sequence = std::make_unique<Sequence>(*this, std::move(request));
    m_sequence->start();
}

void CompletionSession::onAnswer(const StepAnswer &answer)
{
    if (!m_sequence)
        return;
    const int dropped = m_sequence->statistics().droppedAnswers;
    m_sequence->onAnswer(answer);
    m_environment.context().metrics().countDroppedAnswers(m_sequence->statistics().droppedAnswers
                                                          - dropped);
}

void CompletionSession::onServerLost(const BackendServer &server)
{
    if (m_sequence)
        m_sequence->onServerLost(server);
}

Result<std::shared_ptr<BackendServer>>
CompletionSession::chooseServer(std::size_t stage, std::span<const BackendServer *const> excluded)
{
    // A server may be chosen long after the request started, so the current configuration decides.
    const ConfigurationPointer current = m_environment.context().configuration();
    const ConfiguredPipeline *pipeline = current->pipeline(m_pipeline->name);
    const ConfiguredWorkspace *workspace = current->workspaceByName(m_workspace.name);
    if (!pipeline || !workspace || pipeline->spec->stages != m_pipeline->spec->stages)
        return Error {ErrorKind::Unavailable,
                      "the pipeline was changed or removed during the request", "send it again"};
    RoutingQuery query;
    query.pipeline = pipeline;
    query.stage = stage;
    query.placementClass = workspace->placementClass;
    query.entryZone = current->zoneIndex(m_environment.context().settings().zone);
    query.prefixBlocks = m_prefixBlocks;
    query.excluded = excluded;
    query.now = timers().now();
    const auto choice = m_environment.router().choose(*current, query);
    if (!choice) {
        LogEvent::decision("route")
            .field("request", requestId())
            .field("workspace", m_workspace.name)
            .field("pipeline", m_pipeline->name)
            .field("stage", stage)
            .field("server", "none")
            .field("reason", choice.error().message);
        return choice.error();
    }
    logRoute(stage, choice.value());
    return choice.value().candidate.server->state;
}

void CompletionSession::logRoute(std::size_t stage, const RoutingChoice &choice) const
{
    const Candidate &chosen = choice.candidate;
    LogEvent::decision("route")
        .field("request", requestId())
        .field("workspace", m_workspace.name)
        .field("pipeline", m_pipeline->name)
        .field("stage", stage)
        .field("server", chosen.server->name)
        .field("reason", m_environment.router().policy().name())
        .field("score_us", chosen.score())
        .field("load", chosen.load)
        .field("step_us", chosen.stepCost)
        .field("link_us", chosen.linkCost)
        .field("prefix_us", chosen.prefixCredit)
        .field("considered", choice.considered)
        .field("draining", choice.filtered.draining)
        .field("ejected", choice.filtered.ejected)
        .field("excluded", choice.filtered.excluded);
}

bool CompletionSession::send(BackendServer &server, const StepRequest &request)
{
    return m_environment.sendStep(server, request);
}

void CompletionSession::release(BackendServer &server, SequenceId sequence)
{
    m_environment.releaseSequence(server, sequence);
}

Duration CompletionSession::stepTimeout(const BackendServer &server, int positions)
{
    const Duration expected = server.stepTime() * StepTimeoutFactor;
    const Duration prefill =
        positions > 1 ? PrefillTimeoutPerPosition * positions : Duration::zero();
    return std::clamp<Duration>(expected + prefill, MinStepTimeout, MaxStepTimeout);
}

bool CompletionSession::trySpendRetry()
{
    return m_environment.context().tryAcquireRetry(m_pipeline->spec->pool);
}

void CompletionSession::recovering(std::size_t stage, const BackendServer &lost,
                                   std::string_view cause)
{
    m_environment.context().metrics().countRetry();
    LogEvent::decision("recover")
        .field("request", requestId())
        .field("workspace", m_workspace.name)
        .field("stage", stage)
        .field("lost_server", lost.name())
        .field("reason", cause)
        .field("tokens", m_sequence->statistics().tokens);
}

bool CompletionSession::canAcceptToken()
{
    if (!m_streaming || m_exchange->pendingBytes() < StreamHighWaterBytes)
        return true;
    m_exchange->onDrained([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_sequence)
            self->m_sequence->resume();
    });
    return false;
}

void CompletionSession::beginStream()
{
    m_streaming = true;
    auto fields = commonFields(m_environment.context(), "text/event-stream", "streaming");
    fields.push_back({"Dogwoodvalve-Request", requestId()});
    m_exchange->beginStream(200, fields);
    m_chunk.clear();
    m_writer->appendFirstChunk(m_chunk);
    m_exchange->write(m_chunk);
}

void CompletionSession::emitToken(std::size_t index, std::string_view text)
{
    const TimePoint now = timers().now();
    if (index == 0)
        m_environment.context().metrics().observeFirstToken(now - m_arrivedAt);
    else
        m_environment.context().metrics().observeTokenGap(now - m_lastTokenAt);
    m_lastTokenAt = now;
    if (!m_request.stream) {
        m_text += text;
        return;
    }
    if (!m_streaming)
        beginStream();
    m_chunk.clear();
    m_writer->appendTextChunk(m_chunk, text);
    m_exchange->write(m_chunk);
}

void CompletionSession::completed(FinishReason reason)
{
    const SequenceStatistics &statistics = m_sequence->statistics();
    if (m_request.stream) {
        if (!m_streaming)
            beginStream();
        m_chunk.clear();
        m_writer->appendFinalChunks(m_chunk, reason, m_request.includeUsage,
                                    statistics.promptTokens, statistics.tokens);
        m_exchange->write(m_chunk);
        m_exchange->endStream();
    } else {
        auto fields = commonFields(m_environment.context(), "application/json", "complete");
        fields.push_back({"Dogwoodvalve-Request", requestId()});
        m_exchange->respond(
            200, fields,
            m_writer->responseBody(m_text, reason, statistics.promptTokens, statistics.tokens));
    }
    m_environment.context().metrics().countRequest(Outcome::Complete);
    end(Outcome::Complete, reason == FinishReason::EndOfText ? "end of text" : "token limit");
}

void CompletionSession::failed(const SequenceFailure &failure)
{
    if (m_streaming) {
        // The status has been sent, so an error event tells the caller that the answer is
        // incomplete.
        if (mutated("end-cut-answers-as-whole")) {
            m_chunk.clear();
            m_writer->appendFinalChunks(m_chunk, FinishReason::TokenLimit, false, 0, 0);
            m_exchange->write(m_chunk);
        }
        m_exchange->write("data: " + errorBody(failure.error, toString(failure.outcome)) + "\n\n");
        m_exchange->endStream();
        m_environment.context().metrics().countRequest(failure.outcome);
    } else {
        const bool busy = failure.error.kind == ErrorKind::Overloaded;
        const int status = busy && failure.outcome == Outcome::NotRun ? 429
            : busy                                                    ? 503
                                                                      : httpStatus(failure.error);
        respondFailure(m_environment.context(), m_exchange, status, failure.error, failure.outcome,
                       failure.retryAfter);
    }
    end(failure.outcome, failure.error.message);
}

void CompletionSession::end(Outcome outcome, std::string_view reason)
{
    if (m_ended)
        return;
    m_ended = true;
    EntryContext &context = m_environment.context();
    const TimePoint now = timers().now();
    if (m_sequence)
        m_sequence->cancel();
    const bool ran = m_sequence != nullptr;
    const int tokens = ran ? m_sequence->statistics().tokens : 0;
    context.withAdmission([&](AdmissionController &controller) {
        if (m_admitted)
            controller.release(m_ticket, tokens, now);
        else
            controller.cancel(m_ticket);
    });
    if (m_key)
        context.withKeyLedger([&](KeyLedger &keys) {
            keys.recordOutcome(m_workspace.name, *m_key, ran ? outcome : Outcome::NotRun);
        });
    context.metrics().countTokens(tokens);
    LogEvent("request")
        .field("request", requestId())
        .field("workspace", m_workspace.name)
        .field("pipeline", m_pipeline->name)
        .field("outcome", toString(outcome))
        .field("reason", reason)
        .field("tokens", tokens)
        .field("recoveries", ran ? m_sequence->statistics().recoveries : 0)
        .field("ms", (now - m_arrivedAt).count() / 1000);
    m_environment.sessionEnded(m_id.number);
}

} // namespace dogwoodvalve
