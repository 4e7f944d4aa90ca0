#pragma once

#include <dogwoodvalve/fleet_configuration.h>
#include <dogwoodvalve/layer_span.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// The planner's input for one server. The range is empty if the server holds no layers yet.
struct PlannedServer
{
    std::string id;
    std::string zone;
    std::string kind;
    LayerSpan layers;
};

/// The layers that a server without layers should load.
struct LayerAssignment
{
    std::string server;
    LayerSpan layers;
};

/// Plans which layers each server holds. The model is divided into blocks of equal size. A server
/// holds as many consecutive blocks as leave the intended share of its memory for the KV cache, so
/// that every server that holds a block can replace another one. Ranges that servers already hold
/// are kept; a server without layers gets the blocks with the least KV cache capacity in its zone,
/// in tokens.
///
/// Each zone is planned as a complete model, because in steady state two things limit throughput:
/// the KV cache capacity of the scarcest block of a zone, and the shared link for requests that
/// cross zones.
class LayerPlanner
{
public:
    /// Keeps a reference to the profile, which must outlive the planner.
    explicit LayerPlanner(const EngineProfile &profile);

    /// Returns assignments for the servers without layers, fastest accelerators first. Servers of
    /// an unknown kind, or whose memory is too small for one block, get none.
    std::vector<LayerAssignment> assign(std::span<const PlannedServer> servers) const;

    /// Number of layers that an accelerator should hold; 0 if it can't hold one block.
    int layersFor(const AcceleratorKind &kind) const;
    /// KV cache capacity of a zone in tokens, which is that of its scarcest block.
    double zoneCapacity(std::span<const PlannedServer> servers, std::string_view zone) const;

private:
    /// KV cache capacity in tokens of each block, summed over the servers of a zone.
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
