#include "core/mutation.h"

#include <dogwoodvalve/routing.h>

#include <algorithm>
#include <array>

namespace dogwoodvalve {

namespace {

/// Weight of a server's utilisation in its step cost. It spreads load in proportion to speed before
/// any queue forms.
constexpr double UtilisationWeight = 1.0;
/// Additional weight of the utilisation above 1, because waiting is worse than a slow step.
constexpr double QueueWeight = 2.0;
/// Weight of the prefill time that the cached blocks of a prompt save.
constexpr double PrefixWeight = 1.0;

class RandomPolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "random"; }
    std::size_t choose(std::span<const Candidate> candidates, Random &random) override
    {
        return random.below(candidates.size());
    }
};

class RoundRobinPolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "round-robin"; }
    std::size_t choose(std::span<const Candidate> candidates, Random &) override
    {
        return m_next[candidates.front().server]++ % candidates.size();
    }

private:
    /// One counter per list of candidates; a list is identified by its first server.
    std::unordered_map<const ConfiguredServer *, std::size_t> m_next;
};

/// Returns the index of the smallest value. The search starts at a random index to break ties.
template <class Value>
std::size_t indexOfLeast(std::span<const Candidate> candidates, Random &random, Value value)
{
    const std::size_t n = candidates.size();
    const std::size_t start = random.below(n);
    std::size_t best = start;
    for (std::size_t k = 1; k < n; ++k) {
        const std::size_t i = (start + k) % n;
        if (value(candidates[i]) < value(candidates[best]))
            best = i;
    }
    return best;
}

class LeastOutstandingPolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "least-outstanding"; }
    std::size_t choose(std::span<const Candidate> candidates, Random &random) override
    {
        return indexOfLeast(candidates, random,
                            [](const Candidate &it) { return it.server->state->inFlight(); });
    }
};

class TwoChoicesPolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "two-choices"; }
    std::size_t choose(std::span<const Candidate> candidates, Random &random) override
    {
        const std::size_t a = random.below(candidates.size());
        const std::size_t b = random.below(candidates.size());
        return candidates[a].load <= candidates[b].load ? a : b;
    }
};

class ScorePolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "score"; }
    std::size_t choose(std::span<const Candidate> candidates, Random &random) override
    {
        return indexOfLeast(candidates, random, [](const Candidate &it) { return it.score(); });
    }
};

constexpr std::array<std::string_view, 5> PolicyNames {"random", "round-robin", "least-outstanding",
                                                       "two-choices", "score"};

} // namespace

std::span<const std::string_view> routingPolicyNames()
{
    return PolicyNames;
}

Result<std::unique_ptr<RoutingPolicy>> makeRoutingPolicy(std::string_view name)
{
    std::unique_ptr<RoutingPolicy> policy;
    if (name == "random")
        policy = std::make_unique<RandomPolicy>();
    else if (name == "round-robin")
        policy = std::make_unique<RoundRobinPolicy>();
    else if (name == "least-outstanding")
        policy = std::make_unique<LeastOutstandingPolicy>();
    else if (name == "two-choices")
        policy = std::make_unique<TwoChoicesPolicy>();
    else if (name == "score")
        policy = std::make_unique<ScorePolicy>();
    else
        return Error {ErrorKind::InvalidArgument, "unknown policy '" + std::string(name) + "'",
                      "use random, round-robin, least-outstanding, two-choices or score"};
    return policy;
}

Router::Router(std::unique_ptr<RoutingPolicy> policy, std::uint64_t seed)
    : m_policy(std::move(policy))
    , m_random(seed)
{ }

/// Returns the smallest step time among the candidates that have a recent one. The others are
/// assumed to be as fast, so that they get requests and their step time is observed.
double Router::optimisticStepTime(const RoutingQuery &query) const
{
    double least = 0;
    double leastDefault = 0;
    for (const Candidate &candidate : m_candidates) {
        const BackendServer &state = *candidate.server->state;
        const auto step = static_cast<double>(state.unloadedStepTime().count());
        double &target = state.stepTimeUnknown(query.now) ? leastDefault : least;
        target = target == 0 ? step : std::min(target, step);
    }
    return least > 0 ? least : leastDefault;
}

void Router::score(const Configuration &configuration, const RoutingQuery &query,
                   double optimisticStep, Candidate &candidate)
{
    const ConfiguredServer &server = *candidate.server;
    candidate.load = server.state->estimatedLoad(query.now);
    const double step = server.state->stepTimeUnknown(query.now)
        ? optimisticStep
        : static_cast<double>(server.state->unloadedStepTime().count());
    const LinkCost &link = configuration.link(query.entryZone, server.zone);
    const double use =
        (candidate.load + 1) / server.state->residentCapacity(server.spec->batch, 2 * link.latency);
    const double queued = std::max(0.0, use - 1);
    candidate.stepCost = step * (1 + UtilisationWeight * use + QueueWeight * queued);
    candidate.linkCost = 2.0 * static_cast<double>(link.latency.count());
    if (!query.prefixBlocks.empty()) {
        const std::size_t matched =
            m_prefixIndex.matchedBlocks(query.prefixBlocks, server.state.get());
        const auto prefill = static_cast<double>(server.state->prefillTime().count());
        const double share =
            static_cast<double>(matched) / static_cast<double>(query.prefixBlocks.size());
        // The credit shrinks with utilisation, so that a hot prefix spreads over several servers.
        candidate.prefixCredit = PrefixWeight * prefill * share / (1 + use * use);
    }
}

std::span<const Candidate> Router::candidates(const Configuration &configuration,
                                              const RoutingQuery &query, FilterCounts &filtered)
{
    m_candidates.clear();
    const auto &stage = query.pipeline->candidates[query.placementClass][query.stage];
    for (const std::uint32_t i : stage) {
        const ConfiguredServer &server = configuration.servers()[i];
        const BackendServer *state = server.state.get();
        const bool leaving = server.spec->draining || state->leaving();
        if (leaving && !mutated("use-leaving-servers")) {
            ++filtered.draining;
            continue;
        }
        if (std::find(query.excluded.begin(), query.excluded.end(), state)
            != query.excluded.end()) {
            ++filtered.excluded;
            continue;
        }
        if (state->ejected(query.now)) {
            ++filtered.ejected;
            continue;
        }
        m_candidates.push_back({&server, 0, 0, 0, 0});
    }
    const double optimisticStep = optimisticStepTime(query);
    for (Candidate &candidate : m_candidates)
        score(configuration, query, optimisticStep, candidate);
    return m_candidates;
}

Result<RoutingChoice> Router::choose(const Configuration &configuration, const RoutingQuery &query)
{
    FilterCounts filtered;
    std::span<const Candidate> list = candidates(configuration, query, filtered);
    while (!list.empty()) {
        const std::size_t i = m_policy->choose(list, m_random);
        const Candidate chosen = list[i];
        if (chosen.server->state->claimProbe(query.now)) {
            m_prefixIndex.record(query.prefixBlocks, chosen.server->state.get());
            return RoutingChoice {chosen, list.size(), filtered};
        }
        ++filtered.ejected;
        m_candidates.erase(m_candidates.begin() + static_cast<std::ptrdiff_t>(i));
        list = m_candidates;
    }
    return Error {ErrorKind::Unavailable,
                  "no server can run stage " + std::to_string(query.stage) + " of pipeline '"
                      + query.pipeline->name + "' (" + std::to_string(filtered.draining)
                      + " draining, " + std::to_string(filtered.ejected) + " failing, "
                      + std::to_string(filtered.excluded) + " tried)",
                  "add servers with these layers, or wait until the failing ones are back"};
}

} // namespace dogwoodvalve
