#include "core/duration_math.h"
#include "core/mutation.h"

#include <dogwoodvalve/fleet_admission.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace dogwoodvalve {

namespace {

constexpr double Unlimited = std::numeric_limits<double>::infinity();
/// Arrivals vary by about the square root of their number. While not all can be served, this many
/// times as much of the room is left for those that must not wait.
constexpr double HeadroomFactor = 1.5;
/// Ranks with a smaller share of all that is needed do not count as others to give way to.
constexpr double MinRankShare = 0.05;
constexpr Duration MinRetryAfter = 200ms;
/// Callers wait for a third of their remaining time at most. The rest is for the way to them.
constexpr double MaxRetryShare = 0.3;
/// The time is spread by a factor between 0.75 and 1.25.
constexpr double MinRetrySpread = 0.75;
constexpr double RetrySpreadRange = 0.5;

/// The level at which values cut off there add up to the total: each gets what it needs or the
/// level, whichever is less.
double fairLevel(std::vector<double> needs, double total)
{
    std::sort(needs.begin(), needs.end());
    double left = std::max(0.0, total);
    for (std::size_t i = 0; i < needs.size(); ++i) {
        const double level = left / static_cast<double>(needs.size() - i);
        if (needs[i] > level)
            return level;
        left -= needs[i];
    }
    return Unlimited;
}

/// Mean over the tokens of the requests that have ended lately.
Duration meanHoldTime(const DemandTotals &demand, std::string_view service)
{
    Demand total;
    for (auto it = demand.lower_bound({std::string(service), 0, {}});
         it != demand.end() && it->first.service == service; ++it)
        total.add(it->second);
    return total.servedPerSecond > 0 ? fromSeconds(total.servedTokenSeconds / total.servedPerSecond)
                                     : Duration::zero();
}

} // namespace

std::string_view toString(AdmissionOutcome outcome)
{
    switch (outcome) {
    case AdmissionOutcome::Admitted:
        return "admitted";
    case AdmissionOutcome::NoRoomYet:
        return "no_room_yet";
    case AdmissionOutcome::KeptForHigherRanks:
        return "kept_for_higher_ranks";
    case AdmissionOutcome::OverShare:
        return "over_share";
    }
    return "admitted";
}

ServiceRoom serviceRoom(std::span<const PathServer> servers, int modelLayers)
{
    std::vector<ServiceRoom> layers(static_cast<std::size_t>(std::max(0, modelLayers)));
    for (const PathServer &server : servers) {
        if (server.layers.empty())
            continue;
        const int first = std::clamp(server.layers.first, 0, modelLayers);
        const int end = std::clamp(server.layers.end, 0, modelLayers);
        for (int i = first; i < end; ++i) {
            ServiceRoom &layer = layers[static_cast<std::size_t>(i)];
            layer.total += server.capacity * PathSelector::MaxCommittedShare / server.layers.size();
            layer.held += server.committed / server.layers.size();
        }
    }
    const auto least =
        std::min_element(layers.begin(), layers.end(),
                         [](const auto &l, const auto &r) { return l.total < r.total; });
    return least == layers.end() ? ServiceRoom {} : *least;
}

void FleetAdmission::update(const ServiceRoom &room, const DemandTotals &demand,
                            std::string_view service, double usualTokens)
{
    m_room = room;
    m_holdTime = meanHoldTime(demand, service);
    const double headroom = HeadroomFactor * std::sqrt(room.total * usualTokens);
    m_usable = std::max(0.0, room.total - headroom);
    m_ranks.clear();
    // The keys are ordered by service and rank.
    for (auto it = demand.lower_bound({std::string(service), 0, {}});
         it != demand.end() && it->first.service == service; ++it) {
        if (m_ranks.empty() || m_ranks.back().rank != it->first.rank)
            m_ranks.emplace_back().rank = it->first.rank;
        Rank &rank = m_ranks.back();
        const Workspace workspace {it->second.held,
                                   it->second.askedPerSecond * inSeconds(m_holdTime)};
        rank.workspaces[it->first.workspace] = workspace;
        rank.held += workspace.held;
        rank.needed += workspace.needed;
    }
    const double needed =
        std::accumulate(m_ranks.begin(), m_ranks.end(), 0.0,
                        [](double sum, const Rank &rank) { return sum + rank.needed; });
    const auto competing = std::count_if(m_ranks.begin(), m_ranks.end(), [needed](const Rank &it) {
        return it.needed >= needed * MinRankShare;
    });
    // Requests of one rank are served in the order of their arrival.
    if (competing < 2 && !mutated("admission-of-one-rank"))
        m_ranks.clear();
    double available = m_usable;
    double neededSoFar = 0;
    double shortOfHigher = 0;
    for (Rank &rank : m_ranks) {
        rank.available = available;
        rank.limit = room.total - headroom * static_cast<double>(&rank - m_ranks.data());
        rank.shortOfHigher = shortOfHigher;
        shortOfHigher += std::max(0.0, rank.needed - rank.held);
        neededSoFar += rank.needed;
        rank.neededSoFar = neededSoFar;
        std::vector<double> needs;
        for (const auto &[name, workspace] : rank.workspaces)
            needs.push_back(workspace.needed);
        rank.workspaceLimit = fairLevel(std::move(needs), available);
        available = std::max(0.0, available - std::max(rank.held, rank.needed));
    }
}

const FleetAdmission::Rank *FleetAdmission::findRank(int rank) const
{
    const auto it = std::find_if(m_ranks.begin(), m_ranks.end(),
                                 [rank](const Rank &candidate) { return candidate.rank == rank; });
    return it == m_ranks.end() ? nullptr : &*it;
}

double FleetAdmission::load(int rank) const
{
    double needed = 0;
    for (const Rank &it : m_ranks) {
        if (it.rank <= rank)
            needed = it.neededSoFar;
    }
    return m_usable > 0 ? needed / m_usable : 0;
}

AdmissionDecision FleetAdmission::decide(const FleetAdmissionRequest &request, Duration timeLeft,
                                         double jitter) const
{
    AdmissionDecision decision;
    decision.load = load(request.rank);
    const Rank *rank = findRank(request.rank);
    if (!rank || m_usable <= 0)
        return decision;
    // Whether a server has room for the most urgent ones is seen when one is chosen.
    const bool hasRoom = rank == &m_ranks.front()
        || m_room.held + rank->shortOfHigher + request.tokens <= rank->limit
        || mutated("admission-ignore-ranks");
    const bool isScarce = decision.load > 1;
    if (hasRoom && (!isScarce || isWithinShare(*rank, request)))
        return decision;
    if (!isScarce) {
        decision.outcome = AdmissionOutcome::NoRoomYet;
        return decision;
    }
    const bool higherTakeAll = rank->available <= 0 || rank->needed <= m_usable;
    decision.outcome = higherTakeAll && rank != &m_ranks.front()
        ? AdmissionOutcome::KeptForHigherRanks
        : AdmissionOutcome::OverShare;
    // After this time as much room has become free as is needed beyond what there is.
    const Duration wait = scaled(m_holdTime, decision.load);
    const Duration most = std::max<Duration>(MinRetryAfter, scaled(timeLeft, MaxRetryShare));
    decision.retryAfter = std::clamp<Duration>(
        scaled(wait, MinRetrySpread + RetrySpreadRange * jitter), MinRetryAfter, most);
    return decision;
}

bool FleetAdmission::isWithinShare(const Rank &rank, const FleetAdmissionRequest &request) const
{
    const auto it = rank.workspaces.find(request.workspace);
    const double held = it == rank.workspaces.end() ? 0 : it->second.held;
    // A request that is larger than its workspace's share still gets its turn.
    const double turn = held > 0 ? 0 : rank.available - rank.held;
    return held + request.tokens <= std::max(rank.workspaceLimit, turn)
        || mutated("admission-ignore-shares");
}

void FleetAdmission::addHeld(const FleetAdmissionRequest &request, double tokens)
{
    m_room.held += tokens;
    for (Rank &rank : m_ranks) {
        if (rank.rank != request.rank)
            continue;
        rank.held += tokens;
        const auto it = rank.workspaces.find(request.workspace);
        if (it != rank.workspaces.end())
            it->second.held += tokens;
    }
}

} // namespace dogwoodvalve
