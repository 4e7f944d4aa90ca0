#include <dogwoodvalve/plain_selector.h>

#include <algorithm>

namespace dogwoodvalve {

std::optional<std::size_t> pickLeastOutstanding(std::span<const PlainServer> servers,
                                                std::size_t tieBreak)
{
    std::optional<std::size_t> best;
    double bestShare = 1;
    for (std::size_t n = 0; n < servers.size(); ++n) {
        const std::size_t i = (n + tieBreak) % servers.size();
        const PlainServer &server = servers[i];
        const double share = static_cast<double>(server.inFlight) / std::max(1, server.slots);
        if (!server.tried && share < bestShare) {
            bestShare = share;
            best = i;
        }
    }
    return best;
}

} // namespace dogwoodvalve
