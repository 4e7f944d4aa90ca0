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

/// A server that can be a part of a path, with what all hosts have committed on it.
struct PathServer
{
    std::string_view id;
    std::string_view zone;
    LayerSpan layers;
    /// Time of a decoding step and of reading a prompt token, in ms a layer.
    double stepMsPerLayer = 0;
    double prefillMsPerTokenLayer = 0;
    /// Memory for contexts and what is promised of it, in tokens x layers.
    double capacity = 0;
    double committed = 0;
    /// Time that the server needs to read the prompts which it was given and has not read yet, ms.
    double backlogMs = 0;
};

/// A request's expected size in tokens.
struct SequenceSize
{
    double promptTokens = 0;
    double answerTokens = 0;

    double total() const { return promptTokens + answerTokens; }
};

/// One part of a path.
struct PathPart
{
    /// Index into the servers that were given.
    std::size_t server = 0;
    LayerSpan layers;
};

/// A path through all layers in order, with what it is expected to take.
struct EnginePath
{
    std::vector<PathPart> parts;
    Duration timeToFirstEvent {};
    Duration stepTime {};
};

/// What a hop between two servers costs.
struct HopCosts
{
    Duration sameZone = 100us;
    Duration otherZone = 750us;
    /// Factor on the time of a crossing that stands for the room it takes in the shared pipe.
    double crossingPenalty = 3;
};

/// Finds the path with the least expected time through layers held by servers, within the context
/// memory that is left on each. Busier servers count as slower, so that load spreads before
/// memory runs out. Paths cross between zones only when no zone has room for a whole one.
class PathSelector
{
public:
    PathSelector(int modelLayers, int stepsPerPass, HopCosts hops);

    /// Nothing if some layer has no holder with room.
    std::optional<EnginePath> select(std::span<const PathServer> servers,
                                     const SequenceSize &size) const;

    /// The fastest path over a random sample of the servers, or over all if the sample has none.
    /// Hosts that choose at the same time by the same old knowledge do not all choose one path.
    std::optional<EnginePath> selectFromSample(std::span<const PathServer> servers,
                                               const SequenceSize &size, Random &random) const;

    /// Share of a server's memory that may be promised: sizes are estimates, and what other hosts
    /// have just promised is not known yet.
    static constexpr double MaxCommittedShare = 0.9;

private:
    struct State;

    std::optional<EnginePath> selectInOneZone(std::span<const PathServer> servers,
                                              const SequenceSize &size) const;
    /// Among the servers of a zone, or among all if no zone is named.
    std::optional<EnginePath> selectAmong(std::span<const PathServer> servers,
                                          std::string_view zone, const SequenceSize &size) const;
    std::optional<std::vector<PathPart>> cheapestParts(std::span<const PathServer> servers,
                                                       const std::vector<bool> &excluded,
                                                       const SequenceSize &size) const;
    EnginePath makePath(std::span<const PathServer> servers, std::vector<PathPart> parts,
                        const SequenceSize &size) const;
    double hopMs(const PathServer &from, const PathServer &to, bool withPenalty) const;

    int m_layers;
    int m_stepsPerPass;
    HopCosts m_hops;
};

} // namespace dogwoodvalve
