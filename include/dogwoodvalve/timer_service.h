#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace dogwoodvalve {

/// Durations and points of time count microseconds.
using Duration = std::chrono::microseconds;

/// The clock that the library reckons with. It never goes back; its origin has no meaning.
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

/// Names a subscription, so that it can be cancelled. Zero names none.
using TimerId = std::uint64_t;

/// The one source of time for every part of the library: parts ask it for the time and
/// subscribe to points of time. A service belongs to one thread.
class TimerService
{
public:
    virtual ~TimerService() = default;

    virtual TimePoint now() const = 0;

    /// Calls back once, at the given time or soon after, on the thread of the service.
    virtual TimerId schedule(TimePoint at, std::function<void()> callback) = 0;

    /// Withdraws a subscription. An id that has fired already, or zero, is no error.
    virtual void cancel(TimerId id) = 0;
};

/// A timer service whose time moves only when told to: for tests, simulations and embedders that
/// own an event loop.
class ManualTimerService : public TimerService
{
public:
    TimePoint now() const override { return m_now; }
    TimerId schedule(TimePoint at, std::function<void()> callback) override;
    void cancel(TimerId id) override;

    /// The time of the earliest subscription, or TimePoint::max() if there is none.
    TimePoint nextDue() const;

    /// Moves the time forward and calls every subscription due by then, earliest first.
    void advanceTo(TimePoint at);

    /// The number of subscriptions that wait.
    std::size_t pending() const { return m_queue.size(); }

private:
    using Key = std::pair<TimePoint, TimerId>;

    TimePoint m_now {};
    TimerId m_lastId = 0;
    std::map<Key, std::function<void()>> m_queue;
    std::map<TimerId, TimePoint> m_dueById;
};

} // namespace dogwoodvalve
