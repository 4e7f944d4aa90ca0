#include <dogwoodvalve/limits.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace dogwoodvalve {

namespace {

/// Requests that may wait in one process.
constexpr std::size_t MaxWaiting = 2'000;
/// Drain rate taken before any request has ended, in requests a second.
constexpr double AssumedDrain = 10;
/// Each end of a request moves the mean drain rate by this share.
constexpr double DrainSmoothing = 0.05;
constexpr Duration ShortestRetryAfter = 1s;

Duration seconds(double n)
{
    return Duration(static_cast<std::int64_t>(n * 1e6));
}

/// Retry-After counts whole seconds, so it is rounded up.
Duration roundedUp(Duration wait)
{
    const auto whole = std::chrono::ceil<std::chrono::seconds>(wait);
    return std::max<Duration>(whole, ShortestRetryAfter);
}

class WeightedFairQueue : public QueueDiscipline
{
public:
    std::string_view name() const override { return "weighted-fair"; }

    double tag(std::string_view workspace, double cost, double weight) override
    {
        double &last = m_lastTag[std::string(workspace)];
        last = std::max(m_virtualTime, last) + cost / weight;
        return last;
    }

    void dequeued(double tag) override { m_virtualTime = std::max(m_virtualTime, tag); }

    void idle() override
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

    double tag(std::string_view, double, double weight) override
    {
        m_arrivals += 1;
        return -weight * Spread + m_arrivals;
    }

    void dequeued(double) override { }
    void idle() override { m_arrivals = 0; }

private:
    /// Keeps the arrivals of one weight apart from the next weight.
    static constexpr double Spread = 1e9;

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
        const auto passed = static_cast<double>((now - m_refilledAt).count()) / 1e6;
        m_level = std::min(burst, m_level + passed * rate);
    }
    m_refilledAt = now;
}

bool TokenBucket::take(double rate, double amount, TimePoint now)
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

Duration TokenBucket::waitFor(double rate, TimePoint now)
{
    if (rate <= 0)
        return Duration::zero();
    refill(rate, now);
    return m_level >= 1 ? Duration::zero() : seconds((1 - m_level) / rate);
}

bool TokenBucket::full(double rate, TimePoint now)
{
    if (rate <= 0)
        return true;
    refill(rate, now);
    return m_level >= std::max(1.0, rate);
}

void RetryBudget::noteRequest(int retryPercent)
{
    m_balance = std::min(MaxBalance, m_balance + retryPercent / 100.0);
}

bool RetryBudget::take()
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

std::unique_ptr<Refusal> AdmissionController::overLimit(const AdmissionRequest &request,
                                                        Usage &usage, TimePoint now) const
{
    const WorkspaceLimits &limits = request.limits;
    const auto refuse = [&](const char *what, Duration wait) {
        return std::make_unique<Refusal>(Refusal {
            {ErrorKind::Overloaded, std::string("the workspace is over its limit of ") + what,
             "send more slowly, or ask the operator for a higher limit"},
            roundedUp(wait)});
    };
    if (limits.concurrentRequests > 0 && usage.running + usage.waiting >= limits.concurrentRequests)
        return refuse("concurrent requests", ShortestRetryAfter);
    if (const Duration wait = usage.tokens.waitFor(limits.tokensPerSecond, now);
        wait > Duration::zero())
        return refuse("tokens a second", wait);
    if (!usage.requests.take(limits.requestsPerSecond, 1, now))
        return refuse("requests a second", usage.requests.waitFor(limits.requestsPerSecond, now));
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
    const bool observed = usage != m_pipelines.end() && usage->second.endsPerSecond > 0;
    const double rate = observed ? usage->second.endsPerSecond : AssumedDrain;
    return seconds(static_cast<double>(ahead) / rate);
}

AdmissionController::Ticket AdmissionController::submit(AdmissionRequest request, TimePoint now,
                                                        Decision decision)
{
    const Ticket ticket = ++m_lastTicket;
    Usage &usage = m_usage[request.workspace];
    usage.limits = request.limits;
    if (const auto refusal = overLimit(request, usage, now)) {
        decision(refusal.get());
        return ticket;
    }
    const bool queueEmpty = std::none_of(m_waiting.begin(), m_waiting.end(), [&](const auto &it) {
        return it.second.request.pipeline == request.pipeline;
    });
    if (queueEmpty && hasRoom(request.pipeline)) {
        start(request, ticket);
        decision(nullptr);
        return ticket;
    }
    const double tag = m_discipline->tag(request.workspace, request.cost, request.limits.weight);
    const Duration wait = predictedWait(request, tag);
    if (m_waiting.size() >= MaxWaiting || now + wait > request.startBy) {
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

bool AdmissionController::hasRoom(const std::string &pipeline)
{
    return m_pipelines[pipeline].running < m_capacity.slots(pipeline);
}

void AdmissionController::start(const AdmissionRequest &request, Ticket ticket)
{
    const bool withinShare = isWithinShare(request);
    ++m_usage[request.workspace].running;
    ++m_pipelines[request.pipeline].running;
    m_running.emplace(ticket, RunningRequest {request.workspace, request.pipeline, withinShare});
}

/// A workspace's fair share of the slots is in proportion to its weight among the active ones.
bool AdmissionController::isWithinShare(const AdmissionRequest &request) const
{
    double weights = 0;
    for (const auto &[workspace, usage] : m_usage)
        weights += usage.running + usage.waiting > 0 ? usage.limits.weight : 0;
    const Usage &own = m_usage.at(request.workspace);
    weights += own.running + own.waiting > 0 ? 0 : own.limits.weight;
    const double share = m_capacity.slots(request.pipeline) * own.limits.weight / weights;
    return own.running < share;
}

bool AdmissionController::withinShare(Ticket ticket) const
{
    const auto it = m_running.find(ticket);
    return it == m_running.end() || it->second.withinShare;
}

void AdmissionController::withdraw(Ticket ticket)
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
    Usage &usage = m_usage[it->second.workspace];
    --usage.running;
    usage.tokens.charge(usage.limits.tokensPerSecond, tokens, now);
    PipelineUsage &pipeline = m_pipelines[it->second.pipeline];
    --pipeline.running;
    if (pipeline.lastEnd != TimePoint {}) {
        const double gap =
            std::max(1e-4, static_cast<double>((now - pipeline.lastEnd).count()) / 1e6);
        // The mean of gaps, not of rates: two ends at once must not count as a high rate.
        const double meanGap = pipeline.endsPerSecond > 0 ? 1 / pipeline.endsPerSecond : gap;
        pipeline.endsPerSecond = 1 / (meanGap + DrainSmoothing * (gap - meanGap));
    }
    pipeline.lastEnd = now;
    m_running.erase(it);
    pump(now);
}

void AdmissionController::refuseLate(TimePoint now)
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
                           ShortestRetryAfter};
    for (const Decision &decision : late)
        decision(&refusal);
}

void AdmissionController::pump(TimePoint now)
{
    refuseLate(now);
    std::set<std::string, std::less<>> full;
    auto it = m_waiting.begin();
    while (it != m_waiting.end()) {
        const std::string &pipeline = it->second.request.pipeline;
        if (full.count(pipeline) > 0 || !hasRoom(pipeline)) {
            full.insert(pipeline);
            ++it;
            continue;
        }
        m_discipline->dequeued(it->first);
        const WaitingRequest next = std::move(it->second);
        m_waiting.erase(it);
        --m_usage[next.request.workspace].waiting;
        start(next.request, next.ticket);
        next.decision(nullptr);
        // The decision may have changed the queue.
        it = m_waiting.begin();
    }
    if (m_waiting.empty())
        m_discipline->idle();
}

void AdmissionController::collect(TimePoint now)
{
    for (auto it = m_usage.begin(); it != m_usage.end();) {
        Usage &usage = it->second;
        const bool idle = usage.running == 0 && usage.waiting == 0
            && usage.requests.full(usage.limits.requestsPerSecond, now)
            && usage.tokens.full(usage.limits.tokensPerSecond, now);
        it = idle ? m_usage.erase(it) : std::next(it);
    }
}

} // namespace dogwoodvalve
