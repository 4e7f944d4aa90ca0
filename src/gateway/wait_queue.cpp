#include "gateway/wait_queue.h"

namespace dogwoodvalve {

namespace {

/// How many requests that do not fit are passed over behind the first one.
constexpr int LookAhead = 4;

} // namespace

void WaitQueue::admitWaiting()
{
    // A request that is started or ended here may call this again, or queue itself again.
    if (m_admitting)
        return;
    m_admitting = true;
    std::deque<std::weak_ptr<WaitingRequest>> previous;
    previous.swap(m_waiting);
    std::deque<std::weak_ptr<WaitingRequest>> remaining;
    int misses = 0;
    for (const auto &it : previous) {
        const auto request = it.lock();
        if (!request || !request->isWaiting())
            continue;
        if (misses > LookAhead || !request->tryStart()) {
            ++misses;
            remaining.push_back(it);
        }
    }
    m_waiting.insert(m_waiting.begin(), remaining.begin(), remaining.end());
    m_admitting = false;
}

double WaitQueue::waitingWork() const
{
    double work = 0;
    for (const auto &it : m_waiting) {
        const auto request = it.lock();
        if (request && request->isWaiting())
            work += request->work();
    }
    return work;
}

} // namespace dogwoodvalve
