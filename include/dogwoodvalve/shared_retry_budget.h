#pragma once

#include <dogwoodvalve/timer_service.h>

#include <deque>

namespace dogwoodvalve {

/// What all hosts together may send to further servers in a sliding window.
struct RetryAllowance
{
    Duration window = 10s;
    /// Share of the window's first attempts.
    double ratio = 0.2;
    /// Attempts that are allowed besides the share.
    double slack = 10;

    bool operator==(const RetryAllowance &other) const = default;
};

/// Bounds the repeated attempts of one host so that all hosts together stay within an allowance,
/// without a call between them for each attempt: a host spends the share of its own requests, and
/// its part of the slack.
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(RetryAllowance allowance)
        : m_allowance(allowance)
    { }

    /// What was spent so far still counts.
    void setAllowance(RetryAllowance allowance) { m_allowance = allowance; }
    void recordRequest(TimePoint now);
    /// Takes one repeated attempt if the budget has it. Hosts is the number that share the slack.
    bool tryAcquire(TimePoint now, int hosts);
    /// Repeated attempts that are left now.
    double remaining(TimePoint now, int hosts);

private:
    void evictExpired(TimePoint now);

    RetryAllowance m_allowance;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace dogwoodvalve
