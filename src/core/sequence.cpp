#include "core/mutation.h"

#include <dogwoodvalve/invariant.h>
#include <dogwoodvalve/sequence.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Maximum number of recoveries, and of excluded servers when a server refuses a step.
constexpr int MaxRecoveries = 8;
/// How long a sequence that may have run waits until a server is available again.
constexpr Duration MaxServerWait = 3s;
constexpr Duration ServerPollInterval = 100ms;
constexpr Duration RetryAfterNoServer = 2s;
constexpr Duration RetryAfterBudgetSpent = 5s;
/// Estimate of the prompt's length in tokens, for the timeout of the first prefill.
constexpr std::size_t EstimatedBytesPerToken = 4;

} // namespace

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Complete:
        return "complete";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

Sequence::Sequence(SequenceEnvironment &environment, SequenceRequest request)
    : m_environment(environment)
    , m_request(std::move(request))
    , m_chain(m_request.stages.size())
{ }

Sequence::~Sequence()
{
    cancel();
}

void Sequence::start()
{
    if (m_request.deadline != TimePoint::max()) {
        m_deadlineTimer = m_environment.timers().schedule(m_request.deadline, [this] {
            m_deadlineTimer = 0;
            fail({ErrorKind::Timeout, "the request's deadline has passed",
                  "ask for fewer tokens or give a later deadline"},
                 1s);
        });
    }
    beginPass();
}

int Sequence::contextLength() const
{
    return m_promptTokens + static_cast<int>(m_tokens.size());
}

/// Runs the positions that are not cached yet through all stages, to get the next token.
void Sequence::beginPass()
{
    m_stage = 0;
    m_nextLayer = 0;
    m_input.clear();
    m_inputBase = 0;
    runStage();
}

void Sequence::runStage()
{
    StageSlot &slot = m_chain[m_stage];
    if (slot.server && slot.serverLost) {
        if (slot.cachedPositions > 0)
            return recover("its server was lost");
        replaceServer(slot);
    }
    if (ensureServer())
        sendStep();
}

bool Sequence::ensureServer()
{
    StageSlot &slot = m_chain[m_stage];
    if (slot.server)
        return true;
    auto chosen = m_environment.chooseServer(m_stage, m_excluded);
    if (!chosen) {
        waitForServer(chosen.error());
        return false;
    }
    slot = StageSlot {std::move(chosen).value(), 0, false};
    slot.server->addInFlight(1);
    m_serverWaitDeadline = TimePoint {};
    return true;
}

/// Fails at once if nothing has run. Otherwise polls for a while, as a server may come back soon.
void Sequence::waitForServer(const Error &error)
{
    TimerService &timers = m_environment.timers();
    const TimePoint now = timers.now();
    if (m_serverWaitDeadline == TimePoint {})
        m_serverWaitDeadline = now + MaxServerWait;
    if (!m_mayHaveRun || now >= m_serverWaitDeadline)
        return fail(error, RetryAfterNoServer);
    m_excluded.clear();
    m_waitTimer = timers.schedule(now + ServerPollInterval, [this] {
        m_waitTimer = 0;
        runStage();
    });
}

StepRequest Sequence::makeStep(const StageSlot &slot) const
{
    StepRequest step;
    step.sequence = m_request.id;
    step.attempt = m_attempt;
    step.layers = m_request.stages[m_stage];
    step.basePosition = slot.cachedPositions;
    step.last = m_stage + 1 == m_chain.size();
    step.weight = m_request.weight;
    if (m_stage > 0) {
        step.hidden = std::span(m_input).subspan(
            static_cast<std::size_t>(slot.cachedPositions - m_inputBase));
        return step;
    }
    step.tokens = m_tokens;
    if (slot.cachedPositions == 0)
        step.prompt = m_request.prompt;
    else
        step.tokens =
            step.tokens.subspan(static_cast<std::size_t>(slot.cachedPositions - m_promptTokens));
    return step;
}

void Sequence::sendStep()
{
    StageSlot &slot = m_chain[m_stage];
    if (!checkInvariant(m_stage == 0 || slot.cachedPositions >= m_inputBase,
                        "a stage is never sent positions without its input"))
        return fail({ErrorKind::Internal, "the input of a stage is missing", "send it again"}, 1s);
    const StepRequest step = makeStep(slot);
    if (!m_environment.send(*slot.server, step)) {
        slot.serverLost = true;
        return runStage();
    }
    m_stepOutstanding = true;
    m_mayHaveRun = true;
    const int positions = m_stage == 0 && slot.cachedPositions == 0
        ? static_cast<int>(m_request.prompt.size() / EstimatedBytesPerToken + m_tokens.size())
        : static_cast<int>(std::max(step.hidden.size(), step.tokens.size()));
    m_stepSentAt = m_environment.timers().now();
    m_stepDeadline = m_stepSentAt + m_environment.stepTimeout(*slot.server, positions);
    armStepTimer();
}

/// Uses one timer for all steps. It is rescheduled only when it fires, so that a step does not have
/// to schedule a timer of its own.
void Sequence::armStepTimer()
{
    if (m_stepTimer != 0)
        return;
    m_stepTimer = m_environment.timers().schedule(m_stepDeadline, [this] { onStepTimer(); });
}

void Sequence::onStepTimer()
{
    m_stepTimer = 0;
    if (m_finished)
        return;
    if (!m_stepOutstanding || m_environment.timers().now() < m_stepDeadline) {
        if (m_stepOutstanding)
            armStepTimer();
        return;
    }
    m_chain[m_stage].server->recordFailure(m_environment.timers().now());
    recover("no answer in time");
}

bool Sequence::matchesOutstanding(const StepAnswer &answer) const
{
    if (mutated("accept-any-answer"))
        return m_stepOutstanding && answer.sequence == m_request.id;
    return m_stepOutstanding && answer.sequence == m_request.id && answer.attempt == m_attempt
        && answer.layers == m_request.stages[m_stage]
        && answer.basePosition == m_chain[m_stage].cachedPositions;
}

void Sequence::onAnswer(const StepAnswer &answer)
{
    if (m_finished || !matchesOutstanding(answer)) {
        ++m_statistics.droppedAnswers;
        return;
    }
    m_stepOutstanding = false;
    if (answer.fault != StepFault::None)
        return onFault(answer.fault);
    if (!acceptPositions(answer))
        return recover("its answer covers other positions than asked for");
    if (!checkInvariant(answer.layers.first == m_nextLayer,
                        "each layer runs once for each token, in order"))
        return fail({ErrorKind::Internal, "a layer would run out of order", "send it again"}, 1s);
    m_nextLayer = answer.layers.last + 1;
    StageSlot &slot = m_chain[m_stage];
    const TimePoint now = m_environment.timers().now();
    slot.server->recordSuccess();
    slot.server->recordStepTime(now - m_stepSentAt, answer.basePosition == 0, now);
    slot.cachedPositions += answer.positionCount;
    if (m_stage + 1 == m_chain.size())
        return acceptToken(answer);
    m_input.assign(answer.hidden.begin(), answer.hidden.end());
    m_inputBase = answer.basePosition;
    ++m_stage;
    runStage();
}

bool Sequence::acceptPositions(const StepAnswer &answer)
{
    if (answer.positionCount <= 0)
        return false;
    const bool last = m_stage + 1 == m_chain.size();
    if (!last && answer.hidden.size() != static_cast<std::size_t>(answer.positionCount))
        return false;
    if (m_promptTokens < 0) {
        m_promptTokens = answer.positionCount - static_cast<int>(m_tokens.size());
        m_statistics.promptTokens = m_promptTokens;
    }
    return answer.basePosition + answer.positionCount == contextLength();
}

void Sequence::onFault(StepFault fault)
{
    StageSlot &slot = m_chain[m_stage];
    if (fault != StepFault::Refused || slot.cachedPositions > 0) {
        const bool cacheLost = fault == StepFault::CacheLost;
        if (!cacheLost)
            slot.server->recordFailure(m_environment.timers().now());
        return recover(cacheLost ? "its server lost the cache" : "its server failed");
    }
    // The step was refused before it ran: its input is still there, so another server can run it.
    const bool nothingRan = m_stage == 0 && m_statistics.recoveries == 0;
    if (nothingRan)
        m_mayHaveRun = false;
    if (m_excluded.size() >= static_cast<std::size_t>(MaxRecoveries))
        return fail(
            {ErrorKind::Overloaded, "the servers have no free capacity", "send it again later"},
            RetryAfterNoServer);
    replaceServer(slot);
    runStage();
}

/// Records on every server of the chain how long a token takes through all stages.
void Sequence::recordCycleTime()
{
    Duration cycle {};
    for (const StageSlot &slot : m_chain)
        cycle += slot.server->unloadedStepTime();
    for (const StageSlot &slot : m_chain)
        slot.server->recordCycleTime(cycle);
}

void Sequence::acceptToken(const StepAnswer &answer)
{
    const std::size_t index = m_tokens.size();
    if (index == 1)
        recordCycleTime();
    m_tokens.push_back(answer.token);
    ++m_statistics.tokens;
    if (!answer.endOfText)
        m_environment.emitToken(index, answer.text);
    if (m_finished)
        return;
    const bool atLimit = static_cast<int>(m_tokens.size()) >= m_request.maxTokens;
    if (!answer.endOfText && !atLimit) {
        m_paused = !m_environment.canAcceptToken();
        return m_paused ? void() : beginPass();
    }
    checkInvariant(m_nextLayer == m_request.stages.back().last + 1,
                   "a token has passed all layers");
    finish();
    m_environment.completed(answer.endOfText ? FinishReason::EndOfText : FinishReason::TokenLimit);
}

void Sequence::resume()
{
    if (m_finished || !m_paused)
        return;
    m_paused = false;
    beginPass();
}

void Sequence::onServerLost(const BackendServer &server)
{
    if (m_finished)
        return;
    for (StageSlot &slot : m_chain) {
        if (slot.server.get() == &server)
            slot.serverLost = true;
    }
    if (m_stepOutstanding && m_chain[m_stage].serverLost)
        recover("its connection was lost");
}

/// Starts a new attempt after the server of the current stage was lost. If its cache was empty, the
/// input is still there and goes to another server. Otherwise this stage and those before it are
/// rerun from the beginning; the stages after it keep their caches.
void Sequence::recover(std::string_view cause)
{
    m_stepOutstanding = false;
    StageSlot &slot = m_chain[m_stage];
    if (!m_request.idempotent && m_mayHaveRun && !mutated("rerun-non-idempotent"))
        return fail({ErrorKind::Unavailable, "a stage was lost and the request is not idempotent",
                     "find out whether it took effect before sending it again"},
                    1s);
    if (++m_statistics.recoveries > MaxRecoveries)
        return fail({ErrorKind::Unavailable, "the request lost its servers too often",
                     "send it again later"},
                    RetryAfterNoServer);
    if (!m_environment.trySpendRetry())
        return fail({ErrorKind::Overloaded, "the retry budget is spent", "send it again later"},
                    RetryAfterBudgetSpent);
    m_environment.recovering(m_stage, *slot.server, cause);
    ++m_attempt;
    const bool inputAvailable = slot.cachedPositions == 0;
    replaceServer(slot);
    if (inputAvailable)
        return runStage();
    for (std::size_t i = 0; i < m_stage && !mutated("rebuild-lost-stage-only"); ++i) {
        m_chain[i].cachedPositions = 0;
        if (m_chain[i].serverLost)
            replaceServer(m_chain[i]);
    }
    beginPass();
}

void Sequence::replaceServer(StageSlot &slot)
{
    const std::shared_ptr<BackendServer> server = std::move(slot.server);
    slot = StageSlot {};
    m_excluded.push_back(server.get());
    server->addInFlight(-1);
    m_environment.release(*server, m_request.id);
}

void Sequence::finish()
{
    m_finished = true;
    m_stepOutstanding = false;
    TimerService &timers = m_environment.timers();
    timers.cancel(m_stepTimer);
    timers.cancel(m_deadlineTimer);
    timers.cancel(m_waitTimer);
    for (StageSlot &slot : m_chain) {
        if (!slot.server)
            continue;
        slot.server->addInFlight(-1);
        m_environment.release(*slot.server, m_request.id);
    }
}

void Sequence::fail(const Error &error, Duration retryAfter)
{
    if (m_finished)
        return;
    const bool mayHaveRun = m_mayHaveRun && !mutated("always-say-not-run");
    const Outcome outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    finish();
    m_environment.failed({outcome, error, retryAfter});
}

void Sequence::cancel()
{
    if (!m_finished)
        finish();
}

} // namespace dogwoodvalve
