#pragma once

#include <dogwoodvalve/fleet_configuration.h>
#include <dogwoodvalve/layer_span.h>
#include <dogwoodvalve/random.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// A candidate server for a path, with the load that all hosts have placed on it.
struct PathServer
{
    std::string_view id;
    std::string_view zone;
    LayerSpan layers;
    /// Time per layer, in ms, of a decoding step and of the prefill of one prompt token.
    double stepMsPerLayer = 0;
    double prefillMsPerTokenLayer = 0;
    /// KV cache capacity and what is reserved of it, in tokens x layers.
    double capacity = 0;
    double committed = 0;
    /// Time that the server needs for the prefill of prompts it has received but not processed, ms.
    double backlogMs = 0;
    /// Whether a path may begin at the server, which receives the request from this host. The other
    /// servers of a path get it from the one before.
    bool acceptsRequests = true;
};

/// A request's expected size in tokens.
struct SequenceSize
{
    double promptTokens = 0;
    double answerTokens = 0;

    double total() const { return promptTokens + answerTokens; }
};

/// The layers that one server of a path runs.
struct PathPart
{
    /// Index into the candidate servers passed to the selector.
    std::size_t server = 0;
    LayerSpan layers;
};

/// A path through all layers in order, with its expected latencies.
struct EnginePath
{
    std::vector<PathPart> parts;
    Duration timeToFirstEvent {};
    /// Duration of one decoding step over the whole path.
    Duration stepTime {};
};

/// Network latency of a hop between two servers of a path, per decoding step.
struct HopCosts
{
    Duration sameZone = 100us;
    Duration otherZone = 750us;
    /// Multiplies the latency of a hop between zones when paths are compared, to account for the
    /// bandwidth that it uses on the shared link.
    double crossingPenalty = 3;
};

/// Finds the path through all layers with the lowest expected time, subject to the free KV cache of
/// each server. Busier servers count as slower, so that load spreads before memory runs out. A path
/// crosses zones only if no single zone has the capacity for a complete path.
class PathSelector
{
public:
    PathSelector(int modelLayers, int stepsPerPass, HopCosts hops);

    /// Returns the best path, or nothing if some layer has no server with enough free KV cache.
    std::optional<EnginePath> select(std::span<const PathServer> servers,
                                     const SequenceSize &size) const;

    /// Returns the best path over a random sample of the servers, or over all servers if the sample
    /// has no path within one zone. Sampling keeps hosts that decide at the same time on the same
    /// outdated load data from all choosing the same path.
    std::optional<EnginePath> selectFromSample(std::span<const PathServer> servers,
                                               const SequenceSize &size, Random &random) const;

    /// Share of a server's KV cache that may be reserved. The rest absorbs errors in the estimated
    /// sizes, and reservations that other hosts have made but not announced yet.
    static constexpr double MaxCommittedShare = 0.9;

private:
    struct State;

    std::optional<EnginePath> selectInOneZone(std::span<const PathServer> servers,
                                              const SequenceSize &size) const;
    /// Searches the servers of one zone, or all servers if the zone is empty. No server is used
    /// twice.
    std::optional<EnginePath> selectAmong(std::span<const PathServer> servers,
                                          std::string_view zone, const SequenceSize &size) const;
    /// Shortest path over all servers that are not excluded. A server may appear more than once.
    std::optional<std::vector<PathPart>> cheapestParts(std::span<const PathServer> servers,
                                                       const std::vector<bool> &excluded,
                                                       const SequenceSize &size) const;
    /// Completes a path with its expected latencies.
    EnginePath makePath(std::span<const PathServer> servers, std::vector<PathPart> parts,
                        const SequenceSize &size) const;
    double hopMs(const PathServer &from, const PathServer &to, bool withPenalty) const;

    int m_layers;
    int m_stepsPerPass;
    HopCosts m_hops;
};

} // namespace dogwoodvalve
