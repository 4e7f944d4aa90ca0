#pragma once

#include <algorithm>
#include <compare>
#include <map>
#include <string>

namespace dogwoodvalve {

/// The requests of one workspace at one rank to one service. Rank 0 is the most urgent.
struct DemandKey
{
    std::string service;
    int rank = 0;
    std::string workspace;

    auto operator<=>(const DemandKey &other) const = default;
};

/// What these requests ask for and hold, in tokens of context.
struct Demand
{
    /// Tokens of the requests that arrive in a second, admitted or not.
    double askedPerSecond = 0;
    /// Tokens of the requests that run.
    double held = 0;
    /// Tokens of the requests that are served to their end in a second, and the same times the
    /// seconds for which they were held.
    double servedPerSecond = 0;
    double servedTokenSeconds = 0;

    void add(const Demand &other)
    {
        askedPerSecond += other.askedPerSecond;
        held += other.held;
        servedPerSecond += other.servedPerSecond;
        servedTokenSeconds += other.servedTokenSeconds;
    }

    /// Subtracts what is part of this demand. The two may be of different times, so that the result
    /// is kept from being negative.
    void subtract(const Demand &part)
    {
        askedPerSecond = std::max(0.0, askedPerSecond - part.askedPerSecond);
        held = std::max(0.0, held - part.held);
        servedPerSecond = std::max(0.0, servedPerSecond - part.servedPerSecond);
        servedTokenSeconds = std::max(0.0, servedTokenSeconds - part.servedTokenSeconds);
    }
};

using DemandTotals = std::map<DemandKey, Demand>;

/// Adds each entry, creating those that are missing.
inline void addDemand(DemandTotals &totals, const DemandTotals &added)
{
    for (const auto &[key, demand] : added)
        totals[key].add(demand);
}

/// The demand that several hosts have reported.
struct DemandReport
{
    /// Number of hosts in the totals; hosts of earlier versions report nothing.
    int hosts = 0;
    DemandTotals totals;

    void add(const DemandReport &other)
    {
        hosts += other.hosts;
        addDemand(totals, other.totals);
    }
};

} // namespace dogwoodvalve
