#include <dogwoodvalve/pipeline_capacity.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace dogwoodvalve {

namespace {

/// A reckoning serves for as long as the engines' load reports lag: what this host has claimed
/// meanwhile, the others have not yet seen.
constexpr Duration CacheTime = 200ms;
/// Sequences beyond what keeps the servers busy, so that none idles while answers travel.
constexpr double Slack = 2.4;

} // namespace

double PipelineCapacity::StageRoom::slots(std::size_t hosts) const
{
    const double free = total - own - others;
    const double equalShare = 1.0 / static_cast<double>(std::max<std::size_t>(hosts, 1));
    const double used = own + others;
    const double share = used > 0 ? std::max(own / used, equalShare) : equalShare;
    return own + free * share;
}

PipelineCapacity::StageRoom PipelineCapacity::roomOf(const Configuration &configuration,
                                                     const ServerIndices &stage,
                                                     TimePoint now) const
{
    const ZoneIndex entryZone = configuration.zoneIndex(m_entryZone);
    StageRoom room;
    for (const std::uint32_t i : stage) {
        const ConfiguredServer &server = configuration.servers()[i];
        const BackendServer &state = *server.state;
        if (server.spec->draining || state.leaving() || state.ejected(now))
            continue;
        const Duration roundTrip = 2 * configuration.link(entryZone, server.zone).latency;
        room.total += state.residentCapacity(server.spec->batch, roundTrip) * Slack;
        room.own += state.inFlight();
        room.others += std::max(0.0, state.estimatedLoad(now) - state.inFlight());
    }
    return room;
}

int PipelineCapacity::slots(std::string_view pipeline)
{
    const TimePoint now = m_clock();
    const auto it = m_cache.find(pipeline);
    if (it != m_cache.end() && now - it->second.at < CacheTime)
        return it->second.slots;
    const auto configuration = m_configuration();
    const ConfiguredPipeline *found = configuration->pipeline(pipeline);
    std::vector<StageRoom> rooms;
    double own = 0;
    if (found) {
        for (const ServerIndices &stage : found->candidates.front()) {
            rooms.push_back(roomOf(*configuration, stage, now));
            own = std::max(own, rooms.back().own);
        }
    }
    double fewest = rooms.empty() ? 0 : std::numeric_limits<int>::max();
    for (StageRoom &room : rooms) {
        // A sequence that has not come to a stage yet will need room there.
        room.own = own;
        fewest = std::min(fewest, room.slots(m_hosts()));
    }
    const int slots = static_cast<int>(std::max(0.0, fewest));
    m_cache[std::string(pipeline)] = {slots, now};
    return slots;
}

} // namespace dogwoodvalve
