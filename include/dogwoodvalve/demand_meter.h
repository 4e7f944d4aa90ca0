#pragma once

#include <dogwoodvalve/demand.h>
#include <dogwoodvalve/timer_service.h>

namespace dogwoodvalve {

/// Measures the demand that arrives at one host.
class DemandMeter
{
public:
    /// A request of this many tokens has arrived.
    void recordAsked(const DemandKey &key, double tokens, TimePoint now);
    /// A request has begun to hold context memory, or has released it.
    void recordStarted(const DemandKey &key, double tokens);
    void recordEnded(const DemandKey &key, double tokens);
    /// A request has been served since the given time. Only such requests tell for how long others
    /// will hold their context.
    void recordServed(const DemandKey &key, double tokens, TimePoint startedAt, TimePoint now);

    /// The demand now, without entries that are close to nothing. Workspaces beyond the
    /// MaxEntries largest ones are added up for each rank under an empty name, which bounds the
    /// size of digests.
    DemandTotals demand(TimePoint now);

    static constexpr std::size_t MaxEntries = 64;

private:
    struct Entry
    {
        Demand demand;
        /// Time as of which the rates are.
        TimePoint updatedAt {};
    };

    Entry &entryAsOf(const DemandKey &key, TimePoint now);

    std::map<DemandKey, Entry> m_entries;
};

} // namespace dogwoodvalve
