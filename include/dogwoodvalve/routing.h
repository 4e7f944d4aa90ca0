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

/// A server that could run a stage, with the parts of its score in microseconds. Lower scores are
/// better.
struct Candidate
{
    const ConfiguredServer *server = nullptr;
    /// Estimated number of sequences on the server.
    double load = 0;
    /// Time of one decode step at this load, including queueing.
    double stepCost = 0;
    /// Round-trip time of the link between the entry host and the server.
    double linkCost = 0;
    /// Prefill time that a cached prefix saves.
    double prefixCredit = 0;

    double score() const { return stepCost + linkCost - prefixCredit; }
};

/// Chooses one of the candidates of a stage. The implementation is selected at run time.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    virtual std::string_view name() const = 0;

    /// Returns the index of the chosen candidate. The list must not be empty.
    virtual std::size_t choose(std::span<const Candidate> candidates, Random &random) = 0;
};

/// Creates a policy by name: random, round-robin, least-outstanding, two-choices or score. Errors:
/// InvalidArgument for any other name.
Result<std::unique_ptr<RoutingPolicy>> makeRoutingPolicy(std::string_view name);

/// Names of all policies.
std::span<const std::string_view> routingPolicyNames();

/// The stage to choose a server for, and what the choice depends on.
struct RoutingQuery
{
    const ConfiguredPipeline *pipeline = nullptr;
    std::size_t stage = 0;
    PlacementClass placementClass = 0;
    /// The availability zone of the entry host.
    ZoneIndex entryZone = UnknownZone;
    /// Hashes of the prompt's leading blocks, shortest prefix first. May be empty.
    std::span<const std::uint64_t> prefixBlocks;
    /// Servers that must not be chosen because they failed or refused this request before.
    std::span<const BackendServer *const> excluded;
    TimePoint now {};
};

/// How many servers were filtered out, by cause.
struct FilterCounts
{
    int draining = 0;
    int ejected = 0;
    int excluded = 0;
};

/// The chosen candidate, and how many candidates were considered and filtered out.
struct RoutingChoice
{
    Candidate candidate;
    std::size_t considered = 0;
    FilterCounts filtered;
};

/// Filters and scores the servers of a stage and lets a policy choose. A router is used by one
/// thread only; the live state of the servers is shared between threads. Choosing allocates no
/// memory once the buffers have grown, apart from new entries of the prefix index.
class Router
{
public:
    Router(std::unique_ptr<RoutingPolicy> policy, std::uint64_t seed);

    /// Chooses a server. Errors: Unavailable if every server is filtered out.
    Result<RoutingChoice> choose(const Configuration &configuration, const RoutingQuery &query);

    /// Returns the candidates of a query with their scores, without choosing one. The operator's
    /// explanations use it as well. The span is valid until the next call.
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
