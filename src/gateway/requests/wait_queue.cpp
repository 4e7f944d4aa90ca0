#include "gateway/requests/wait_queue.h"

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// How many requests that do not fit are passed over behind the first one.
constexpr int LookAhead = 4;

/// The request if it still waits and new ones of a rank must queue behind it, or nullptr.
std::shared_ptr<WaitingRequest> lockIfBlocking(const std::weak_ptr<WaitingRequest> &waiting,
                                               int rank)
{
    auto request = waiting.lock();
    return request && request->isWaiting() && !request->isInterrupted() && request->rank() <= rank
        ? request
        : nullptr;
}

} // namespace

void WaitQueue::push(const std::shared_ptr<WaitingRequest> &request)
{
    const auto mayPrecede = [rank = request->rank()](const std::weak_ptr<WaitingRequest> &it) {
        const auto waiting = it.lock();
        return !waiting || waiting->isInterrupted() || waiting->rank() <= rank;
    };
    m_waiting.insert(std::find_if_not(m_waiting.begin(), m_waiting.end(), mayPrecede), request);
}

void WaitQueue::admitWaiting()
{
    // A request that is started or ended here may call this again, or queue itself again.
    if (m_admitting)
        return;
    m_admitting = true;
    std::deque<std::weak_ptr<WaitingRequest>> previous;
    previous.swap(m_waiting);
    std::deque<std::weak_ptr<WaitingRequest>> remaining;
    int missesOfInterrupted = 0;
    int missesOfNew = 0;
    for (const auto &it : previous) {
        const auto request = it.lock();
        if (!request || !request->isWaiting())
            continue;
        int &misses = request->isInterrupted() ? missesOfInterrupted : missesOfNew;
        if (misses > LookAhead || !request->tryStart()) {
            ++misses;
            remaining.push_back(it);
        }
    }
    m_waiting.insert(m_waiting.begin(), remaining.begin(), remaining.end());
    m_admitting = false;
}

bool WaitQueue::blocksArrivals(int rank) const
{
    return std::any_of(m_waiting.begin(), m_waiting.end(),
                       [rank](const auto &it) { return lockIfBlocking(it, rank) != nullptr; });
}

double WaitQueue::waitingWork(int rank) const
{
    double work = 0;
    for (const auto &it : m_waiting) {
        if (const auto request = lockIfBlocking(it, rank))
            work += request->work();
    }
    return work;
}

} // namespace dogwoodvalve
