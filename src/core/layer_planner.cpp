#include <dogwoodvalve/layer_planner.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace dogwoodvalve {

namespace {

/// Share of an accelerator's memory that layers may use; the rest is for the KV cache. The KV cache
/// of one request with 1,000 tokens over one block should take only a few percent of the rest.
constexpr double LayerMemoryShare = 0.65;
/// The model is divided into at least this many blocks, so that slow accelerators can hold a small
/// share of it.
constexpr int MinBlocks = 20;
/// Relative difference up to which two sums count as equal despite rounding.
constexpr double TieTolerance = 1e-9;

} // namespace

LayerPlanner::LayerPlanner(const EngineProfile &profile)
    : m_profile(profile)
{
    if (profile.layers <= 0 || profile.layerMb <= 0)
        return;
    int maxBlockSize = std::max(1, profile.layers / MinBlocks);
    for (const AcceleratorKind &kind : profile.kinds) {
        const int fits = static_cast<int>(kind.memoryMb * LayerMemoryShare / profile.layerMb);
        if (fits >= 1)
            maxBlockSize = std::min(maxBlockSize, fits);
    }
    // The block size must divide the number of layers, so that all blocks are equal. The largest
    // such size keeps paths short.
    for (int size = maxBlockSize; size >= 1; --size) {
        if (profile.layers % size == 0) {
            m_blockSize = size;
            return;
        }
    }
}

int LayerPlanner::layersFor(const AcceleratorKind &kind) const
{
    const int fits = static_cast<int>(kind.memoryMb * LayerMemoryShare / m_profile.layerMb);
    const int blocks = std::min(fits, m_profile.layers) / m_blockSize;
    return blocks * m_blockSize;
}

/// Tokens whose KV cache fits on a server that holds this many layers.
double LayerPlanner::kvCacheTokens(const AcceleratorKind &kind, int layers) const
{
    return layers > 0 ? m_profile.kvCacheCapacity(kind, layers) / layers : 0;
}

void LayerPlanner::addServerCapacity(std::vector<double> &blocks, const PlannedServer &server) const
{
    const AcceleratorKind *kind = m_profile.findKind(server.kind);
    if (!kind || server.layers.empty())
        return;
    const double tokens = kvCacheTokens(*kind, server.layers.size());
    for (std::size_t i = 0; i < blocks.size(); ++i) {
        const int first = static_cast<int>(i) * m_blockSize;
        if (server.layers.first <= first && first + m_blockSize <= server.layers.end)
            blocks[i] += tokens;
    }
}

std::vector<double> LayerPlanner::blockCapacities(std::span<const PlannedServer> servers,
                                                  std::string_view zone) const
{
    std::vector<double> blocks(static_cast<std::size_t>(m_profile.layers / m_blockSize), 0.0);
    for (const PlannedServer &server : servers) {
        if (server.zone == zone)
            addServerCapacity(blocks, server);
    }
    return blocks;
}

double LayerPlanner::zoneCapacity(std::span<const PlannedServer> servers,
                                  std::string_view zone) const
{
    const std::vector<double> blocks = blockCapacities(servers, zone);
    return blocks.empty() ? 0 : *std::min_element(blocks.begin(), blocks.end());
}

/// Returns the range whose blocks need the added capacity most. The need of a block is the inverse
/// of its capacity with the server added, so scarce blocks weigh most. Ties go to the first range.
LayerSpan LayerPlanner::leastCapacityRange(const std::vector<double> &blocks, int length,
                                           double tokensAdded) const
{
    const auto need = [tokensAdded](double tokens) { return 1 / (tokensAdded + tokens); };
    const int width = length / m_blockSize;
    int best = 0;
    double bestNeed = -1;
    for (int start = 0; start + width <= static_cast<int>(blocks.size()); ++start) {
        const double sum =
            std::accumulate(blocks.begin() + start, blocks.begin() + start + width, 0.0,
                            [&need](double total, double tokens) { return total + need(tokens); });
        if (sum > bestNeed * (1 + TieTolerance)) {
            bestNeed = sum;
            best = start;
        }
    }
    return {best * m_blockSize, best * m_blockSize + length};
}

std::vector<LayerAssignment> LayerPlanner::assign(std::span<const PlannedServer> servers) const
{
    std::vector<PlannedServer> known(servers.begin(), servers.end());
    std::vector<std::size_t> order(known.size());
    std::iota(order.begin(), order.end(), 0U);
    const auto speed = [this](const PlannedServer &server) {
        const AcceleratorKind *kind = m_profile.findKind(server.kind);
        return kind ? kind->stepTimeFactor : HUGE_VAL;
    };
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return speed(known[a]) < speed(known[b]);
    });
    std::vector<LayerAssignment> assignments;
    for (const std::size_t i : order) {
        PlannedServer &server = known[i];
        const AcceleratorKind *kind = m_profile.findKind(server.kind);
        const int length = kind ? layersFor(*kind) : 0;
        if (!server.layers.empty() || length <= 0)
            continue;
        server.layers = leastCapacityRange(blockCapacities(known, server.zone), length,
                                           kvCacheTokens(*kind, length));
        assignments.push_back({server.id, server.layers});
    }
    return assignments;
}

} // namespace dogwoodvalve
