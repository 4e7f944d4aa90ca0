#include "core/duration_math.h"

#include <dogwoodvalve/wait_predictor.h>

#include <algorithm>
#include <cmath>

namespace dogwoodvalve {

namespace {

/// The weight of past completions in the rate halves in this time.
constexpr Duration RateHalfLife = 1s;
constexpr Duration MinRetryAfter = 200ms;
/// Callers are told to retry after at most a third of their remaining time.
constexpr int RetryAfterDivisor = 3;
/// The retry time is the predicted wait times a factor between 0.75 and 1.25.
constexpr double MinRetrySpread = 0.75;
constexpr double RetrySpreadRange = 0.5;

double decayed(double rate, TimePoint from, TimePoint to)
{
    return rate * std::exp2(-inSeconds(to - from) / inSeconds(RateHalfLife));
}

} // namespace

void WaitPredictor::recordCompleted(double work, TimePoint now)
{
    // Each unit of work adds a rate that decays with the half-life and integrates to 1, so that the
    // sum is an exponentially weighted average of the completion rate.
    m_ratePerSecond =
        decayed(m_ratePerSecond, m_updatedAt, now) + work * std::log(2) / inSeconds(RateHalfLife);
    m_updatedAt = now;
}

Duration WaitPredictor::timeToComplete(double work, TimePoint now) const
{
    const double rate = decayed(m_ratePerSecond, m_updatedAt, now);
    if (rate * inSeconds(LongestWait) <= work)
        return LongestWait;
    return fromSeconds(work / rate);
}

WaitDecision decideWait(Duration predictedWait, Duration longestUsefulWait, Duration timeLeft,
                        double jitter)
{
    if (predictedWait <= longestUsefulWait && predictedWait < timeLeft)
        return {true, {}};
    const Duration spread = scaled(predictedWait, MinRetrySpread + RetrySpreadRange * jitter);
    const Duration most = std::max<Duration>(MinRetryAfter, timeLeft / RetryAfterDivisor);
    return {false, std::clamp<Duration>(spread, MinRetryAfter, most)};
}

} // namespace dogwoodvalve
