#pragma once

#include <dogwoodvalve/fleet_configuration.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// Number of servers of each kind of accelerator in one zone.
using KindCounts = std::map<std::string, int, std::less<>>;

/// Layers that a server of each kind should hold.
using LayersByKind = std::map<std::string, int, std::less<>>;

/// Divides the memory of accelerators between layers and context. The more layers a server holds,
/// the fewer hops a path has and the more servers can replace it; the fewer, the more requests can
/// run at the same time, each for longer.
///
/// A pool that holds the model several times in each zone gives memory to context, on the kinds
/// where this lets the most requests end per second while the memory is full. Others hold as many
/// layers as fit, as the loss of a few servers could leave a zone without some of them.
class MemoryDivision
{
public:
    /// `most` are the layers that fit on each kind. Layers are divided by `blockSize`. Keeps a
    /// reference to the profile, which must outlive this object.
    MemoryDivision(const EngineProfile &profile, LayersByKind most, int blockSize);

    /// The division for a pool with these servers, by zone.
    LayersByKind divide(const std::map<std::string, KindCounts, std::less<>> &zones) const;

    /// Requests of the usual size that end per second while the context memory is full.
    double throughput(const KindCounts &servers, const LayersByKind &layers) const;

    /// How often each zone must hold the model before memory is given to context.
    static constexpr double MinCopiesPerZone = 3;

private:
    /// How often the zone with the fewest layers holds the model.
    double copies(const std::map<std::string, KindCounts, std::less<>> &zones,
                  const LayersByKind &layers) const;

    const EngineProfile &m_profile;
    LayersByKind m_most;
    int m_blockSize;
};

} // namespace dogwoodvalve
