#include <dogwoodvalve/pipeline_capacity.h>

#include <algorithm>
#include <limits>

namespace dogwoodvalve {

namespace {

/// A reckoning serves for this long.
constexpr Duration CacheTime = 20ms;
/// Sequences beyond what keeps the servers busy, so that none idles while answers travel.
constexpr double Slack = 1.3;

/// Mean step time of a stage's usable servers, by the work that each can do.
double stageStepTime(const Configuration &configuration, const ServerIndices &stage, TimePoint now)
{
    double batches = 0;
    double rate = 0;
    for (const std::uint32_t i : stage) {
        const ConfiguredServer &server = configuration.servers()[i];
        if (server.spec->draining || server.state->leaving() || server.state->ejected(now))
            continue;
        batches += server.spec->batch;
        rate += server.spec->batch / static_cast<double>(server.state->stepTime().count());
    }
    return rate > 0 ? batches / rate : 0;
}

} // namespace

int PipelineCapacity::reckon(const Configuration &configuration, const ConfiguredPipeline &pipeline,
                             TimePoint now)
{
    double cycle = 0;
    const auto &stages = pipeline.candidates.front();
    for (const ServerIndices &stage : stages)
        cycle += stageStepTime(configuration, stage, now);
    double fewest = std::numeric_limits<int>::max();
    for (const ServerIndices &stage : stages) {
        double room = 0;
        for (const std::uint32_t i : stage) {
            const ConfiguredServer &server = configuration.servers()[i];
            const BackendServer &state = *server.state;
            if (server.spec->draining || state.leaving() || state.ejected(now))
                continue;
            // A sequence is at one stage at a time, so a server keeps busy with as many more
            // sequences as the whole cycle is longer than its own step.
            const double step = static_cast<double>(state.stepTime().count());
            const double resident = server.spec->batch * std::max(1.0, cycle / step) * Slack;
            const double others = std::max(0.0, state.estimatedLoad(now) - state.inFlight());
            room += std::max(0.0, resident - others);
        }
        fewest = std::min(fewest, room);
    }
    return static_cast<int>(fewest);
}

int PipelineCapacity::slots(std::string_view pipeline)
{
    const TimePoint now = m_clock();
    const auto it = m_cache.find(pipeline);
    if (it != m_cache.end() && now - it->second.at < CacheTime)
        return it->second.slots;
    const auto configuration = m_configuration();
    const ConfiguredPipeline *found = configuration->pipeline(pipeline);
    const int slots = found ? reckon(*configuration, *found, now) : 0;
    m_cache[std::string(pipeline)] = {slots, now};
    return slots;
}

} // namespace dogwoodvalve
