#include "gateway/wait_queue.h"

namespace dogwoodvalve {

namespace {

/// How many requests are tried behind one that does not fit.
constexpr int LookAhead = 4;

} // namespace

void WaitQueue::pump()
{
    // A request that starts or ends in here may ask for another round, or wait anew.
    if (m_pumping)
        return;
    m_pumping = true;
    std::deque<std::weak_ptr<WaitingRequest>> before;
    before.swap(m_waiting);
    std::deque<std::weak_ptr<WaitingRequest>> still;
    int misses = 0;
    for (const auto &it : before) {
        const auto request = it.lock();
        if (!request || !request->stillWaits())
            continue;
        if (misses > LookAhead || !request->tryStart()) {
            ++misses;
            still.push_back(it);
        }
    }
    m_waiting.insert(m_waiting.begin(), still.begin(), still.end());
    m_pumping = false;
}

double WaitQueue::waitingWork() const
{
    double work = 0;
    for (const auto &it : m_waiting) {
        const auto request = it.lock();
        if (request && request->stillWaits())
            work += request->work();
    }
    return work;
}

} // namespace dogwoodvalve
