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

/// Identifies a sequence on the engines: the boot number of the entry host that drives it, and a
/// number that is unique within that boot.
struct SequenceId
{
    std::uint64_t origin = 0;
    std::uint64_t number = 0;

    std::strong_ordering operator<=>(const SequenceId &) const = default;
};

/// How a request ended, as far as its entry host knows.
enum class Outcome {
    /// The answer is complete.
    Complete,
    /// No backend server ran any part of it, so it is safe to send it again.
    NotRun,
    /// It may have run, partly or completely.
    Unknown,
};

/// The name of an outcome: complete, not_run or unknown.
std::string_view toString(Outcome outcome);

/// One step of a sequence: the positions from basePosition on are run through the layers of one
/// stage. The views are valid only during the call that receives the request.
struct StepRequest
{
    SequenceId sequence;
    std::uint32_t attempt = 0;
    LayerRange layers;
    /// Number of positions that the server's KV cache holds already; 0 discards the cache.
    int basePosition = 0;
    /// For the first stage at position 0: the text of the prompt, which the engine tokenises.
    std::string_view prompt;
    /// For the first stage: the generated tokens after the prompt, or from basePosition on.
    std::span<const std::int32_t> tokens;
    /// For later stages: one hidden state per position from basePosition on.
    std::span<const std::uint64_t> hidden;
    /// Whether this is the last stage, which answers with the next token.
    bool last = false;
    /// Priority at the engine: steps with a higher weight run first.
    double weight = 1;
};

/// Why a step failed, as reported by the engine.
enum class StepFault {
    None,
    /// The engine lacks capacity: it has not run the step and will not run it.
    Refused,
    /// The engine no longer holds the sequence's KV cache.
    CacheLost,
    /// The engine failed while it ran the step.
    Failed,
};

/// An engine's answer to a step.
struct StepAnswer
{
    SequenceId sequence;
    std::uint32_t attempt = 0;
    LayerRange layers;
    int basePosition = 0;
    /// Number of positions that were run.
    int positionCount = 0;
    std::vector<std::uint64_t> hidden;
    /// From the last stage: the next token and its text.
    std::int32_t token = 0;
    std::string text;
    bool endOfText = false;
    StepFault fault = StepFault::None;
};

/// Why a sequence completed.
enum class FinishReason {
    EndOfText,
    TokenLimit,
};

/// The failure of a request, as reported to the caller.
struct SequenceFailure
{
    Outcome outcome = Outcome::Unknown;
    Error error;
    Duration retryAfter = 1s;
};

/// Counters of one sequence, for logs and metrics.
struct SequenceStatistics
{
    int promptTokens = 0;
    int tokens = 0;
    int recoveries = 0;
    int droppedAnswers = 0;
};

/// What a sequence needs from its environment: timers, servers, a retry budget and a caller. The
/// daemon implements it with connections, the tests with mocks.
class SequenceEnvironment
{
public:
    virtual ~SequenceEnvironment() = default;

    virtual TimerService &timers() = 0;

    /// Chooses a server for a stage, other than the excluded ones, which failed or refused this
    /// sequence before.
    virtual Result<std::shared_ptr<BackendServer>>
    chooseServer(std::size_t stage, std::span<const BackendServer *const> excluded) = 0;

    /// Sends a step to a server. Returns false if there is no connection; no byte was sent then.
    virtual bool send(BackendServer &server, const StepRequest &request) = 0;

    /// Tells a server that the sequence no longer needs it.
    virtual void release(BackendServer &server, SequenceId sequence) = 0;

    /// How long to wait for the answer to a step of this many positions before it counts as lost.
    virtual Duration stepTimeout(const BackendServer &server, int positions) = 0;

    /// Spends one retry of the budget. Returns false if the budget is exhausted.
    virtual bool trySpendRetry() = 0;

    /// Whether the caller can accept another token now. If not, Sequence::resume() must be called
    /// once it can.
    virtual bool canAcceptToken() { return true; }

    /// Delivers the next token of the answer. Indices start at 0 and have no gaps.
    virtual void emitToken(std::size_t index, std::string_view text) = 0;
    virtual void completed(FinishReason reason) = 0;
    virtual void failed(const SequenceFailure &failure) = 0;

    /// Reports that the server of a stage was lost and that the sequence continues without it.
    virtual void recovering(std::size_t stage, const BackendServer &lost, std::string_view cause)
    {
        (void)stage;
        (void)lost;
        (void)cause;
    }
};

/// The parameters of a sequence.
struct SequenceRequest
{
    SequenceId id;
    std::vector<LayerRange> stages;
    std::string prompt;
    int maxTokens = 16;
    bool idempotent = true;
    double weight = 1;
    /// The request fails with ErrorKind::Timeout at this time.
    TimePoint deadline = TimePoint::max();
};

/// Drives one request through the stages of its pipeline, token by token. For each token, every
/// layer runs once and in order. Each stage keeps its server for as long as the sequence lives.
/// When a server is lost, the stages up to and including its stage are rerun from the prompt and
/// the tokens emitted so far. The later stages keep their caches, and the caller gets each token
/// once.
///
/// An answer is accepted only if it matches the one outstanding step in sequence, attempt, layers
/// and position. All others are dropped, so late, duplicate and misdirected answers have no effect.
class Sequence
{
public:
    Sequence(SequenceEnvironment &environment, SequenceRequest request);
    ~Sequence();

    Sequence(const Sequence &) = delete;
    Sequence &operator=(const Sequence &) = delete;

    void start();
    void onAnswer(const StepAnswer &answer);
    /// To be called when the connection to a server was lost or the server is known to be gone.
    void onServerLost(const BackendServer &server);
    /// To be called when the caller can accept tokens again.
    void resume();
    /// Ends the sequence because the caller has disconnected. Nothing more is reported.
    void cancel();

    bool finished() const { return m_finished; }
    const SequenceId &id() const { return m_request.id; }
    const SequenceStatistics &statistics() const { return m_statistics; }
    /// The server of a stage, or nullptr while none is assigned.
    const BackendServer *server(std::size_t stage) const { return m_chain[stage].server.get(); }

private:
    /// The server of one stage and the number of positions in its KV cache.
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
