#pragma once

#include <dogwoodvalve/limits.h>
#include <dogwoodvalve/rate_limit_report.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dogwoodvalve {

/// Keeps this host's part of the request rates that servers accept from all hosts together.
///
/// A limit is divided equally among a few hosts, which are the same ones at all hosts, and the
/// others send nothing to the server. That needs no message per request, and the sum is bounded
/// though hosts learn of one another late: with at most `maxSharingHosts()` hosts, the requests
/// that they may save up are at most another two seconds' worth of the limit.
///
/// A limit belongs to one start of a server. It ends with an answer to a later request that names
/// none. All functions take the server's id and its start, Unix time in ms.
class ServerRateLimits
{
public:
    /// A host with a smaller part, in requests per second, could hardly use it.
    static constexpr double MinRatePerHost = 0.5;
    /// A server that accepts less, in requests per second, is still asked at this rate whether its
    /// limit has ended.
    static constexpr double MinLimit = 0.25;
    /// A larger limit, in requests per second, limits nothing.
    static constexpr double MaxLimit = 1e6;

    /// The number of hosts, at least one, among which a limit in requests per second is divided.
    static int maxSharingHosts(double perSecond);

    /// An answer to a request that was sent at `sentAt` names this limit in requests per second, or
    /// none. Returns whether that changes the limit.
    bool recordAnswer(std::string_view id, std::int64_t startedAtMs,
                      std::optional<double> perSecond, TimePoint sentAt, TimePoint now);
    /// Uses what another host reports. Returns the servers whose limit it changes.
    std::vector<std::string> merge(const RateLimitReports &reports, TimePoint now);
    /// The limits that are known, and those that have ended lately.
    RateLimitReports reports(TimePoint now) const;

    /// Sets this host's parts. The function returns its share, from 0 to 1, of a server's limit
    /// that at most the given number of hosts divide.
    void updateShares(const std::function<double(std::string_view id, int maxHosts)> &share);

    /// The limit in requests per second, if there is one.
    std::optional<double> limit(std::string_view id, std::int64_t startedAtMs) const;
    /// This host's part of the limit, in requests per second.
    double ownRate(std::string_view id, std::int64_t startedAtMs) const;
    /// When this host may send the next request, now or later. Nothing if it has no part of the
    /// limit.
    std::optional<TimePoint> acceptsAt(std::string_view id, std::int64_t startedAtMs,
                                       TimePoint now);
    /// A request of any kind is being sent to the server.
    void recordRequest(std::string_view id, std::int64_t startedAtMs, TimePoint now);
    std::size_t limitedServers() const;

    /// Drops the records of servers that have not been registered for a while.
    template <class Predicate>
    void retain(Predicate isRegistered, TimePoint now)
    {
        std::erase_if(m_servers, [&](const auto &entry) {
            return !isRegistered(entry.first) && now - entry.second.answeredAt > RecordRetention;
        });
    }

private:
    /// How long a record outlasts the server's registration.
    static constexpr Duration RecordRetention = std::chrono::minutes(1);

    struct Record
    {
        std::int64_t startedAtMs = 0;
        std::optional<double> perSecond;
        /// When the answer arrived that shows this.
        TimePoint answeredAt {};
        /// This host's part of the limit, in requests per second.
        double ownRate = 0;
        /// The requests that this host may send now.
        TokenBucket bucket;
    };

    /// Bounds the limit, which may have any value, and returns whether that changes it.
    static bool setLimit(Record &record, std::optional<double> perSecond, TimePoint answeredAt,
                         TimePoint now);
    static bool isLimited(const Record &record, std::int64_t startedAtMs);

    std::map<std::string, Record, std::less<>> m_servers;
};

} // namespace dogwoodvalve
