#include "core/mutation.h"

#include <dogwoodvalve/shared_retry_budget.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Share of the allowance that hosts use. The rest is a margin for two errors: hosts may disagree
/// for a moment on the number of live hosts, and requests may leave the window before the retries
/// that were allowed because of them.
constexpr double SpendableShare = 0.7;
/// Shares that a new process uses. Hosts may be restarted several times in a window; the slack of
/// five processes of a host fits into the margin.
constexpr double NewProcessRatioShare = 1 - SpendableShare;
constexpr double NewProcessSlackShare = (1 - SpendableShare) / 5;

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

double SharedRetryBudget::remaining(TimePoint now, int hosts)
{
    evictExpired(now);
    const bool isNew = m_startedAt && now - *m_startedAt < m_allowance.window
        && !mutated("gateway-retry-at-start");
    const double ratioShare = isNew ? NewProcessRatioShare : SpendableShare;
    const double slackShare = isNew ? NewProcessSlackShare : SpendableShare;
    return ratioShare * m_allowance.ratio * static_cast<double>(m_requests.size())
        + slackShare * m_allowance.slack / std::max(1, hosts)
        - static_cast<double>(m_retries.size()) - m_reserved;
}

bool SharedRetryBudget::tryReserve(TimePoint now, int hosts)
{
    if (remaining(now, hosts) < 1)
        return false;
    ++m_reserved;
    return true;
}

void SharedRetryBudget::recordSent(TimePoint now)
{
    release();
    m_retries.push_back(now);
}

bool SharedRetryBudget::tryAcquire(TimePoint now, int hosts)
{
    const bool acquired = tryReserve(now, hosts);
    if (acquired)
        recordSent(now);
    return acquired;
}

} // namespace dogwoodvalve
