#pragma once

#include <dogwoodvalve/crash_report.h>
#include <dogwoodvalve/demand.h>
#include <dogwoodvalve/log_position.h>
#include <dogwoodvalve/rate_limit_report.h>
#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// The state that an entry host sends to other hosts several times a second: to all of them in a
/// small fleet, to the relays of its zone in a large one. Each digest is complete and replaces the
/// previous one, so a lost datagram needs no retransmission.
struct HostDigest
{
    /// Ages are capped at this, which exceeds every bound that they are compared with. A state with
    /// this age is not known at all.
    static constexpr Duration MaxAge = std::chrono::hours(1);

    std::string name;
    std::string zone;
    /// IP:PORT on which the host accepts callers, and other hosts.
    std::string callerAddress;
    std::string peerAddress;
    /// Bandwidth of the host's link; 0 if its settings do not state it.
    double linkMbps = 0;
    /// Start of the host process, Unix time in ms. Digests of an earlier start are outdated.
    std::int64_t startedAtMs = 0;
    /// Time since the start. Zero from hosts of earlier versions.
    Duration uptime {};
    /// Increases with each digest since the start.
    std::uint64_t sequence = 0;
    bool ready = false;
    bool leaving = false;
    /// The host has lost its links to the servers, and other hosts forward its requests.
    bool cutOff = false;
    std::uint64_t configurationVersion = 0;
    /// How long ago the configuration was last confirmed to be the newest.
    Duration configurationAge {};
    /// End of the part of the log up to which the host has read the registrations, and how long ago
    /// it did.
    LogPosition registrationsEnd;
    Duration registrationsAge {};
    /// KV cache that this host has reserved on servers, in tokens x layers, by server id.
    std::map<std::string, double> commitments;
    /// Time that servers need for the prefill of prompts that this host has sent them and that are
    /// still unprocessed, in ms, by server id.
    std::map<std::string, double> backlogMs;
    /// Requests in flight at the servers that this host has sent them to, by server id.
    std::map<std::string, int> inFlight;
    /// Ids of servers that did not answer a recent probe by this host.
    std::vector<std::string> failedProbes;
    /// Engines that recent probes by this host found slow: factor on their normal times, by server
    /// id.
    std::map<std::string, double> slowness;
    /// Start, Unix time in ms, of registered servers that have announced that they are leaving, by
    /// server id.
    std::map<std::string, std::int64_t> leavingServers;
    /// Crashes of servers that the host knows of, its own findings and those of others.
    CrashReports crashes;
    /// Request rates that servers accept, as far as the host knows of limits.
    RateLimitReports rateLimits;
    /// What this host's callers ask of layered services. Absent from hosts of earlier versions.
    std::optional<DemandTotals> demand;
};

} // namespace dogwoodvalve
