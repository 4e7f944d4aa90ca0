#include "core/mutation.h"

#include <dogwoodvalve/memory_division.h>

#include <algorithm>
#include <limits>

namespace dogwoodvalve {

namespace {

/// Time that a token spends at each server of its path beside the step itself: the hop, and the
/// rest of the pass that the server is in.
constexpr double PartOverheadMs = 1.1;
constexpr double MillisPerSecond = 1000;

} // namespace

MemoryDivision::MemoryDivision(const EngineProfile &profile, LayersByKind most, int blockSize)
    : m_profile(profile)
    , m_most(std::move(most))
    , m_blockSize(std::max(1, blockSize))
{ }

double MemoryDivision::copies(const std::map<std::string, KindCounts, std::less<>> &zones,
                              const LayersByKind &layers) const
{
    double fewest = std::numeric_limits<double>::infinity();
    for (const auto &[zone, servers] : zones) {
        double held = 0;
        for (const auto &[kind, n] : servers) {
            const auto it = layers.find(kind);
            held += it == layers.end() ? 0 : it->second * n;
        }
        fewest = std::min(fewest, held / m_profile.layers);
    }
    return fewest;
}

double MemoryDivision::throughput(const KindCounts &servers, const LayersByKind &layers) const
{
    const double usualTokens = m_profile.usualPromptTokens + m_profile.usualAnswerTokens;
    // A path runs each layer on a server that is chosen in proportion to its context memory. All
    // sums are over the token-layers of that memory.
    double tokenLayers = 0;
    double stepMs = 0;
    double parts = 0;
    for (const auto &[name, n] : servers) {
        const AcceleratorKind *kind = m_profile.findKind(name);
        const auto it = layers.find(name);
        if (!kind || it == layers.end() || it->second <= 0)
            continue;
        const double capacity = m_profile.kvCacheCapacity(*kind, it->second);
        const double sequences = capacity / it->second / usualTokens;
        const double perSequence = m_profile.stepMsPerSequence
            + m_profile.stepMsPerThousandContextTokens * usualTokens / 1000;
        tokenLayers += n * capacity;
        stepMs +=
            n * capacity * kind->stepTimeFactor * (m_profile.stepMs + perSequence * sequences);
        parts += n * capacity * m_profile.layers / it->second;
    }
    if (tokenLayers <= 0)
        return 0;
    const double tokenMs = (stepMs + parts * PartOverheadMs) / tokenLayers;
    const double requests = tokenLayers / m_profile.layers / usualTokens;
    return requests * MillisPerSecond / (tokenMs * std::max(1.0, m_profile.usualAnswerTokens));
}

LayersByKind
MemoryDivision::divide(const std::map<std::string, KindCounts, std::less<>> &zones) const
{
    LayersByKind layers = m_most;
    KindCounts servers;
    for (const auto &[zone, counts] : zones) {
        for (const auto &[kind, n] : counts)
            servers[kind] += n;
    }
    double best = throughput(servers, layers);
    // Takes the best single block from some kind as long as that improves the division.
    for (bool improved = !mutated("planner-layers-only"); improved;) {
        improved = false;
        LayersByKind next = layers;
        for (const auto &[kind, held] : layers) {
            LayersByKind candidate = layers;
            candidate[kind] = held - m_blockSize;
            if (held <= m_blockSize || copies(zones, candidate) < MinCopiesPerZone)
                continue;
            const double value = throughput(servers, candidate);
            if (value <= best)
                continue;
            best = value;
            next = std::move(candidate);
            improved = true;
        }
        layers = std::move(next);
    }
    return layers;
}

} // namespace dogwoodvalve
