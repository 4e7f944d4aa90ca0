#pragma once

#include <dogwoodvalve/timer_service.h>

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Counts the other hosts that may be alive. A host that is not heard any more may be frozen, cut
/// off, or about to start again, so it counts for long; one that has announced that it leaves does
/// not.
class HostCensus
{
public:
    /// A host was heard, or heard of, at this time.
    void recordSeen(std::string_view name, bool leaving, TimePoint seenAt);
    /// Number of hosts that may be alive.
    int count(TimePoint now) const;
    /// Drops hosts that do not count any more. To be called regularly.
    void expire(TimePoint now);

private:
    /// How long a silent host counts. Exceeds cuts between hosts.
    static constexpr Duration SilentRetention = std::chrono::minutes(10);
    /// How long a host counts after its last sign while leaving: what it has used of a shared
    /// allowance counts until its window is over.
    static constexpr Duration LeftRetention = std::chrono::seconds(30);

    struct Entry
    {
        bool leaving = false;
        TimePoint seenAt {};
    };

    static bool counts(const Entry &entry, TimePoint now)
    {
        return now - entry.seenAt <= (entry.leaving ? LeftRetention : SilentRetention);
    }

    std::map<std::string, Entry, std::less<>> m_hosts;
};

} // namespace dogwoodvalve
