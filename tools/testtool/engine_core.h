#pragma once

#include "codec/step_codec.h"

#include <dogwoodvalve/random.h>
#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace dogwoodvalve::testtool {

/// What an engine of the pretended fleet can do.
struct EngineProfile
{
    std::string model = "m";
    LayerRange layers {0, 11};
    /// Sequences run in one step.
    int batch = 16;
    /// Time of one step, whatever the number of sequences in it.
    Duration stepTime = 20ms;
    /// Added to a step for each position of prompt that is not in the prefix cache.
    Duration prefillPerToken = 100us;
    /// Steps that may wait; beyond it the engine refuses new sequences.
    int maxQueue = 1'000;
    /// Blocks of 64 positions that the prefix cache holds.
    int prefixBlocks = 512;
};

/// Faults that can be switched on while an engine runs. Probabilities are per answer.
struct EngineFaults
{
    bool frozen = false;
    double lose = 0;
    double duplicate = 0;
    double delay = 0;
    double refuse = 0;
    double loseCache = 0;
    Duration delayTime = 300ms;
    double slowdown = 1;
};

/// Counters of one engine.
struct EngineCounters
{
    std::uint64_t steps = 0;
    std::uint64_t iterations = 0;
    std::uint64_t positions = 0;
    std::uint64_t prefillPositions = 0;
    std::uint64_t cachedPositions = 0;
    std::uint64_t sequencesStarted = 0;
    std::uint64_t stale = 0;
};

/// A model engine without sockets: it batches waiting steps, keeps a KV cache for each sequence
/// and a prefix cache, and answers after the time that its profile gives.
class EngineCore
{
public:
    /// Identifies where an answer goes.
    using ConnectionId = std::uint64_t;
    using AnswerSink = std::function<void(ConnectionId, const StepAnswer &)>;

    EngineCore(EngineProfile profile, TimerService &timers, AnswerSink sink, std::uint64_t seed);
    ~EngineCore();

    EngineCore(const EngineCore &) = delete;
    EngineCore &operator=(const EngineCore &) = delete;

    void submit(ConnectionId connection, EngineCommand command);
    /// Ends the sequences of a connection that was lost.
    void dropConnection(ConnectionId connection);

    /// Sequences that had a step within the last second: those that take part in batches. A
    /// sequence whose entry host is frozen holds its cache, but takes no part.
    int load() const;
    /// Sequences held, whether they take part or not.
    int held() const { return static_cast<int>(m_sequences.size()); }
    EngineFaults &faults() { return m_faults; }
    const EngineProfile &profile() const { return m_profile; }
    const EngineCounters &counters() const { return m_counters; }
    void thaw();
    /// How often each prompt was run from its first position, for checks of at most once. Kept
    /// only if asked for, by engines that hold the first layer.
    const std::map<std::string, int> &starts() const { return m_starts; }
    void recordStarts(bool on) { m_recordStarts = on; }

private:
    struct Waiting
    {
        ConnectionId connection = 0;
        EngineCommand command;
    };

    struct CachedSequence
    {
        ConnectionId connection = 0;
        std::uint32_t attempt = 0;
        int length = 0;
        TimePoint lastStep {};
        std::vector<std::uint64_t> states;
    };

    void beginIteration();
    void endIteration();
    StepAnswer answerTo(const Waiting &waiting);
    StepAnswer run(const EngineCommand &command, CachedSequence &cached);
    std::vector<std::uint64_t> inputsOf(const EngineCommand &command) const;
    static std::vector<std::uint64_t> prefixBlocksOf(const EngineCommand &command);
    int uncachedPositions(const EngineCommand &command);
    void touchPrefix(std::uint64_t block);
    void deliver(ConnectionId connection, const StepAnswer &answer);

    EngineProfile m_profile;
    TimerService &m_timers;
    AnswerSink m_sink;
    Random m_random;
    EngineFaults m_faults;
    EngineCounters m_counters;
    std::deque<Waiting> m_queue;
    std::vector<Waiting> m_batch;
    std::map<SequenceId, CachedSequence> m_sequences;
    std::map<std::string, int> m_starts;
    std::list<std::uint64_t> m_prefixOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_prefixCache;
    TimerId m_iteration = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_recordStarts = false;
};

} // namespace dogwoodvalve::testtool
