#include "core/mutation.h"
#include "core/start_records.h"

#include <dogwoodvalve/server_rate_limits.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// The end of a limit is reported for this long, so that all hosts learn of it.
constexpr Duration EndReportTime = 10s;
/// A report of a limit that is known already counts only if it is newer by this much, as the time
/// that it was under way would otherwise add up from host to host.
constexpr Duration MinReportAdvance = 500ms;

} // namespace

int ServerRateLimits::maxSharingHosts(double perSecond)
{
    return std::max(1, static_cast<int>(perSecond / MinRatePerHost));
}

bool ServerRateLimits::setLimit(Record &record, std::optional<double> perSecond,
                                TimePoint answeredAt, TimePoint now)
{
    // The hosts learn of the limit at about the same time. If each had a request to send then, they
    // would exceed it together.
    if (!record.perSecond)
        record.bucket.drain(now);
    if (perSecond)
        perSecond = std::clamp(*perSecond, MinLimit, MaxLimit);
    record.answeredAt = answeredAt;
    return std::exchange(record.perSecond, perSecond) != perSecond;
}

bool ServerRateLimits::recordAnswer(std::string_view id, std::int64_t startedAtMs,
                                    std::optional<double> perSecond, TimePoint sentAt,
                                    TimePoint now)
{
    Record *record = recordOfStart(m_servers, id, startedAtMs, perSecond.has_value());
    if (!record)
        return false;
    if (perSecond)
        return setLimit(*record, perSecond, now, now);
    // The answer may have been overtaken by one that names the limit.
    if (!record->perSecond || sentAt < record->answeredAt)
        return false;
    return setLimit(*record, std::nullopt, now, now);
}

std::vector<std::string> ServerRateLimits::merge(const RateLimitReports &reports, TimePoint now)
{
    std::vector<std::string> changed;
    if (mutated("gateway-ignore-reported-limits"))
        return changed;
    for (const auto &[id, report] : reports) {
        Record *record =
            recordOfStart(m_servers, id, report.startedAtMs, report.perSecond.has_value());
        if (!record)
            continue;
        const TimePoint answeredAt = now - report.age;
        const bool same = report.perSecond == record->perSecond;
        if (answeredAt <= record->answeredAt + (same ? MinReportAdvance : Duration::zero()))
            continue;
        if (setLimit(*record, report.perSecond, answeredAt, now))
            changed.push_back(id);
    }
    return changed;
}

RateLimitReports ServerRateLimits::reports(TimePoint now) const
{
    RateLimitReports reports;
    for (const auto &[id, record] : m_servers) {
        const Duration age = now - record.answeredAt;
        if (record.perSecond || age <= EndReportTime)
            reports[id] = {record.startedAtMs, record.perSecond, age};
    }
    return reports;
}

void ServerRateLimits::updateShares(
    const std::function<double(std::string_view id, int maxHosts)> &share)
{
    for (auto &[id, record] : m_servers) {
        if (record.perSecond)
            record.ownRate = *record.perSecond * share(id, maxSharingHosts(*record.perSecond));
        if (record.perSecond && mutated("gateway-limit-of-each-host"))
            record.ownRate = *record.perSecond;
    }
}

bool ServerRateLimits::isLimited(const Record &record, std::int64_t startedAtMs)
{
    return record.startedAtMs == startedAtMs && record.perSecond
        && !mutated("gateway-ignore-limits");
}

std::optional<double> ServerRateLimits::limit(std::string_view id, std::int64_t startedAtMs) const
{
    const auto it = m_servers.find(id);
    return it != m_servers.end() && isLimited(it->second, startedAtMs) ? it->second.perSecond
                                                                       : std::nullopt;
}

double ServerRateLimits::ownRate(std::string_view id, std::int64_t startedAtMs) const
{
    const auto it = m_servers.find(id);
    return it != m_servers.end() && isLimited(it->second, startedAtMs) ? it->second.ownRate : 0;
}

std::optional<TimePoint> ServerRateLimits::acceptsAt(std::string_view id, std::int64_t startedAtMs,
                                                     TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end() || !isLimited(it->second, startedAtMs))
        return now;
    Record &record = it->second;
    if (record.ownRate <= 0)
        return std::nullopt;
    return now + record.bucket.timeUntilAvailable(record.ownRate, now);
}

void ServerRateLimits::recordRequest(std::string_view id, std::int64_t startedAtMs, TimePoint now)
{
    // Probes are sent without asking. They do not put the host into debt, which would keep its
    // requests from servers that accept hardly more than the probes.
    const auto it = m_servers.find(id);
    if (it != m_servers.end() && isLimited(it->second, startedAtMs) && it->second.ownRate > 0)
        it->second.bucket.tryConsume(it->second.ownRate, 1, now);
}

std::size_t ServerRateLimits::limitedServers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_servers.begin(), m_servers.end(),
                      [](const auto &entry) { return entry.second.perSecond.has_value(); }));
}

} // namespace dogwoodvalve
