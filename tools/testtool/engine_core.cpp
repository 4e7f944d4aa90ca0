#include "engine_core.h"

#include "reference_model.h"

#include <dogwoodvalve/hash.h>

#include <algorithm>

namespace dogwoodvalve::testtool {

namespace {

constexpr std::size_t PrefixBlockCharacters = 256;
constexpr int PositionsPerBlock = 64;
constexpr Duration ActiveTime = 1s;

} // namespace

EngineCore::EngineCore(EngineProfile profile, TimerService &timers, AnswerSink sink,
                       std::uint64_t seed)
    : m_profile(std::move(profile))
    , m_timers(timers)
    , m_sink(std::move(sink))
    , m_random(seed)
{ }

EngineCore::~EngineCore()
{
    m_timers.cancel(m_iteration);
}

int EngineCore::load() const
{
    const TimePoint now = m_timers.now();
    return static_cast<int>(
        std::count_if(m_sequences.begin(), m_sequences.end(),
                      [now](const auto &it) { return now - it.second.lastStep <= ActiveTime; }));
}

void EngineCore::submit(ConnectionId connection, EngineCommand command)
{
    if (command.kind == EngineCommand::Kind::End) {
        const auto ended = [&](const Waiting &it) {
            return it.command.sequence == command.sequence;
        };
        m_sequences.erase(command.sequence);
        std::erase_if(m_queue, ended);
        std::erase_if(m_batch, ended);
        return;
    }
    const bool full =
        command.basePosition == 0 && static_cast<int>(m_queue.size()) >= m_profile.maxQueue;
    if (full || (command.basePosition == 0 && m_random.chance(m_faults.refuse))) {
        StepAnswer refusal;
        refusal.sequence = command.sequence;
        refusal.attempt = command.attempt;
        refusal.layers = command.layers;
        refusal.basePosition = command.basePosition;
        refusal.fault = StepFault::Refused;
        return m_sink(connection, refusal);
    }
    m_queue.push_back({connection, std::move(command)});
    if (m_iteration == 0 && !m_faults.frozen)
        beginIteration();
}

void EngineCore::dropConnection(ConnectionId connection)
{
    const auto dropped = [&](const Waiting &it) { return it.connection == connection; };
    std::erase_if(m_queue, dropped);
    std::erase_if(m_batch, dropped);
    std::erase_if(m_sequences, [&](const auto &it) { return it.second.connection == connection; });
}

void EngineCore::thaw()
{
    m_faults.frozen = false;
    if (m_iteration == 0 && !m_queue.empty())
        beginIteration();
}

/// Takes the steps that wait, up to the batch, and answers them all when the step time is over.
void EngineCore::beginIteration()
{
    std::stable_sort(m_queue.begin(), m_queue.end(), [](const Waiting &a, const Waiting &b) {
        return a.command.weight > b.command.weight;
    });
    const auto n = std::min<std::size_t>(m_queue.size(), static_cast<std::size_t>(m_profile.batch));
    int prefill = 0;
    for (std::size_t i = 0; i < n; ++i) {
        m_batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
        prefill += uncachedPositions(m_batch.back().command);
    }
    ++m_counters.iterations;
    const Duration plain = m_profile.stepTime + m_profile.prefillPerToken * prefill;
    const auto slowed =
        static_cast<std::int64_t>(static_cast<double>(plain.count()) * m_faults.slowdown);
    m_iteration = m_timers.schedule(m_timers.now() + Duration(slowed), [this] { endIteration(); });
}

/// Names the prefixes that end at each whole block of a prompt. A later stage sees no text, but the
/// hidden state at a block's end tells the prefix just as well.
std::vector<std::uint64_t> EngineCore::prefixBlocksOf(const EngineCommand &command)
{
    std::vector<std::uint64_t> blocks;
    for (std::size_t i = PositionsPerBlock; i <= command.hidden.size(); i += PositionsPerBlock)
        blocks.push_back(command.hidden[i - 1]);
    std::uint64_t hash = 0;
    std::string_view rest = command.prompt;
    while (rest.size() >= PrefixBlockCharacters) {
        hash = stableHash(rest.substr(0, PrefixBlockCharacters), hash);
        rest.remove_prefix(PrefixBlockCharacters);
        blocks.push_back(hash);
    }
    return blocks;
}

/// Positions whose prefill costs time: those of a prompt that the prefix cache does not hold.
int EngineCore::uncachedPositions(const EngineCommand &command)
{
    if (command.basePosition > 0)
        return 0;
    const std::size_t text = command.prompt.empty() ? 0 : command.prompt.size() / 4 + 1;
    const int all = static_cast<int>(text + command.tokens.size() + command.hidden.size());
    int cached = 0;
    bool matching = true;
    for (const std::uint64_t block : prefixBlocksOf(command)) {
        const auto it = m_prefixCache.find(block);
        matching = matching && it != m_prefixCache.end();
        if (matching)
            cached += PositionsPerBlock;
        touchPrefix(block);
    }
    m_counters.prefillPositions += static_cast<std::uint64_t>(all);
    m_counters.cachedPositions += static_cast<std::uint64_t>(cached);
    return std::max(0, all - cached);
}

void EngineCore::touchPrefix(std::uint64_t block)
{
    const auto it = m_prefixCache.find(block);
    if (it != m_prefixCache.end()) {
        m_prefixOrder.splice(m_prefixOrder.begin(), m_prefixOrder, it->second);
        return;
    }
    m_prefixOrder.push_front(block);
    m_prefixCache[block] = m_prefixOrder.begin();
    if (static_cast<int>(m_prefixCache.size()) > m_profile.prefixBlocks) {
        m_prefixCache.erase(m_prefixOrder.back());
        m_prefixOrder.pop_back();
    }
}

void EngineCore::endIteration()
{
    m_iteration = 0;
    const std::vector<Waiting> batch = std::exchange(m_batch, {});
    for (const Waiting &waiting : batch)
        deliver(waiting.connection, answerTo(waiting));
    if (!m_queue.empty() && !m_faults.frozen && m_iteration == 0)
        beginIteration();
}

void EngineCore::deliver(ConnectionId connection, const StepAnswer &answer)
{
    if (m_random.chance(m_faults.lose))
        return;
    if (m_random.chance(m_faults.duplicate))
        m_sink(connection, answer);
    if (!m_random.chance(m_faults.delay))
        return m_sink(connection, answer);
    m_timers.schedule(m_timers.now() + m_faults.delayTime,
                      [this, connection, answer, alive = std::weak_ptr(m_alive)] {
                          if (!alive.expired())
                              m_sink(connection, answer);
                      });
}

StepAnswer EngineCore::answerTo(const Waiting &waiting)
{
    const EngineCommand &command = waiting.command;
    StepAnswer answer;
    answer.sequence = command.sequence;
    answer.attempt = command.attempt;
    answer.layers = command.layers;
    answer.basePosition = command.basePosition;
    CachedSequence &cached = m_sequences[command.sequence];
    if (command.attempt < cached.attempt) {
        ++m_counters.stale;
        answer.fault = StepFault::Failed;
        return answer;
    }
    const bool wrongLayers = command.layers != m_profile.layers;
    if (wrongLayers) {
        answer.fault = StepFault::Failed;
        return answer;
    }
    cached.connection = waiting.connection;
    cached.attempt = command.attempt;
    cached.lastStep = m_timers.now();
    if (command.basePosition == 0) {
        cached.length = 0;
        cached.states.assign(static_cast<std::size_t>(m_profile.layers.size()), 0);
        ++m_counters.sequencesStarted;
        if (m_recordStarts && m_profile.layers.first == 0)
            ++m_starts[command.prompt];
    }
    if (cached.length != command.basePosition || m_random.chance(m_faults.loseCache)) {
        m_sequences.erase(command.sequence);
        answer.fault = StepFault::CacheLost;
        return answer;
    }
    return run(command, cached);
}

std::vector<std::uint64_t> EngineCore::inputsOf(const EngineCommand &command) const
{
    if (m_profile.layers.first > 0)
        return command.hidden;
    std::vector<std::int32_t> tokens;
    if (command.basePosition == 0)
        tokens = tokenise(command.prompt);
    tokens.insert(tokens.end(), command.tokens.begin(), command.tokens.end());
    std::vector<std::uint64_t> inputs;
    inputs.reserve(tokens.size());
    for (const std::int32_t token : tokens)
        inputs.push_back(embedToken(m_profile.model, token,
                                    command.basePosition + static_cast<int>(inputs.size())));
    return inputs;
}

StepAnswer EngineCore::run(const EngineCommand &command, CachedSequence &cached)
{
    StepAnswer answer;
    answer.sequence = command.sequence;
    answer.attempt = command.attempt;
    answer.layers = command.layers;
    answer.basePosition = command.basePosition;
    for (std::uint64_t hidden : inputsOf(command)) {
        for (int layer = m_profile.layers.first; layer <= m_profile.layers.last; ++layer) {
            std::uint64_t &state =
                cached.states[static_cast<std::size_t>(layer - m_profile.layers.first)];
            state = nextLayerState(state, hidden, layer, cached.length);
            hidden = nextHidden(hidden, state, layer);
        }
        ++cached.length;
        ++answer.positionCount;
        answer.hidden.push_back(hidden);
    }
    ++m_counters.steps;
    m_counters.positions += static_cast<std::uint64_t>(answer.positionCount);
    if (!command.last || answer.hidden.empty())
        return answer;
    const std::uint64_t final = answer.hidden.back();
    answer.hidden.clear();
    answer.endOfText = endsText(final);
    answer.token = tokenFromHidden(final);
    if (!answer.endOfText)
        answer.text = tokenText(answer.token);
    return answer;
}

} // namespace dogwoodvalve::testtool
