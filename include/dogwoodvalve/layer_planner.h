#pragma once

#include <dogwoodvalve/fleet_configuration.h>
#include <dogwoodvalve/layer_span.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// A server as the planner sees it. An empty range says that it holds nothing yet.
struct PlannedServer
{
    std::string id;
    std::string zone;
    std::string kind;
    LayerSpan layers;
};

/// A range that a server that holds nothing should load.
struct LayerAssignment
{
    std::string server;
    LayerSpan layers;
};

/// Plans which layers each server holds. The model is cut into equal blocks; every server holds as
/// many neighbouring blocks as leave it the wanted share of its memory for contexts, so that any
/// holder of a block can stand in for another. Ranges that servers hold already are kept: an empty
/// server takes the blocks that its zone is poorest in, counted in tokens of context.
///
/// Answers the steady load of whole streams: throughput is bound by the context memory of the
/// poorest block of a zone, and crossings between zones by their shared pipe.
class LayerPlanner
{
public:
    explicit LayerPlanner(const EngineProfile &profile);

    /// Assignments for all servers without layers, fastest kinds first.
    std::vector<LayerAssignment> assign(std::span<const PlannedServer> servers) const;

    /// Layers that a kind of accelerator should hold; 0 if it can't hold one block.
    int layersFor(const AcceleratorKind &kind) const;
    /// Tokens of context that a zone has room for at its poorest block.
    double zoneCapacity(std::span<const PlannedServer> servers, std::string_view zone) const;

private:
    std::vector<double> blockCapacities(std::span<const PlannedServer> servers,
                                        std::string_view zone) const;
    void addServerCapacity(std::vector<double> &blocks, const PlannedServer &server) const;
    LayerSpan leastCapacityRange(const std::vector<double> &blocks, int length,
                                 double tokensAdded) const;
    double kvCacheTokens(const AcceleratorKind &kind, int layers) const;

    const EngineProfile &m_profile;
    int m_blockSize = 1;
};

} // namespace dogwoodvalve
