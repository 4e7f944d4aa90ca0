#include "net/asio_timer_service.h"

#include <ctime>

namespace dogwoodvalve {

AsioTimerService::AsioTimerService(boost::asio::io_context &loop)
    : m_timer(loop)
{ }

TimePoint AsioTimerService::clockNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

TimerId AsioTimerService::schedule(TimePoint at, std::function<void()> callback)
{
    const TimerId id = m_queue.schedule(at, std::move(callback));
    if (at < m_armedFor)
        armTimer();
    return id;
}

void AsioTimerService::armTimer()
{
    m_armedFor = m_queue.nextDue();
    if (m_armedFor == TimePoint::max())
        return;
    // The timer runs on the steady clock: a suspension delays the earliest callback by what was
    // left of its wait at most, and that one then advances the queue.
    m_timer.expires_after(m_armedFor - clockNow());
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        m_armedFor = TimePoint::max();
        m_queue.advanceTo(clockNow());
        armTimer();
    });
}

} // namespace dogwoodvalve
