#include "core/duration_math.h"
#include "core/mutation.h"

#include <dogwoodvalve/path_selector.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace dogwoodvalve {

namespace {

/// A server whose KV cache is completely reserved counts as slower by the factor 1 + this.
constexpr double UtilizationWeight = 3;

/// Weight of the time until the first event, including the wait for prompts that are queued at the
/// servers. Callers tolerate a delay of the first event less than one of the complete answer.
constexpr double BacklogWeight = 4;

/// Probability that a server is part of the sample of selectFromSample().
constexpr double SampleProbability = 0.5;

/// Factor on the times of a server, which grows with the square of its utilization.
double utilizationFactor(const PathServer &server)
{
    const double used = server.capacity > 0 ? server.committed / server.capacity : 1;
    return 1 + UtilizationWeight * used * used;
}

/// Whether the KV cache of a sequence over this many layers fits.
bool hasRoom(const PathServer &server, int layers, const SequenceSize &size)
{
    return server.committed + size.total() * layers
        <= server.capacity * PathSelector::MaxCommittedShare;
}

double weightedTime(const EnginePath &path, const SequenceSize &size)
{
    return static_cast<double>(path.timeToFirstEvent.count()) * BacklogWeight
        + static_cast<double>(path.stepTime.count()) * size.answerTokens;
}

bool usesServerTwice(std::span<const PathPart> parts)
{
    std::set<std::size_t> seen;
    return std::any_of(parts.begin(), parts.end(),
                       [&seen](const PathPart &part) { return !seen.insert(part.server).second; });
}

} // namespace

PathSelector::PathSelector(int modelLayers, int stepsPerPass, HopCosts hops)
    : m_layers(modelLayers)
    , m_stepsPerPass(std::max(1, stepsPerPass))
    , m_hops(hops)
{ }

double PathSelector::hopMs(const PathServer &from, const PathServer &to, bool withPenalty) const
{
    if (from.zone == to.zone)
        return inMillis(m_hops.sameZone);
    return inMillis(m_hops.otherZone) * (withPenalty ? m_hops.crossingPenalty : 1);
}

/// The cheapest partial path that ends at a layer with a given server as the last part.
struct PathSelector::State
{
    double cost = std::numeric_limits<double>::infinity();
    /// First layer of the last part.
    int from = 0;
    /// Server of the previous part, or the number of servers if this is the first part.
    std::size_t previous = 0;
};

std::optional<std::vector<PathPart>>
PathSelector::cheapestParts(std::span<const PathServer> servers, const std::vector<bool> &excluded,
                            const SequenceSize &size) const
{
    // Dynamic programming over the layers at which some server's range starts or ends: a path may
    // change servers only there.
    std::set<int> cuts {0, m_layers};
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!excluded[i] && !servers[i].layers.empty()) {
            cuts.insert(std::clamp(servers[i].layers.first, 0, m_layers));
            cuts.insert(std::clamp(servers[i].layers.end, 0, m_layers));
        }
    }
    const std::size_t none = servers.size();
    std::map<int, std::vector<State>> reached;
    for (const int cut : cuts)
        reached[cut].resize(servers.size());
    const auto extend = [&](std::size_t i, int from, double cost, std::size_t previous) {
        const PathServer &server = servers[i];
        const double msPerLayer = utilizationFactor(server)
            * (server.stepMsPerLayer * size.answerTokens
               + server.prefillMsPerTokenLayer * size.promptTokens);
        for (auto cut = cuts.upper_bound(from); cut != cuts.end() && *cut <= server.layers.end;
             ++cut) {
            if (!hasRoom(server, *cut - from, size))
                break;
            State &state = reached[*cut][i];
            const double total =
                cost + msPerLayer * (*cut - from) + server.backlogMs * BacklogWeight;
            if (total < state.cost)
                state = {total, from, previous};
        }
    };
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!excluded[i] && servers[i].acceptsRequests && servers[i].layers.contains(0))
            extend(i, 0, 0, none);
    }
    for (const int cut : cuts) {
        if (cut == 0 || cut == m_layers)
            continue;
        for (std::size_t last = 0; last < servers.size(); ++last) {
            const State &state = reached[cut][last];
            if (state.cost == std::numeric_limits<double>::infinity())
                continue;
            for (std::size_t i = 0; i < servers.size(); ++i) {
                if (i == last || excluded[i] || !servers[i].layers.contains(cut))
                    continue;
                const double hop = hopMs(servers[last], servers[i], true) * size.answerTokens;
                extend(i, cut, state.cost + hop, last);
            }
        }
    }
    const std::vector<State> &ends = reached[m_layers];
    std::size_t last = none;
    for (std::size_t i = 0; i < ends.size(); ++i) {
        if (ends[i].cost < std::numeric_limits<double>::infinity()
            && (last == none || ends[i].cost < ends[last].cost))
            last = i;
    }
    if (last == none)
        return std::nullopt;
    std::vector<PathPart> parts;
    for (int cut = m_layers; last != none;) {
        const State &state = reached[cut][last];
        parts.push_back({last, {state.from, cut}});
        cut = state.from;
        last = state.previous;
    }
    std::reverse(parts.begin(), parts.end());
    return parts;
}

EnginePath PathSelector::makePath(std::span<const PathServer> servers, std::vector<PathPart> parts,
                                  const SequenceSize &size) const
{
    double prefillMs = 0;
    double stepMs = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const PathServer &server = servers[parts[i].server];
        const double layers = parts[i].layers.size();
        prefillMs +=
            server.prefillMsPerTokenLayer * size.promptTokens * layers * utilizationFactor(server)
            + server.backlogMs;
        stepMs += server.stepMsPerLayer * layers * utilizationFactor(server);
        if (i > 0) {
            const double hop = hopMs(servers[parts[i - 1].server], server, false);
            stepMs += hop;
            prefillMs += hop;
        }
    }
    EnginePath path;
    path.parts = std::move(parts);
    path.stepTime = fromMillis(stepMs);
    path.timeToFirstEvent = fromMillis(prefillMs + stepMs * m_stepsPerPass);
    return path;
}

std::optional<EnginePath> PathSelector::select(std::span<const PathServer> servers,
                                               const SequenceSize &size) const
{
    std::optional<EnginePath> best = selectInOneZone(servers, size);
    return best ? best : selectAmong(servers, {}, size);
}

/// Prefers paths that need no hop between zones. Searching each zone also is cheaper than searching
/// all servers.
std::optional<EnginePath> PathSelector::selectInOneZone(std::span<const PathServer> servers,
                                                        const SequenceSize &size) const
{
    std::set<std::string_view> zones;
    for (const PathServer &server : servers)
        zones.insert(server.zone);
    std::optional<EnginePath> best;
    for (const std::string_view zone : zones) {
        auto path = selectAmong(servers, zone, size);
        if (path && (!best || weightedTime(*path, size) < weightedTime(*best, size)))
            best = std::move(path);
    }
    return best;
}

std::optional<EnginePath> PathSelector::selectFromSample(std::span<const PathServer> servers,
                                                         const SequenceSize &size,
                                                         Random &random) const
{
    std::vector<PathServer> sample;
    std::vector<std::size_t> positions;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (random.chance(SampleProbability)) {
            sample.push_back(servers[i]);
            positions.push_back(i);
        }
    }
    // If the sample has no path within one zone, all servers may have one, so don't cross zones
    // yet: the links between them have little bandwidth.
    std::optional<EnginePath> path = selectInOneZone(sample, size);
    if (!path || mutated("gateway-no-spread"))
        return select(servers, size);
    for (PathPart &part : path->parts)
        part.server = positions[part.server];
    return path;
}

std::optional<EnginePath> PathSelector::selectAmong(std::span<const PathServer> servers,
                                                    std::string_view zone,
                                                    const SequenceSize &size) const
{
    std::vector<bool> excluded(servers.size(), false);
    for (std::size_t i = 0; i < servers.size(); ++i)
        excluded[i] = !zone.empty() && servers[i].zone != zone;
    // Each round excludes one server, so there are at most as many rounds as servers.
    for (std::size_t round = 0; round <= servers.size(); ++round) {
        std::optional<std::vector<PathPart>> parts = cheapestParts(servers, excluded, size);
        if (!parts)
            return std::nullopt;
        if (!usesServerTwice(*parts))
            return makePath(servers, std::move(*parts), size);
        // No server may appear twice: exclude the server between the two appearances.
        for (std::size_t i = 1; i + 1 < parts->size(); ++i) {
            if ((*parts)[i - 1].server == (*parts)[i + 1].server) {
                excluded[(*parts)[i].server] = true;
                break;
            }
            if (i + 2 == parts->size())
                excluded[(*parts)[1].server] = true;
        }
    }
    return std::nullopt;
}

} // namespace dogwoodvalve
