#include <dogwoodvalve/limits.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace dogwoodvalve {

namespace {

/// Maximum number of requests that wait in one process.
constexpr std::size_t MaxWaitingRequests = 2'000;
/// Completion rate assumed for a pipeline before one is observed.
constexpr double AssumedCompletionsPerSecond = 10;
/// Weight of the newest gap in the moving average of the gaps between completions.
constexpr double CompletionGapSmoothing = 0.05;
/// Shorter gaps between completions are counted as this, which bounds the observed rate.
constexpr double MinCompletionGapSeconds = 1e-4;
constexpr Duration MinRetryAfter = 1s;
constexpr double MicrosPerSecond = 1e6;

Duration seconds(double n)
{
    return Duration(static_cast<std::int64_t>(n * MicrosPerSecond));
}

/// Rounds up to whole seconds, the unit of Retry-After.
Duration roundedUp(Duration wait)
{
    const auto whole = std::chrono::ceil<std::chrono::seconds>(wait);
    return std::max<Duration>(whole, MinRetryAfter);
}

class WeightedFairQueue : public QueueDiscipline
{
public:
    std::string_view name() const override { return "weighted-fair"; }

    double assignTag(std::string_view workspace, double cost, double weight) override
    {
        double &last = m_lastTag[std::string(workspace)];
        last = std::max(m_virtualTime, last) + cost / weight;
        return last;
    }

    void onDequeued(double tag) override { m_virtualTime = std::max(m_virtualTime, tag); }

    void onEmpty() override
    {
        m_lastTag.clear();
        m_virtualTime = 0;
    }

private:
    double m_virtualTime = 0;
    std::unordered_map<std::string, double> m_lastTag;
};

class PriorityQueue : public QueueDiscipline
{
public:
    std::string_view name() const override { return "priority"; }

    double assignTag(std::string_view, double, double weight) override
    {
        m_arrivals += 1;
        return -weight * WeightStride + m_arrivals;
    }

    void onDequeued(double) override { }
    void onEmpty() override { m_arrivals = 0; }

private:
    /// Larger than any number of arrivals, so that a difference in weight comes before their order.
    static constexpr double WeightStride = 1e9;

    double m_arrivals = 0;
};

} // namespace

std::unique_ptr<QueueDiscipline> makeWeightedFairQueue()
{
    return std::make_unique<WeightedFairQueue>();
}

std::unique_ptr<QueueDiscipline> makePriorityQueue()
{
    return std::make_unique<PriorityQueue>();
}

void TokenBucket::refill(double rate, TimePoint now)
{
    const double burst = std::max(1.0, rate);
    if (!m_started) {
        m_started = true;
        m_level = burst;
    } else {
        const auto passed = static_cast<double>((now - m_refilledAt).count()) / MicrosPerSecond;
        m_level = std::min(burst, m_level + passed * rate);
    }
    m_refilledAt = now;
}

bool TokenBucket::tryConsume(double rate, double amount, TimePoint now)
{
    if (rate <= 0)
        return true;
    refill(rate, now);
    if (m_level < amount)
        return false;
    m_level -= amount;
    return true;
}

void TokenBucket::charge(double rate, double amount, TimePoint now)
{
    if (rate <= 0)
        return;
    refill(rate, now);
    m_level -= amount;
}

void TokenBucket::drain(TimePoint now)
{
    m_started = true;
    m_level = 0;
    m_refilledAt = now;
}

Duration TokenBucket::timeUntilAvailable(double rate, TimePoint now)
{
    if (rate <= 0)
        return Duration::zero();
    refill(rate, now);
    return m_level >= 1 ? Duration::zero() : seconds((1 - m_level) / rate);
}

bool TokenBucket::isFull(double rate, TimePoint now)
{
    if (rate <= 0)
        return true;
    refill(rate, now);
    return m_level >= std::max(1.0, rate);
}

void RetryBudget::recordRequest(int retryPercent)
{
    m_balance = std::min(MaxBalance, m_balance + retryPercent / 100.0);
}

bool RetryBudget::trySpend()
{
    if (m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

AdmissionController::AdmissionController(CapacitySource &capacity,
                                         std::unique_ptr<QueueDiscipline> discipline)
    : m_capacity(capacity)
    , m_discipline(std::move(discipline))
{ }

std::unique_ptr<Refusal> AdmissionController::checkLimits(const AdmissionRequest &request,
                                                          WorkspaceUsage &usage,
                                                          TimePoint now) const
{
    const WorkspaceLimits &limits = request.limits;
    const auto refuse = [&](const char *what, Duration wait) {
        return std::make_unique<Refusal>(Refusal {
            {ErrorKind::Overloaded, std::string("the workspace is over its limit of ") + what,
             "send more slowly, or ask the operator for a higher limit"},
            roundedUp(wait)});
    };
    if (limits.concurrentRequests > 0 && usage.running + usage.waiting >= limits.concurrentRequests)
        return refuse("concurrent requests", MinRetryAfter);
    if (const Duration wait = usage.tokens.timeUntilAvailable(limits.tokensPerSecond, now);
        wait > Duration::zero())
        return refuse("tokens a second", wait);
    if (!usage.requests.tryConsume(limits.requestsPerSecond, 1, now))
        return refuse("requests a second",
                      usage.requests.timeUntilAvailable(limits.requestsPerSecond, now));
    return nullptr;
}

Duration AdmissionController::predictedWait(const AdmissionRequest &request, double tag) const
{
    std::size_t ahead = 0;
    for (auto it = m_waiting.begin(); it != m_waiting.end() && it->first <= tag; ++it) {
        if (it->second.request.pipeline == request.pipeline)
            ++ahead;
    }
    const auto usage = m_pipelines.find(request.pipeline);
    const bool observed = usage != m_pipelines.end() && usage->second.completionsPerSecond > 0;
    const double rate = observed ? usage->second.completionsPerSecond : AssumedCompletionsPerSecond;
    return seconds(static_cast<double>(ahead) / rate);
}

AdmissionController::Ticket AdmissionController::submit(AdmissionRequest request, TimePoint now,
                                                        Decision decision)
{
    const Ticket ticket = ++m_lastTicket;
    WorkspaceUsage &usage = m_usage[request.workspace];
    usage.limits = request.limits;
    if (const auto refusal = checkLimits(request, usage, now)) {
        decision(refusal.get());
        return ticket;
    }
    const bool queueEmpty = std::none_of(m_waiting.begin(), m_waiting.end(), [&](const auto &it) {
        return it.second.request.pipeline == request.pipeline;
    });
    if (queueEmpty && hasFreeSlot(request.pipeline)) {
        start(request, ticket);
        decision(nullptr);
        return ticket;
    }
    const double tag =
        m_discipline->assignTag(request.workspace, request.cost, request.limits.weight);
    const Duration wait = predictedWait(request, tag);
    if (m_waiting.size() >= MaxWaitingRequests || now + wait > request.startBy) {
        const Refusal refusal {
            {ErrorKind::Overloaded, "the servers are busy", "send it again after the time given"},
            roundedUp(wait)};
        decision(&refusal);
        return ticket;
    }
    ++usage.waiting;
    m_waiting.emplace(tag, WaitingRequest {ticket, std::move(request), std::move(decision)});
    return ticket;
}

bool AdmissionController::hasFreeSlot(const std::string &pipeline)
{
    return m_pipelines[pipeline].running < m_capacity.slots(pipeline);
}

void AdmissionController::start(const AdmissionRequest &request, Ticket ticket)
{
    const bool withinFairShare = isWithinFairShare(request);
    ++m_usage[request.workspace].running;
    ++m_pipelines[request.pipeline].running;
    m_running.emplace(ticket,
                      RunningRequest {request.workspace, request.pipeline, withinFairShare});
}

/// A workspace's fair share of the slots is proportional to its weight among the active workspaces.
bool AdmissionController::isWithinFairShare(const AdmissionRequest &request) const
{
    double weights = 0;
    for (const auto &[workspace, usage] : m_usage)
        weights += usage.running + usage.waiting > 0 ? usage.limits.weight : 0;
    const WorkspaceUsage &own = m_usage.at(request.workspace);
    weights += own.running + own.waiting > 0 ? 0 : own.limits.weight;
    const double share = m_capacity.slots(request.pipeline) * own.limits.weight / weights;
    return own.running < share;
}

bool AdmissionController::withinFairShare(Ticket ticket) const
{
    const auto it = m_running.find(ticket);
    return it == m_running.end() || it->second.withinFairShare;
}

void AdmissionController::cancel(Ticket ticket)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        if (it->second.ticket != ticket)
            continue;
        --m_usage[it->second.request.workspace].waiting;
        m_waiting.erase(it);
        return;
    }
}

void AdmissionController::release(Ticket ticket, int tokens, TimePoint now)
{
    const auto it = m_running.find(ticket);
    if (it == m_running.end())
        return;
    WorkspaceUsage &usage = m_usage[it->second.workspace];
    --usage.running;
    usage.tokens.charge(usage.limits.tokensPerSecond, tokens, now);
    PipelineUsage &pipeline = m_pipelines[it->second.pipeline];
    --pipeline.running;
    if (pipeline.lastCompletionAt != TimePoint {}) {
        const double gap = std::max(MinCompletionGapSeconds,
                                    static_cast<double>((now - pipeline.lastCompletionAt).count())
                                        / MicrosPerSecond);
        // Averages gaps, not rates: two completions at once must not count as a high rate.
        const double meanGap =
            pipeline.completionsPerSecond > 0 ? 1 / pipeline.completionsPerSecond : gap;
        pipeline.completionsPerSecond = 1 / (meanGap + CompletionGapSmoothing * (gap - meanGap));
    }
    pipeline.lastCompletionAt = now;
    m_running.erase(it);
    processQueue(now);
}

void AdmissionController::refuseExpired(TimePoint now)
{
    std::vector<Decision> late;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (it->second.request.startBy >= now) {
            ++it;
            continue;
        }
        --m_usage[it->second.request.workspace].waiting;
        late.push_back(std::move(it->second.decision));
        it = m_waiting.erase(it);
    }
    const Refusal refusal {{ErrorKind::Overloaded, "the servers stayed busy too long",
                            "send it again after the time given"},
                           MinRetryAfter};
    for (const Decision &decision : late)
        decision(&refusal);
}

void AdmissionController::processQueue(TimePoint now)
{
    refuseExpired(now);
    std::set<std::string, std::less<>> full;
    auto it = m_waiting.begin();
    while (it != m_waiting.end()) {
        const std::string &pipeline = it->second.request.pipeline;
        if (full.count(pipeline) > 0 || !hasFreeSlot(pipeline)) {
            full.insert(pipeline);
            ++it;
            continue;
        }
        m_discipline->onDequeued(it->first);
        const WaitingRequest next = std::move(it->second);
        m_waiting.erase(it);
        --m_usage[next.request.workspace].waiting;
        start(next.request, next.ticket);
        next.decision(nullptr);
        // The decision may have changed the queue.
        it = m_waiting.begin();
    }
    if (m_waiting.empty())
        m_discipline->onEmpty();
}

void AdmissionController::removeIdleWorkspaces(TimePoint now)
{
    for (auto it = m_usage.begin(); it != m_usage.end();) {
        WorkspaceUsage &usage = it->second;
        const bool idle = usage.running == 0 && usage.waiting == 0
            && usage.requests.isFull(usage.limits.requestsPerSecond, now)
            && usage.tokens.isFull(usage.limits.tokensPerSecond, now);
        it = idle ? m_usage.erase(it) : std::next(it);
    }
}

} // namespace dogwoodvalve
