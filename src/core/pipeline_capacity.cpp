#include <dogwoodvalve/pipeline_capacity.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace dogwoodvalve {

namespace {

/// A result is reused for about the delay of the engines' load reports, within which other hosts
/// can't see yet what this host has started.
constexpr Duration CacheLifetime = 200ms;
/// Factor on the sequences that keep the servers busy, so that none is idle while answers are in
/// transit.
constexpr double OversubscriptionFactor = 2.4;

} // namespace

double PipelineCapacity::StageCapacity::slots(std::size_t hosts) const
{
    const double free = total - own - others;
    const double equalShare = 1.0 / static_cast<double>(std::max<std::size_t>(hosts, 1));
    const double used = own + others;
    const double share = used > 0 ? std::max(own / used, equalShare) : equalShare;
    return own + free * share;
}

PipelineCapacity::StageCapacity PipelineCapacity::stageCapacity(const Configuration &configuration,
                                                                const ServerIndices &stage,
                                                                TimePoint now) const
{
    const ZoneIndex entryZone = configuration.zoneIndex(m_entryZone);
    StageCapacity capacity;
    for (const std::uint32_t i : stage) {
        const ConfiguredServer &server = configuration.servers()[i];
        const BackendServer &state = *server.state;
        if (server.spec->draining || state.leaving() || state.ejected(now))
            continue;
        const Duration roundTrip = 2 * configuration.link(entryZone, server.zone).latency;
        capacity.total +=
            state.residentCapacity(server.spec->batch, roundTrip) * OversubscriptionFactor;
        capacity.own += state.inFlight();
        capacity.others += std::max(0.0, state.estimatedLoad(now) - state.inFlight());
    }
    return capacity;
}

int PipelineCapacity::slots(std::string_view pipeline)
{
    const TimePoint now = m_clock();
    const auto it = m_cache.find(pipeline);
    if (it != m_cache.end() && now - it->second.computedAt < CacheLifetime)
        return it->second.slots;
    const auto configuration = m_configuration();
    const ConfiguredPipeline *found = configuration->pipeline(pipeline);
    std::vector<StageCapacity> stages;
    double own = 0;
    if (found) {
        for (const ServerIndices &stage : found->candidates.front()) {
            stages.push_back(stageCapacity(*configuration, stage, now));
            own = std::max(own, stages.back().own);
        }
    }
    double minSlots = stages.empty() ? 0 : std::numeric_limits<int>::max();
    for (StageCapacity &capacity : stages) {
        // A sequence that has not reached a stage yet will need capacity there.
        capacity.own = own;
        minSlots = std::min(minSlots, capacity.slots(m_hosts()));
    }
    const int slots = static_cast<int>(std::max(0.0, minSlots));
    m_cache[std::string(pipeline)] = {slots, now};
    return slots;
}

} // namespace dogwoodvalve
