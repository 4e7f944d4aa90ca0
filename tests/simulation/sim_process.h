#pragma once

#include <dogwoodvalve/random.h>
#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace dogwoodvalve::simulation {

/// The time that all processes of a run share, with a count of what happens in it.
class SimClock
{
public:
    ManualTimerService &timers() { return m_timers; }
    TimePoint now() const { return m_timers.now(); }
    void after(Duration delay, std::function<void()> callback)
    {
        m_timers.schedule(m_timers.now() + delay, std::move(callback));
    }
    void countEvent() { ++m_events; }
    std::uint64_t events() const { return m_events; }

private:
    ManualTimerService m_timers;
    std::uint64_t m_events = 0;
};

/// One pretended process. It can be frozen, and wakes with all that came meanwhile; it can be
/// ended, and what was meant for it is then lost. Its clock runs at a rate of its own.
class SimProcess : public std::enable_shared_from_this<SimProcess>
{
public:
    SimProcess(SimClock &clock, std::string name, double clockRate);

    const std::string &name() const { return m_name; }
    bool alive() const { return m_alive; }
    bool frozen() const { return m_frozen; }

    /// Runs something in the process: at once, on waking, or never if it has ended.
    void deliver(std::function<void()> work);
    void freeze() { m_frozen = true; }
    void thaw();
    void end();

    TimerService &timers() { return m_timers; }

private:
    /// The process's own view of time.
    class ProcessTimers : public TimerService
    {
    public:
        ProcessTimers(SimProcess &process, double rate)
            : m_process(process)
            , m_rate(rate)
        { }

        TimePoint now() const override;
        TimerId schedule(TimePoint at, std::function<void()> callback) override;
        void cancel(TimerId id) override;

    private:
        SimProcess &m_process;
        double m_rate;
    };

    SimClock &m_clock;
    std::string m_name;
    ProcessTimers m_timers;
    std::deque<std::function<void()>> m_pending;
    bool m_alive = true;
    bool m_frozen = false;
};

} // namespace dogwoodvalve::simulation
