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

/// A token bucket. It holds the tokens of one second at its rate, but at least one token. All rates
/// are in tokens per second.
class TokenBucket
{
public:
    /// Takes an amount and returns true if the bucket holds it. A rate of 0 allows everything.
    bool tryConsume(double rate, double amount, TimePoint now);
    /// Takes an amount even if the bucket holds less. The resulting debt is refilled at the rate.
    void charge(double rate, double amount, TimePoint now);
    /// Takes all tokens.
    void drain(TimePoint now);
    /// Returns the time until one token is available.
    Duration timeUntilAvailable(double rate, TimePoint now);
    /// Whether the bucket is full, as a new one is, so that it can be discarded.
    bool isFull(double rate, TimePoint now);

private:
    void refill(double rate, TimePoint now);

    double m_level = 0;
    TimePoint m_refilledAt {};
    bool m_started = false;
};

/// Limits retries to a percentage of the requests, so that retries do not overload a failing pool.
class RetryBudget
{
public:
    /// Adds this percentage of one retry to the budget.
    void recordRequest(int retryPercent);
    /// Spends one retry and returns true if the budget holds at least one.
    bool trySpend();
    /// The number of retries that can be spent now.
    double balance() const { return m_balance; }

private:
    double m_balance = StartBalance;

    static constexpr double StartBalance = 10;
    static constexpr double MaxBalance = 200;
};

/// Defines the order of the waiting requests. Requests with smaller tags start first.
class QueueDiscipline
{
public:
    virtual ~QueueDiscipline() = default;
    virtual std::string_view name() const = 0;
    /// Returns the tag of a new request of a workspace. The cost is its expected size in tokens.
    virtual double assignTag(std::string_view workspace, double cost, double weight) = 0;
    /// Called when the request with this tag leaves the queue to start.
    virtual void onDequeued(double tag) = 0;
    /// Called when no request is waiting, so that the state kept per workspace can be dropped.
    virtual void onEmpty() = 0;
};

/// Weighted fair queueing: each request advances the virtual time of its workspace by its cost
/// divided by the workspace's weight, so that a workspace that sends many requests delays only its
/// own.
std::unique_ptr<QueueDiscipline> makeWeightedFairQueue();
/// Strict priority by weight, first come first served within a weight.
std::unique_ptr<QueueDiscipline> makePriorityQueue();

/// Provides the number of sequences of a pipeline that this process may have running now: the
/// capacity of the pipeline's servers, minus what other hosts are known to use of it.
class CapacitySource
{
public:
    virtual ~CapacitySource() = default;
    virtual int slots(std::string_view pipeline) = 0;
};

/// A request for admission.
struct AdmissionRequest
{
    std::string workspace;
    std::string pipeline;
    /// This host's share of the workspace's limits.
    WorkspaceLimits limits;
    /// Expected size in tokens.
    double cost = 1;
    /// The request is refused if it can't start by this time.
    TimePoint startBy = TimePoint::max();
};

/// Why a request was not admitted. The request has not run.
struct Refusal
{
    Error error;
    Duration retryAfter = 1s;
};

/// Decides when requests start: within the limits of their workspaces and in the order of the queue
/// discipline. Requests whose predicted wait is too long are refused at once. Not thread-safe.
class AdmissionController
{
public:
    using Ticket = std::uint64_t;
    /// Called once: with nullptr when the request may start, otherwise with the refusal, which is
    /// valid during the call only.
    using Decision = std::function<void(const Refusal *)>;

    AdmissionController(CapacitySource &capacity, std::unique_ptr<QueueDiscipline> discipline);

    /// Admits, refuses or queues a request. The decision may be called before this returns.
    Ticket submit(AdmissionRequest request, TimePoint now, Decision decision);

    /// Removes a waiting request whose caller has disconnected, without calling its decision.
    void cancel(Ticket ticket);

    /// Whether a running request's workspace was within its fair share when the request started.
    /// Requests beyond it get a lower priority in the engines.
    bool withinFairShare(Ticket ticket) const;

    /// Releases the slot of an admitted request that has ended, and charges its tokens to the
    /// workspace.
    void release(Ticket ticket, int tokens, TimePoint now);

    /// Starts the waiting requests that have a free slot and refuses those that have waited too
    /// long. To be called periodically.
    void processQueue(TimePoint now);

    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t running() const { return m_running.size(); }
    /// The number of workspaces whose usage is kept in memory.
    std::size_t trackedWorkspaces() const { return m_usage.size(); }
    /// Removes the workspaces that have no requests and whose token buckets are full again.
    void removeIdleWorkspaces(TimePoint now);

private:
    /// The usage of one workspace.
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

    /// The number of running requests of a pipeline and the rate at which they complete.
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
