#pragma once

#include <dogwoodvalve/wait_predictor.h>

#include <deque>
#include <memory>

namespace dogwoodvalve {

/// A request that waits for capacity on the servers of its service.
class WaitingRequest
{
public:
    virtual ~WaitingRequest() = default;
    /// Starts the request if a server has capacity now; returns whether it started.
    virtual bool tryStart() = 0;
    virtual bool isWaiting() const = 0;
    /// Whether the request's answer has begun or may still come from a server. Such a request is
    /// tried first, but doesn't block new ones.
    virtual bool isInterrupted() const = 0;
    /// 0 is the most urgent.
    virtual int rank() const = 0;
    /// The request's work, in the unit of the queue's predictor.
    virtual double work() const = 0;
};

/// The waiting requests of one service, by rank and in order of arrival. If the first one is too
/// large for the free capacity, a few behind it are tried, so that small requests can use the
/// capacity. Interrupted requests don't block others.
class WaitQueue
{
public:
    /// Queues a request behind those of the same or a higher rank.
    void push(const std::shared_ptr<WaitingRequest> &request);
    /// Queues a request that was sent before, such as an interrupted stream, ahead of all others.
    void pushFront(const std::shared_ptr<WaitingRequest> &request)
    {
        m_waiting.push_front(request);
    }
    /// Starts the waiting requests for which servers have capacity.
    void admitWaiting();
    bool empty() const { return m_waiting.empty(); }
    std::size_t size() const { return m_waiting.size(); }
    /// Whether a new request of this rank must queue behind others.
    bool blocksArrivals(int rank) const;
    /// Sum of the work of the waiting requests of this rank or a higher one, without interrupted
    /// ones.
    double waitingWork(int rank) const;

    WaitPredictor &predictor() { return m_predictor; }
    const WaitPredictor &predictor() const { return m_predictor; }

private:
    std::deque<std::weak_ptr<WaitingRequest>> m_waiting;
    WaitPredictor m_predictor;
    bool m_admitting = false;
};

} // namespace dogwoodvalve
