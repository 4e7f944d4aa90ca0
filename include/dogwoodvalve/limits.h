#pragma once

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/specs.h>
#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dogwoodvalve {

/// Allows a rate with bursts of up to one second's worth, at least one.
class TokenBucket
{
public:
    /// A rate of 0 allows everything.
    bool tryConsume(double rate, double amount, TimePoint now);
    /// Takes an amount although it may not be there; the debt is paid off at the rate.
    void charge(double rate, double amount, TimePoint now);
    /// Time until one unit is there.
    Duration timeUntilAvailable(double rate, TimePoint now);
    /// Whether the bucket is as it was at first, so that it may be forgotten.
    bool isFull(double rate, TimePoint now);

private:
    void refill(double rate, TimePoint now);

    double m_level = 0;
    TimePoint m_refilledAt {};
    bool m_started = false;
};

/// Limits retries to a share of the requests, so that a failing pool is not flooded.
class RetryBudget
{
public:
    void recordRequest(int retryPercent);
    /// Spends one retry if the budget has it.
    bool trySpend();
    double balance() const { return m_balance; }

private:
    double m_balance = StartBalance;

    static constexpr double StartBalance = 10;
    static constexpr double MaxBalance = 200;
};

/// Orders the requests that wait for a pipeline. Requests with smaller tags go first.
class QueueDiscipline
{
public:
    virtual ~QueueDiscipline() = default;
    virtual std::string_view name() const = 0;
    /// The tag of a new request of a workspace.
    virtual double assignTag(std::string_view workspace, double cost, double weight) = 0;
    /// A request with this tag leaves the queue.
    virtual void onDequeued(double tag) = 0;
    /// Nothing waits any more: what is remembered of workspaces can go.
    virtual void onEmpty() = 0;
};

/// Weighted fair queueing: each workspace advances at its own virtual time, in proportion to its
/// weight, so that a workspace that sends much waits for itself only.
std::unique_ptr<QueueDiscipline> makeWeightedFairQueue();
/// Strict priority by weight, first come first served within a weight.
std::unique_ptr<QueueDiscipline> makePriorityQueue();

/// How many sequences of a pipeline this process may have running at this moment: what its
/// servers can hold, less what others are known to have there.
class CapacitySource
{
public:
    virtual ~CapacitySource() = default;
    virtual int slots(std::string_view pipeline) = 0;
};

/// A request that asks to be admitted.
struct AdmissionRequest
{
    std::string workspace;
    std::string pipeline;
    /// This host's share of the workspace's limits.
    WorkspaceLimits limits;
    /// Expected size in tokens.
    double cost = 1;
    /// The latest time at which it may start.
    TimePoint startBy = TimePoint::max();
};

/// Why a request was not admitted. It was not run.
struct Refusal
{
    Error error;
    Duration retryAfter = 1s;
};

/// Decides when requests start: within the workspaces' limits, in fair order, and not at all when
/// the predicted wait is too long. It belongs to one thread.
class AdmissionController
{
public:
    using Ticket = std::uint64_t;
    /// Called once: with nothing when the request may start, or with the refusal.
    using Decision = std::function<void(const Refusal *)>;

    AdmissionController(CapacitySource &capacity, std::unique_ptr<QueueDiscipline> discipline);

    /// Decides at once or later. The decision may be called before this returns.
    Ticket submit(AdmissionRequest request, TimePoint now, Decision decision);

    /// The caller of a request that waits has gone.
    void cancel(Ticket ticket);

    /// Whether a running request's workspace was within its fair share when the request started.
    /// Requests beyond it yield to others in the engines.
    bool withinFairShare(Ticket ticket) const;

    /// An admitted request has ended.
    void release(Ticket ticket, int tokens, TimePoint now);

    /// Starts what can be started and refuses what has waited too long. To be called often.
    void processQueue(TimePoint now);

    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t running() const { return m_running.size(); }
    /// Workspaces that memory is spent on.
    std::size_t trackedWorkspaces() const { return m_usage.size(); }
    /// Forgets the workspaces that have been idle.
    void removeIdleWorkspaces(TimePoint now);

private:
    /// What one active workspace uses.
    struct WorkspaceUsage
    {
        WorkspaceLimits limits;
        TokenBucket requests;
        TokenBucket tokens;
        int running = 0;
        int waiting = 0;
    };

    struct WaitingRequest
    {
        Ticket ticket = 0;
        AdmissionRequest request;
        Decision decision;
    };

    struct RunningRequest
    {
        std::string workspace;
        std::string pipeline;
        bool withinFairShare = true;
    };

    /// What runs of one pipeline, and how fast its requests end.
    struct PipelineUsage
    {
        int running = 0;
        double completionsPerSecond = 0;
        TimePoint lastCompletionAt {};
    };

    using Queue = std::multimap<double, WaitingRequest>;

    std::unique_ptr<Refusal> checkLimits(const AdmissionRequest &request, WorkspaceUsage &usage,
                                         TimePoint now) const;
    Duration predictedWait(const AdmissionRequest &request, double tag) const;
    void start(const AdmissionRequest &request, Ticket ticket);
    void refuseExpired(TimePoint now);
    bool hasFreeSlot(const std::string &pipeline);
    bool isWithinFairShare(const AdmissionRequest &request) const;

    CapacitySource &m_capacity;
    std::unique_ptr<QueueDiscipline> m_discipline;
    std::unordered_map<std::string, WorkspaceUsage> m_usage;
    std::unordered_map<std::string, PipelineUsage> m_pipelines;
    Queue m_waiting;
    std::unordered_map<Ticket, RunningRequest> m_running;
    Ticket m_lastTicket = 0;
};

} // namespace dogwoodvalve
