#pragma once

#include <dogwoodvalve/timer_service.h>

#include <deque>
#include <optional>

namespace dogwoodvalve {

/// Limit on the retries of all hosts together in a sliding window.
struct RetryAllowance
{
    Duration window = 10s;
    /// Retries allowed per request in the window.
    double ratio = 0.2;
    /// Retries allowed in addition, so that retries are possible at a low request rate.
    double slack = 10;

    bool operator==(const RetryAllowance &other) const = default;
};

/// The hosts that share a retry allowance.
struct RetrySharers
{
    /// Implicit, as a number of hosts none of which is new says all. `started` hosts, including
    /// this one, have started within the window; `remembered` tells that another one has not.
    RetrySharers(int hosts, int started = 0, bool remembered = false)
        : hosts(hosts)
        , started(started)
        , remembered(remembered)
    { }

    /// All hosts, including those that may be alive but are not heard.
    int hosts = 1;
    int started = 0;
    bool remembered = false;
};

/// Limits the retries of one host so that all hosts together stay within an allowance, without
/// coordination per retry: each host may use the ratio of its own requests, and an equal part of
/// the slack.
///
/// Earlier processes of this host may have used up their part in the same window. So in the first
/// window after its start, a host uses the margin that hosts leave otherwise, with the others that
/// have started. If no host is older, all were restarted, perhaps several times, and nobody knows
/// how often: then it uses less of the ratio, and hardly any slack.
class SharedRetryBudget
{
public:
    /// Without the time of the process's start, the process is not new.
    explicit SharedRetryBudget(RetryAllowance allowance,
                               std::optional<TimePoint> startedAt = std::nullopt)
        : m_allowance(allowance)
        , m_startedAt(startedAt)
    { }

    /// Requests and retries recorded so far still count.
    void setAllowance(RetryAllowance allowance) { m_allowance = allowance; }
    /// Records the first attempt of a request.
    void recordRequest(TimePoint now);
    /// Reserves a retry and returns true if the budget allows one. A retry may have to wait for a
    /// server for longer than the window, so it counts until it was sent, and for a window
    /// afterwards.
    bool tryReserve(TimePoint now, const RetrySharers &sharers);
    /// A reserved retry is being sent.
    void recordSent(TimePoint now);
    /// A reserved retry will not be sent.
    void release() { --m_reserved; }
    /// As tryReserve() and recordSent().
    bool tryAcquire(TimePoint now, const RetrySharers &sharers);
    /// Number of retries that are allowed now. It can be fractional, or negative after the
    /// allowance or the number of requests in the window has decreased.
    double remaining(TimePoint now, const RetrySharers &sharers);

private:
    /// Drops requests and retries that have left the window.
    void evictExpired(TimePoint now);

    RetryAllowance m_allowance;
    std::optional<TimePoint> m_startedAt;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
    int m_reserved = 0;
};

} // namespace dogwoodvalve
