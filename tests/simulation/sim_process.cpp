#include "simulation/sim_process.h"

#include <cmath>

namespace dogwoodvalve::simulation {

SimProcess::SimProcess(SimClock &clock, std::string name, double clockRate)
    : m_clock(clock)
    , m_name(std::move(name))
    , m_timers(*this, clockRate)
{ }

void SimProcess::deliver(std::function<void()> work)
{
    if (!m_alive)
        return;
    if (m_frozen) {
        m_pending.push_back(std::move(work));
        return;
    }
    m_clock.countEvent();
    work();
}

void SimProcess::thaw()
{
    m_frozen = false;
    const auto keep = shared_from_this();
    while (!m_pending.empty() && m_alive && !m_frozen) {
        const auto work = std::move(m_pending.front());
        m_pending.pop_front();
        m_clock.countEvent();
        work();
    }
}

void SimProcess::end()
{
    m_alive = false;
    m_pending.clear();
}

TimePoint SimProcess::ProcessTimers::now() const
{
    const auto base = static_cast<double>(m_process.m_clock.now().time_since_epoch().count());
    return TimePoint(Duration(static_cast<std::int64_t>(base * m_rate)));
}

TimerId SimProcess::ProcessTimers::schedule(TimePoint at, std::function<void()> callback)
{
    const auto local = static_cast<double>(at.time_since_epoch().count());
    const TimePoint base {Duration(static_cast<std::int64_t>(std::ceil(local / m_rate)))};
    return m_process.m_clock.timers().schedule(
        base, [weak = m_process.weak_from_this(), callback = std::move(callback)] {
            if (const auto process = weak.lock())
                process->deliver(callback);
        });
}

void SimProcess::ProcessTimers::cancel(TimerId id)
{
    m_process.m_clock.timers().cancel(id);
}

} // namespace dogwoodvalve::simulation
