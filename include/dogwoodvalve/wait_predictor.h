#pragma once

#include <dogwoodvalve/timer_service.h>

namespace dogwoodvalve {

/// Predicts how long a request waits for free capacity in a pool, from the recent completion rate
/// of the pool. Work is counted in any unit, such as tokens or requests.
class WaitPredictor
{
public:
    /// Records work that has ended and released its capacity.
    void recordCompleted(double work, TimePoint now);
    /// Expected time until this much work has ended, at most LongestWait.
    Duration timeToComplete(double work, TimePoint now) const;

    static constexpr Duration LongestWait = 10s;

private:
    double m_ratePerSecond = 0;
    TimePoint m_updatedAt {};
};

/// Whether a request that finds no free capacity may wait in the queue, and if not, when the caller
/// should retry.
struct WaitDecision
{
    bool wait = false;
    /// Set for a refusal.
    Duration retryAfter {};
};

/// Admission control for a pool under overload. A request may wait only if it is likely to start
/// within the longest useful wait and before its deadline, so that the pool does not work on
/// requests whose callers have given up. Others are refused at once, and told to retry when the
/// work ahead of them should have ended. That time is spread by `jitter`, a random number in [0,
/// 1), to keep refused callers from retrying at the same time.
WaitDecision decideWait(Duration predictedWait, Duration longestUsefulWait, Duration timeLeft,
                        double jitter);

} // namespace dogwoodvalve
