#pragma once

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/specs.h>
#include <dogwoodvalve/timer_service.h>
#include <dogwoodvalve/world.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// Names a sequence on the engines: the incarnation of the entry host that drives it and a
/// number of its own.
struct SequenceId
{
    std::uint64_t origin = 0;
    std::uint64_t number = 0;

    std::strong_ordering operator<=>(const SequenceId &) const = default;
};

/// What can be said of a request that ended.
enum class Outcome {
    /// The caller has the whole answer.
    Complete,
    /// No backend server ran any part of it; it is safe to send again.
    NotRun,
    /// It may have run, in part or whole.
    Unknown,
};

/// not_run, unknown or complete.
std::string_view toString(Outcome outcome);

/// One pass of a sequence through one stage: the positions from basePosition on are run through
/// the stage's layers. Views are valid during the call only.
struct StepRequest
{
    SequenceId sequence;
    std::uint32_t attempt = 0;
    LayerRange layers;
    /// Positions that the server's KV cache holds already; 0 makes it start anew.
    int basePosition = 0;
    /// For the first stage from position 0: the prompt, which the engine tokenises.
    std::string_view prompt;
    /// For the first stage: tokens behind the prompt, or behind basePosition.
    std::span<const std::int32_t> tokens;
    /// For later stages: one hidden state for each position from basePosition on.
    std::span<const std::uint64_t> hidden;
    /// Whether the stage is the last and must answer with the next token.
    bool last = false;
    /// Priority at the engine: steps of a higher weight go first.
    double weight = 1;
};

/// How a step went wrong, as told by the engine.
enum class StepFault {
    None,
    /// The engine did not run it and will not, for lack of room.
    Refused,
    /// The engine no longer holds the sequence's KV cache.
    CacheLost,
    /// The engine failed in the midst of it.
    Failed,
};

/// What an engine answers to a step.
struct StepAnswer
{
    SequenceId sequence;
    std::uint32_t attempt = 0;
    LayerRange layers;
    int basePosition = 0;
    /// Positions that were run.
    int positionCount = 0;
    std::vector<std::uint64_t> hidden;
    /// From the last stage: the next token and its text.
    std::int32_t token = 0;
    std::string text;
    bool endOfText = false;
    StepFault fault = StepFault::None;
};

/// Why a sequence ended well.
enum class FinishReason {
    EndOfText,
    TokenLimit,
};

/// A request that failed, as the caller is told.
struct SequenceFailure
{
    Outcome outcome = Outcome::Unknown;
    Error error;
    Duration retryAfter = 1s;
};

/// Numbers of one sequence, for logs and metrics.
struct SequenceStatistics
{
    int promptTokens = 0;
    int tokens = 0;
    int recoveries = 0;
    int droppedAnswers = 0;
};

/// What a sequence needs from its surroundings. The daemon implements it with connections and the
/// tests with fakes.
class SequenceEnvironment
{
public:
    virtual ~SequenceEnvironment() = default;

    virtual TimerService &timers() = 0;

    /// Chooses a server for a stage. The excluded ones failed this sequence before.
    virtual Result<std::shared_ptr<BackendServer>>
    chooseServer(std::size_t stage, std::span<const BackendServer *const> excluded) = 0;

    /// Hands a step to a server. False: there is no connection and no byte was handed over.
    virtual bool send(BackendServer &server, const StepRequest &request) = 0;

    /// Tells a server that the sequence needs it no more.
    virtual void release(BackendServer &server, SequenceId sequence) = 0;

    /// How long an answer may take before it counts as lost.
    virtual Duration stepTimeout(const BackendServer &server, int positions) = 0;

    /// Asks whether a retry is within the budget, and spends it if so.
    virtual bool trySpendRetry() = 0;

    /// Whether the caller can take another token now. If not, resume() must follow later.
    virtual bool canAcceptToken() { return true; }

    /// The next token of the answer. Indices count from 0 without a gap.
    virtual void emitToken(std::size_t index, std::string_view text) = 0;
    virtual void completed(FinishReason reason) = 0;
    virtual void failed(const SequenceFailure &failure) = 0;

    /// The sequence goes on after the loss of a stage's server.
    virtual void recovering(std::size_t stage, const BackendServer &lost, std::string_view cause)
    {
        (void)stage;
        (void)lost;
        (void)cause;
    }
};

/// What is asked for.
struct SequenceRequest
{
    SequenceId id;
    std::vector<LayerRange> stages;
    std::string prompt;
    int maxTokens = 16;
    bool idempotent = true;
    double weight = 1;
    /// The request is given up at this time.
    TimePoint deadline = TimePoint::max();
};

/// Drives one request through the stages of its pipeline: token by token, each layer once and in
/// order. The servers stay the same while the sequence lives. When one is lost, the stages up to
/// it are run anew from the prompt and the tokens emitted so far; the later stages keep their
/// caches, and the caller sees each token once.
///
/// An answer counts only if it matches the one step that is outstanding in sequence, attempt,
/// layers and position; all others are dropped, so late, doubled and crossed answers do no harm.
class Sequence
{
public:
    Sequence(SequenceEnvironment &environment, SequenceRequest request);
    ~Sequence();

    Sequence(const Sequence &) = delete;
    Sequence &operator=(const Sequence &) = delete;

    void start();
    void onAnswer(const StepAnswer &answer);
    /// The connection to a server was lost, or it is known to be gone.
    void onServerLost(const BackendServer &server);
    /// The caller can take more tokens again.
    void resume();
    /// The caller went away: nothing more is reported.
    void cancel();

    bool finished() const { return m_finished; }
    const SequenceId &id() const { return m_request.id; }
    const SequenceStatistics &statistics() const { return m_statistics; }
    /// The server of a stage, or nullptr.
    const BackendServer *server(std::size_t stage) const { return m_chain[stage].server.get(); }

private:
    /// The server of one stage and what its KV cache holds.
    struct StageSlot
    {
        std::shared_ptr<BackendServer> server;
        int cachedPositions = 0;
        bool serverLost = false;
    };

    void beginPass();
    void runStage();
    bool ensureServer();
    void sendStep();
    StepRequest makeStep(const StageSlot &slot) const;
    bool matchesOutstanding(const StepAnswer &answer) const;
    void onFault(StepFault fault);
    bool acceptPositions(const StepAnswer &answer);
    void acceptToken(const StepAnswer &answer);
    void recordCycleTime();
    void recover(std::string_view cause);
    void replaceServer(StageSlot &slot);
    void waitForServer(const Error &error);
    void armStepTimer();
    void onStepTimer();
    void finish();
    void fail(const Error &error, Duration retryAfter);
    int contextLength() const;

    SequenceEnvironment &m_environment;
    SequenceRequest m_request;
    std::vector<StageSlot> m_chain;
    std::vector<const BackendServer *> m_excluded;
    std::vector<std::int32_t> m_tokens;
    std::vector<std::uint64_t> m_input;
    SequenceStatistics m_statistics;
    std::size_t m_stage = 0;
    std::uint32_t m_attempt = 1;
    int m_inputBase = 0;
    int m_promptTokens = -1;
    int m_nextLayer = 0;
    TimePoint m_stepSentAt {};
    TimePoint m_stepDeadline {};
    TimePoint m_serverWaitDeadline {};
    TimerId m_stepTimer = 0;
    TimerId m_deadlineTimer = 0;
    TimerId m_waitTimer = 0;
    bool m_stepOutstanding = false;
    bool m_paused = false;
    bool m_mayHaveRun = false;
    bool m_finished = false;
};

} // namespace dogwoodvalve
