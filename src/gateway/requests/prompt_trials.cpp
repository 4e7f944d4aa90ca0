#include "gateway/requests/prompt_trials.h"

#include "gateway/gateway_node.h"

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Time in which a trial that crashes its server is known to all hosts, if the server begins its
/// answers at once.
constexpr Duration VerdictTime = 300ms;
/// The hosts after this many others have their turn together, so that it comes within
/// PromptTrials::MaxHold.
constexpr int MaxTurns = 10;

} // namespace

bool PromptTrials::mayBegin(const std::string &part, TimePoint crashedAt) const
{
    const HostTable &hosts = m_node.view().hosts();
    const TimePoint now = m_node.now();
    const int turns = std::min(hosts.liveHosts(now), MaxTurns);
    const int ownTurn = std::min(hosts.rank(m_node.settings().name, part, now), turns - 1);
    const Duration elapsed = now - crashedAt;
    // Hosts know the time of the crash only roughly, so the end of a turn is left free.
    return m_open.count(part) == 0 && elapsed / VerdictTime % turns == ownTurn
        && elapsed % VerdictTime < VerdictTime / 2;
}

} // namespace dogwoodvalve
