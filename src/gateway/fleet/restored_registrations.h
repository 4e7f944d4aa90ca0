#pragma once

#include <dogwoodvalve/fleet_servers.h>
#include <dogwoodvalve/log_position.h>
#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// What registrations mean that come from a store which lost its latest records and came back from
/// a copy. Records of the copy are older than what this host knew before; servers that it lacks may
/// only have to register again, and servers that it contains may have left since.
class RestoredRegistrations
{
public:
    /// A record or an end of the log of this era was seen. A higher one than before begins a time
    /// in which servers register again.
    void noticeEra(std::uint64_t era, bool serversKnown, TimePoint now);
    /// All records before this position have been read. Returns whether it is the first such
    /// position in the era.
    bool noticeEnd(LogPosition end);
    /// Whether a record that ends here was in the copy, or was written before this host first read
    /// the log again.
    bool isFromCopy(LogPosition end) const;
    /// Whether servers may still be missing because they have not registered again yet.
    bool isReconciling(TimePoint now) const { return m_reconciles && now < m_reconciledAt; }

    /// The registration to use after one of the copy: the known one of the same life, unless only
    /// the copy says that the server drains; nothing if the copied life has ended.
    std::optional<ServerRegistration> merge(const ServerRegistration *known,
                                            const ServerRegistration &copied) const;

    /// A server was removed, by a record or since it did not register again.
    void recordRemoval(const ServerRegistration &server, TimePoint now);
    /// A known server is not in the log, and has until the end of this time to register again.
    void await(const std::string &id) { m_awaited.insert(id); }
    void recordRegistration(const std::string &id) { m_awaited.erase(id); }
    /// Returns the servers that have not registered again in time, once.
    std::vector<std::string> takeOverdue(TimePoint now);
    std::size_t awaited() const { return m_awaited.size(); }

private:
    struct Removal
    {
        std::int64_t startedAtMs = 0;
        TimePoint at {};
    };

    std::uint64_t m_era = 0;
    /// Whether the era has risen since this host first knew the servers.
    bool m_reconciles = false;
    TimePoint m_reconciledAt {};
    /// End of the log when it was first read in this era.
    std::optional<LogPosition> m_copyEnd;
    std::set<std::string> m_awaited;
    std::map<std::string, Removal, std::less<>> m_removals;
};

} // namespace dogwoodvalve
