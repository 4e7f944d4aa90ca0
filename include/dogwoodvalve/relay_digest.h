#pragma once

#include <dogwoodvalve/host_digest.h>

#include <map>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// The load that several hosts have placed on one server.
struct LoadTotals
{
    /// KV cache reserved, in tokens x layers.
    double committed = 0;
    /// Prefill time of prompts that are not processed yet, in ms.
    double backlogMs = 0;
    /// Requests in flight at the server that hosts have sent them to.
    int inFlight = 0;

    void add(const LoadTotals &other)
    {
        committed += other.committed;
        backlogMs += other.backlogMs;
        inFlight += other.inFlight;
    }
};

/// Another host's state as a relay knows it, without the host's load and reports.
struct RelayedHost
{
    HostDigest state;
    /// Time since the relay, or the one before it, received the state from the host.
    Duration age {};
};

/// A factor on an engine's usual times, as some host has measured it.
struct RelayedSlowness
{
    double factor = 1;
    Duration age {};
};

/// What a relay sends instead of the digests of all the hosts that it hears: their load summed per
/// server, and what they report about servers. To the hosts of its own zone it sends the load of
/// the whole fleet, to the relays of other zones the load of its own zone.
struct RelayDigest
{
    /// The relay's own state, without its load, which is part of the totals.
    HostDigest relay;
    /// Number of hosts whose load the totals contain; 0 if they contain none.
    int hosts = 0;
    std::map<std::string, LoadTotals> totals;
    std::map<std::string, RelayedSlowness> slowness;
    /// Time since each host reported a failed probe, by server and host.
    std::map<std::string, std::map<std::string, Duration>> failedProbes;
    /// Starts of servers that have announced that they are leaving, by server id.
    std::map<std::string, std::int64_t> leavingServers;
    /// Crashes of servers that the relay knows of.
    CrashReports crashes;
    /// What callers of the hosts in the totals ask of layered services.
    DemandReport demand;
    /// Request rates that servers accept, as far as the relay knows of limits.
    RateLimitReports rateLimits;
    /// Hosts that the relay knows. Sent less often than the loads, as hosts change rarely.
    std::vector<RelayedHost> roster;
};

} // namespace dogwoodvalve
