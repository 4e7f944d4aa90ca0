#pragma once

#include <dogwoodvalve/timer_service.h>

namespace dogwoodvalve {

/// Predicts how long a request waits for room in a pool, from the rate at which work of the pool
/// has ended lately. Work is counted in any unit, such as tokens or requests.
class WaitPredictor
{
public:
    /// Work that has ended and left its room to others.
    void recordCompleted(double work, TimePoint now);
    /// Time until this much work will have ended, or the longest wait if nothing ends.
    Duration timeToComplete(double work, TimePoint now) const;

    static constexpr Duration LongestWait = 10s;

private:
    double m_ratePerSecond = 0;
    TimePoint m_updatedAt {};
};

/// When a caller should come back after a refusal for lack of room, and whether to let it wait
/// here.
///
/// Answers load beyond what a pool can serve: a request is let wait only if it is likely to start
/// early enough to be on time, so that the work in the pool is work that callers still want. Others
/// are refused at once and told when the work that is ahead of them should have ended; spreading
/// the times keeps them from coming back all together.
struct WaitDecision
{
    bool wait = false;
    /// For a refusal.
    Duration retryAfter {};
};

WaitDecision decideWait(Duration predictedWait, Duration longestUsefulWait, Duration timeLeft,
                        double jitter);

} // namespace dogwoodvalve
