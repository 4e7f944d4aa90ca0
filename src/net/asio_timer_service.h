#pragma once

#include <dogwoodvalve/timer_service.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dogwoodvalve {

/// The timer service of one event loop. Must only be called on the thread that runs the loop.
class AsioTimerService : public TimerService
{
public:
    explicit AsioTimerService(boost::asio::io_context &loop);

    TimePoint now() const override { return clockNow(); }
    TimerId schedule(TimePoint at, std::function<void()> callback) override;
    void cancel(TimerId id) override { m_queue.cancel(id); }

    /// The current time of a monotonic clock that also counts the time in which the machine is
    /// suspended, unlike the steady clock: what other machines may have done meanwhile is that much
    /// older.
    static TimePoint clockNow();

private:
    void armTimer();

    boost::asio::steady_timer m_timer;
    ManualTimerService m_queue;
    TimePoint m_armedFor = TimePoint::max();
};

} // namespace dogwoodvalve
