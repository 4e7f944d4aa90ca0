#include <dogwoodvalve/timer_service.h>

#include <algorithm>

namespace dogwoodvalve {

TimerId ManualTimerService::schedule(TimePoint at, std::function<void()> callback)
{
    const TimerId id = ++m_lastId;
    m_queue.emplace(Key(at, id), std::move(callback));
    m_dueById.emplace(id, at);
    return id;
}

void ManualTimerService::cancel(TimerId id)
{
    const auto it = m_dueById.find(id);
    if (it == m_dueById.end())
        return;
    m_queue.erase(Key(it->second, id));
    m_dueById.erase(it);
}

TimePoint ManualTimerService::nextDue() const
{
    return m_queue.empty() ? TimePoint::max() : m_queue.begin()->first.first;
}

void ManualTimerService::advanceTo(TimePoint at)
{
    while (!m_queue.empty() && m_queue.begin()->first.first <= at) {
        const auto it = m_queue.begin();
        const std::function<void()> callback = std::move(it->second);
        m_now = std::max(m_now, it->first.first);
        m_dueById.erase(it->first.second);
        m_queue.erase(it);
        callback();
    }
    m_now = std::max(m_now, at);
}

} // namespace dogwoodvalve
