#include <dogwoodvalve/shared_retry_budget.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Share of the allowance that hosts use. The rest is a margin for two errors: hosts may disagree
/// for a moment on the number of live hosts, and requests may leave the window before the retries
/// that were allowed because of them.
constexpr double SpendableShare = 0.7;

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
    const double allowed = m_allowance.ratio * static_cast<double>(m_requests.size())
        + m_allowance.slack / std::max(1, hosts);
    return SpendableShare * allowed - static_cast<double>(m_retries.size());
}

bool SharedRetryBudget::tryAcquire(TimePoint now, int hosts)
{
    if (remaining(now, hosts) < 1)
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace dogwoodvalve
