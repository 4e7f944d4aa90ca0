#include "core/duration_math.h"

#include <dogwoodvalve/demand_meter.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

namespace dogwoodvalve {

namespace {

/// The weight of past requests in a rate halves in this time. Shorter than a burst, so that one is
/// noticed early, and longer than the pauses between digests.
constexpr Duration RateHalfLife = 1s;
/// Entries below this are not worth reporting, in tokens and in tokens per second.
constexpr double Negligible = 1;

/// What a token adds to a rate, so that the rate's integral is 1.
double rateOf(double tokens)
{
    return tokens * std::log(2) / inSeconds(RateHalfLife);
}

double sizeOf(const Demand &demand)
{
    return demand.held + demand.askedPerSecond;
}

DemandTotals largestOf(DemandTotals totals)
{
    if (totals.size() <= DemandMeter::MaxEntries)
        return totals;
    std::vector<double> sizes;
    for (const auto &[key, demand] : totals)
        sizes.push_back(sizeOf(demand));
    const auto smallest = sizes.begin() + DemandMeter::MaxEntries;
    std::nth_element(sizes.begin(), smallest, sizes.end(), std::greater<>());
    DemandTotals largest;
    for (const auto &[key, demand] : totals) {
        const bool isLarge = sizeOf(demand) > *smallest;
        largest[isLarge ? key : DemandKey {key.service, key.rank, {}}].add(demand);
    }
    return largest;
}

} // namespace

DemandMeter::Entry &DemandMeter::entryAsOf(const DemandKey &key, TimePoint now)
{
    Entry &entry = m_entries[key];
    const double factor = std::exp2(-inSeconds(now - entry.updatedAt) / inSeconds(RateHalfLife));
    entry.demand.askedPerSecond *= factor;
    entry.demand.servedPerSecond *= factor;
    entry.demand.servedTokenSeconds *= factor;
    entry.updatedAt = now;
    return entry;
}

void DemandMeter::recordAsked(const DemandKey &key, double tokens, TimePoint now)
{
    entryAsOf(key, now).demand.askedPerSecond += rateOf(tokens);
}

void DemandMeter::recordStarted(const DemandKey &key, double tokens)
{
    m_entries[key].demand.held += tokens;
}

void DemandMeter::recordEnded(const DemandKey &key, double tokens)
{
    m_entries[key].demand.held -= tokens;
}

void DemandMeter::recordServed(const DemandKey &key, double tokens, TimePoint startedAt,
                               TimePoint now)
{
    Entry &entry = entryAsOf(key, now);
    entry.demand.servedPerSecond += rateOf(tokens);
    entry.demand.servedTokenSeconds += rateOf(tokens) * inSeconds(now - startedAt);
}

DemandTotals DemandMeter::demand(TimePoint now)
{
    DemandTotals totals;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const Demand &demand = entryAsOf(it->first, now).demand;
        if (demand.askedPerSecond < Negligible && demand.servedPerSecond < Negligible
            && demand.held < Negligible) {
            it = m_entries.erase(it);
            continue;
        }
        totals.emplace(it->first, demand);
        ++it;
    }
    return largestOf(std::move(totals));
}

} // namespace dogwoodvalve
