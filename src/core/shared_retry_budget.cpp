#include "core/mutation.h"

#include <dogwoodvalve/shared_retry_budget.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Share of the allowance that hosts use. The rest is a margin for two errors: hosts may disagree
/// for a moment on the number of live hosts, and requests may leave the window before the retries
/// that were allowed because of them.
constexpr double SpendableShare = 0.7;
constexpr double Margin = 1 - SpendableShare;
/// The margin is divided by this, as hosts may be restarted more than once in a window: if all are
/// restarted together, and if some host remembers the others.
constexpr int RestartsOfAll = 5;
constexpr int RestartsOfSome = 2;

} // namespace

void SharedRetryBudget::evictExpired(TimePoint now)
{
    const TimePoint oldest = now - m_allowance.window;
    while (!m_requests.empty() && m_requests.front() < oldest)
        m_requests.pop_front();
    while (!m_retries.empty() && m_retries.front() < oldest)
        m_retries.pop_front();
}

void SharedRetryBudget::recordRequest(TimePoint now)
{
    evictExpired(now);
    m_requests.push_back(now);
}

double SharedRetryBudget::remaining(TimePoint now, const RetrySharers &sharers)
{
    evictExpired(now);
    const bool isNew = m_startedAt && now - *m_startedAt < m_allowance.window
        && !mutated("gateway-retry-at-start");
    const double hosts = std::max(1, sharers.hosts);
    const double started = std::max(1, sharers.started);
    double ratioShare = SpendableShare;
    double slackShare = SpendableShare / hosts;
    if (isNew && sharers.remembered) {
        ratioShare = SpendableShare - (SpendableShare - Margin) * std::min(1.0, started / hosts);
        slackShare = std::min(slackShare, Margin / (RestartsOfSome * started));
    } else if (isNew) {
        ratioShare = Margin;
        slackShare = Margin / (RestartsOfAll * hosts);
    }
    return ratioShare * m_allowance.ratio * static_cast<double>(m_requests.size())
        + slackShare * m_allowance.slack - static_cast<double>(m_retries.size()) - m_reserved;
}

bool SharedRetryBudget::tryReserve(TimePoint now, const RetrySharers &sharers)
{
    if (remaining(now, sharers) < 1)
        return false;
    ++m_reserved;
    return true;
}

void SharedRetryBudget::recordSent(TimePoint now)
{
    release();
    m_retries.push_back(now);
}

bool SharedRetryBudget::tryAcquire(TimePoint now, const RetrySharers &sharers)
{
    const bool acquired = tryReserve(now, sharers);
    if (acquired)
        recordSent(now);
    return acquired;
}

} // namespace dogwoodvalve
