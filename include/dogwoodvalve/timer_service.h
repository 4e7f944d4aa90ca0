#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace dogwoodvalve {

/// Durations and time points are in microseconds.
using Duration = std::chrono::microseconds;

/// The clock of all time points. It is monotonic and its epoch is arbitrary.
struct MonotonicClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;
    static constexpr bool is_steady = true;
};

using TimePoint = MonotonicClock::time_point;

using namespace std::chrono_literals;

/// Identifies a scheduled callback, so that it can be cancelled. Zero means none.
using TimerId = std::uint64_t;

/// The only source of time in the library: it tells the time and calls back at scheduled times. A
/// service is used by one thread only.
class TimerService
{
public:
    virtual ~TimerService() = default;

    virtual TimePoint now() const = 0;

    /// Schedules one call of the callback at the given time or soon after, on the service's thread.
    /// Returns the id for cancel().
    virtual TimerId schedule(TimePoint at, std::function<void()> callback) = 0;

    /// Cancels a scheduled callback. Has no effect if it was already called or the id is zero.
    virtual void cancel(TimerId id) = 0;
};

/// A timer service whose time advances only by advanceTo(), for tests, simulations and applications
/// that have their own event loop.
class ManualTimerService : public TimerService
{
public:
    TimePoint now() const override { return m_now; }
    TimerId schedule(TimePoint at, std::function<void()> callback) override;
    void cancel(TimerId id) override;

    /// The time of the earliest scheduled callback, or TimePoint::max() if there is none.
    TimePoint nextDue() const;

    /// Advances the time and calls every callback that is due by then, earliest first.
    void advanceTo(TimePoint at);

    /// The number of scheduled callbacks.
    std::size_t pending() const { return m_queue.size(); }

private:
    using Key = std::pair<TimePoint, TimerId>;

    TimePoint m_now {};
    TimerId m_lastId = 0;
    std::map<Key, std::function<void()>> m_queue;
    std::map<TimerId, TimePoint> m_dueById;
};

} // namespace dogwoodvalve
