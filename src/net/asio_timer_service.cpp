#include "net/asio_timer_service.h"

namespace dogwoodvalve {

AsioTimerService::AsioTimerService(boost::asio::io_context &loop)
    : m_timer(loop)
{ }

TimePoint AsioTimerService::steadyNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceEpoch));
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
    m_timer.expires_at(std::chrono::steady_clock::time_point(m_armedFor.time_since_epoch()));
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        m_armedFor = TimePoint::max();
        m_queue.advanceTo(steadyNow());
        armTimer();
    });
}

} // namespace dogwoodvalve
