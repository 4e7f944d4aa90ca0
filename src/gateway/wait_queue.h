#pragma once

#include <dogwoodvalve/wait_predictor.h>

#include <deque>
#include <memory>

namespace dogwoodvalve {

/// A request that waits for room on the servers of its service.
class WaitingRequest
{
public:
    virtual ~WaitingRequest() = default;
    /// Starts if there is room now.
    virtual bool tryStart() = 0;
    virtual bool isWaiting() const = 0;
    /// Work that the request brings, in the unit of the queue's predictor.
    virtual double work() const = 0;
};

/// Requests of one service in the order in which they came. The first may be too large for the room
/// that there is; a few behind it are tried then, so that small requests use what is left.
class WaitQueue
{
public:
    void push(const std::shared_ptr<WaitingRequest> &request) { m_waiting.push_back(request); }
    /// Goes before all others: a stream that is already under way.
    void pushFront(const std::shared_ptr<WaitingRequest> &request)
    {
        m_waiting.push_front(request);
    }
    void admitWaiting();
    bool empty() const { return m_waiting.empty(); }
    std::size_t size() const { return m_waiting.size(); }
    double waitingWork() const;

    WaitPredictor &predictor() { return m_predictor; }
    const WaitPredictor &predictor() const { return m_predictor; }

private:
    std::deque<std::weak_ptr<WaitingRequest>> m_waiting;
    WaitPredictor m_predictor;
    bool m_admitting = false;
};

} // namespace dogwoodvalve
