#pragma once

#include <dogwoodvalve/configuration.h>
#include <dogwoodvalve/prefix_index.h>
#include <dogwoodvalve/random.h>

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// One server that could run a stage, with the parts of its score. Lower scores are better; all
/// parts are microseconds.
struct Candidate
{
    const ConfiguredServer *server = nullptr;
    /// Sequences on the server, as estimated.
    double load = 0;
    /// Time of a decode step at this load, queueing included.
    double stepCost = 0;
    /// Time on the links, there and back.
    double linkCost = 0;
    /// Prefill time saved by a cached prefix.
    double prefixCredit = 0;

    double score() const { return stepCost + linkCost - prefixCredit; }
};

/// Chooses among the candidates of a stage. Implementations are chosen at run time.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    virtual std::string_view name() const = 0;

    /// The index of the chosen candidate. There is at least one.
    virtual std::size_t choose(std::span<const Candidate> candidates, Random &random) = 0;
};

/// Makes a policy by name: random, round-robin, least-outstanding, two-choices or score.
Result<std::unique_ptr<RoutingPolicy>> makeRoutingPolicy(std::string_view name);

/// Names of all policies.
std::span<const std::string_view> routingPolicyNames();

/// What a choice is made for.
struct RoutingQuery
{
    const ConfiguredPipeline *pipeline = nullptr;
    std::size_t stage = 0;
    PlacementClass placementClass = 0;
    /// Where the entry host is.
    ZoneIndex entryZone = UnknownZone;
    /// Hashes of the prompt's leading blocks, longest last. May be empty.
    std::span<const std::uint64_t> prefixBlocks;
    /// Servers not to be chosen, because this request failed there.
    std::span<const BackendServer *const> excluded;
    TimePoint now {};
};

/// How many candidates were left out, by cause.
struct FilterCounts
{
    int draining = 0;
    int ejected = 0;
    int excluded = 0;
};

/// A choice together with what it was made from.
struct RoutingChoice
{
    Candidate candidate;
    std::size_t considered = 0;
    FilterCounts filtered;
};

/// Filters and scores the servers of a stage and lets a policy choose. It belongs to one thread;
/// the servers' live state is shared. Choosing allocates no memory once its buffers have grown.
class Router
{
public:
    Router(std::unique_ptr<RoutingPolicy> policy, std::uint64_t seed);

    /// Chooses a server. Errors: Unavailable if every server is filtered out.
    Result<RoutingChoice> choose(const Configuration &configuration, const RoutingQuery &query);

    /// The candidates of a query with their scores, for the operator; chooses nothing.
    std::span<const Candidate> candidates(const Configuration &configuration,
                                          const RoutingQuery &query, FilterCounts &filtered);

    PrefixIndex &prefixIndex() { return m_prefixIndex; }
    const RoutingPolicy &policy() const { return *m_policy; }

private:
    double optimisticStepTime(const RoutingQuery &query) const;
    void score(const Configuration &configuration, const RoutingQuery &query, double optimisticStep,
               Candidate &candidate);

    std::unique_ptr<RoutingPolicy> m_policy;
    Random m_random;
    PrefixIndex m_prefixIndex;
    std::vector<Candidate> m_candidates;
};

} // namespace dogwoodvalve
