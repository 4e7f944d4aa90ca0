#pragma once

#include <dogwoodvalve/timer_service.h>

#include <algorithm>

namespace dogwoodvalve {

inline double inSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

inline double inMillis(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e3;
}

inline Duration fromSeconds(double seconds)
{
    return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

inline Duration fromMillis(double millis)
{
    return Duration(static_cast<Duration::rep>(millis * 1e3));
}

inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Exponential backoff: the first pause, doubled for each failure, but so many times at most.
inline Duration backoff(Duration first, int failures, int maxDoublings)
{
    return first * (1 << std::min(failures, maxDoublings));
}

} // namespace dogwoodvalve
