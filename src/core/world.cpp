#include "core/duration_math.h"

#include <dogwoodvalve/world.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

constexpr Duration DefaultStepTime = 20ms;
constexpr Duration BaseEjectionTime = 500ms;
constexpr Duration MaxEjectionTime = 30s;
/// Bounds the shift; MaxEjectionTime is reached earlier.
constexpr int MaxEjectionDoublings = 8;
constexpr Duration ProbeTimeout = 2s;
/// Each slower step raises the least step time by the difference divided by this.
constexpr std::int64_t LeastStepDecayDivisor = 512;
/// The engine's own part of a step is assumed to be at least the observed time divided by this,
/// whatever link latency is configured.
constexpr double MinEngineStepDivisor = 10;
/// Number of stages assumed for a cycle before one is observed.
constexpr double AssumedStages = 2;
/// Older step times are outdated.
constexpr Duration MaxStepTimeAge = 60s;
/// At this age, a load report counts half.
constexpr double LoadReportHalfLifeMicros = 2e6;
/// Each observation moves a running mean by the difference divided by this.
constexpr std::int64_t MeanDivisor = 8;

void moveMean(std::atomic<std::int64_t> &mean, std::int64_t observed)
{
    const std::int64_t old = mean.load(std::memory_order_relaxed);
    const std::int64_t next = old == 0 ? observed : old + (observed - old) / MeanDivisor;
    mean.store(std::max<std::int64_t>(next, 1), std::memory_order_relaxed);
}

std::int64_t micros(TimePoint at)
{
    return at.time_since_epoch().count();
}

} // namespace

BackendServer::BackendServer(std::string name, std::string address)
    : m_name(std::move(name))
    , m_address(std::move(address))
{ }

void BackendServer::recordLoadReport(int sequences, TimePoint at)
{
    m_inFlightAtReport.store(inFlight(), std::memory_order_relaxed);
    m_reportedLoad.store(sequences, std::memory_order_relaxed);
    m_reportedAt.store(micros(at), std::memory_order_relaxed);
}

double BackendServer::estimatedLoad(TimePoint now) const
{
    const int own = inFlight();
    const std::int64_t reportedAt = m_reportedAt.load(std::memory_order_relaxed);
    if (reportedAt == 0)
        return own;
    const int ownAtReport = m_inFlightAtReport.load(std::memory_order_relaxed);
    const int reported = m_reportedLoad.load(std::memory_order_relaxed);
    const double others = std::max(0, reported - ownAtReport);
    const auto age = static_cast<double>(micros(now) - reportedAt);
    const double reportWeight =
        LoadReportHalfLifeMicros / (LoadReportHalfLifeMicros + std::max(0.0, age));
    return own + others * reportWeight;
}

void BackendServer::recordStepTime(Duration duration, bool prefill, TimePoint now)
{
    if (!prefill) {
        m_stepObservedAt.store(micros(now), std::memory_order_relaxed);
        updateLeastStepTime(duration.count());
    }
    moveMean(prefill ? m_prefillMicros : m_stepMicros, duration.count());
}

Duration BackendServer::stepTime() const
{
    const std::int64_t mean = m_stepMicros.load(std::memory_order_relaxed);
    return mean == 0 ? DefaultStepTime : Duration(mean);
}

Duration BackendServer::unloadedStepTime() const
{
    const std::int64_t least = m_leastStepMicros.load(std::memory_order_relaxed);
    return least == 0 ? DefaultStepTime : Duration(least);
}

void BackendServer::recordCycleTime(Duration cycle)
{
    moveMean(m_cycleMicros, cycle.count());
}

double BackendServer::residentCapacity(int batch, Duration linkRoundTrip) const
{
    const auto step = static_cast<double>(unloadedStepTime().count());
    const auto link = static_cast<double>(linkRoundTrip.count());
    const double engineStep = std::max(step - link, step / MinEngineStepDivisor);
    const auto observed = static_cast<double>(m_cycleMicros.load(std::memory_order_relaxed));
    const double cycle = observed == 0 ? AssumedStages * step : std::max(observed, step);
    return batch * cycle / engineStep;
}

/// Adopts a lower step time at once and moves slowly towards higher ones. Under sustained load the
/// value includes some queueing, which keeps the capacity computed from it conservative.
void BackendServer::updateLeastStepTime(std::int64_t observed)
{
    const std::int64_t least = m_leastStepMicros.load(std::memory_order_relaxed);
    const bool lower = least == 0 || observed < least;
    m_leastStepMicros.store(lower ? observed : least + (observed - least) / LeastStepDecayDivisor,
                            std::memory_order_relaxed);
}

bool BackendServer::stepTimeUnknown(TimePoint now) const
{
    const std::int64_t at = m_stepObservedAt.load(std::memory_order_relaxed);
    return at == 0 || micros(now) - at > MaxStepTimeAge.count();
}

Duration BackendServer::prefillTime() const
{
    const std::int64_t mean = m_prefillMicros.load(std::memory_order_relaxed);
    return mean == 0 ? stepTime() : Duration(mean);
}

void BackendServer::recordFailure(TimePoint now)
{
    const int failures = m_failures.fetch_add(1, std::memory_order_relaxed);
    const Duration ejection =
        std::min(backoff(BaseEjectionTime, failures, MaxEjectionDoublings), MaxEjectionTime);
    m_ejectedUntil.store(micros(now + ejection), std::memory_order_relaxed);
    m_probeUntil.store(0, std::memory_order_relaxed);
}

void BackendServer::recordSuccess()
{
    if (m_failures.load(std::memory_order_relaxed) == 0)
        return;
    m_failures.store(0, std::memory_order_relaxed);
    m_ejectedUntil.store(0, std::memory_order_relaxed);
    m_probeUntil.store(0, std::memory_order_relaxed);
}

bool BackendServer::ejected(TimePoint now) const
{
    if (m_failures.load(std::memory_order_relaxed) == 0)
        return false;
    return micros(now) < m_ejectedUntil.load(std::memory_order_relaxed)
        || micros(now) < m_probeUntil.load(std::memory_order_relaxed);
}

bool BackendServer::claimProbe(TimePoint now)
{
    if (m_failures.load(std::memory_order_relaxed) == 0)
        return true;
    std::int64_t until = m_probeUntil.load(std::memory_order_relaxed);
    if (micros(now) < until)
        return false;
    return m_probeUntil.compare_exchange_strong(until, micros(now + ProbeTimeout),
                                                std::memory_order_relaxed);
}

std::shared_ptr<BackendServer> BackendServerRegistry::findOrCreate(const std::string &name,
                                                                   const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    auto &server = m_servers[name + '@' + address];
    if (!server)
        server = std::make_shared<BackendServer>(name, address);
    return server;
}

void BackendServerRegistry::removeUnused()
{
    const std::lock_guard lock(m_mutex);
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        if (it->second.use_count() == 1)
            it = m_servers.erase(it);
        else
            ++it;
    }
}

} // namespace dogwoodvalve
