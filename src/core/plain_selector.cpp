#include "core/mutation.h"

#include <dogwoodvalve/plain_selector.h>

#include <algorithm>
#include <tuple>

namespace dogwoodvalve {

std::optional<std::size_t> pickLeastOutstanding(std::span<const PlainServer> servers,
                                                std::size_t tieBreak)
{
    std::optional<std::size_t> best;
    std::tuple<double, TimePoint> least {1, {}};
    for (std::size_t n = 0; n < servers.size(); ++n) {
        const std::size_t i = (n + tieBreak) % servers.size();
        const PlainServer &server = servers[i];
        const double share = static_cast<double>(server.inFlight) / std::max(1, server.slots);
        const TimePoint lastSentAt =
            mutated("plain-random-among-equals") ? TimePoint {} : server.lastSentAt;
        const std::tuple rank {share, lastSentAt};
        if (!server.tried && share < 1 && (!best || rank < least)) {
            least = rank;
            best = i;
        }
    }
    return best;
}

} // namespace dogwoodvalve
