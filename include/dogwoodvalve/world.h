#pragma once

#include <dogwoodvalve/timer_service.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// The live state of a backend server as seen by the request path: load, step times and failures.
/// It outlives configurations: a new configuration with the same server name and address uses the
/// same object. All members are thread-safe.
class BackendServer
{
public:
    BackendServer(std::string name, std::string address);

    const std::string &name() const { return m_name; }
    const std::string &address() const { return m_address; }

    /// Number of sequences that this process has on the server.
    int inFlight() const { return m_inFlight.load(std::memory_order_relaxed); }
    void addInFlight(int delta) { m_inFlight.fetch_add(delta, std::memory_order_relaxed); }

    /// Records the load that the engine reports: the number of sequences of all hosts.
    void recordLoadReport(int sequences, TimePoint at);

    /// Estimated number of sequences on the server: the engine's last report, corrected by what
    /// this process has added or removed since. The share of other hosts counts less as the report
    /// ages.
    double estimatedLoad(TimePoint now) const;

    /// Adds an observed step to the running mean of prefill or decode times.
    void recordStepTime(Duration duration, bool prefill, TimePoint now);
    /// Running mean of the time of one decode step; a default before the first observation.
    Duration stepTime() const;
    /// Estimated time of a decode step without queueing: the least one observed recently.
    Duration unloadedStepTime() const;
    /// Records how long a token takes through all stages, without queueing, in a sequence that uses
    /// this server.
    void recordCycleTime(Duration cycle);
    /// Number of sequences that keep the server's batches full. A sequence is at one server of its
    /// chain at a time, so this is the batch size times the cycle time divided by the engine's step
    /// time.
    double residentCapacity(int batch, Duration linkRoundTrip) const;
    /// Whether no decode step has been observed, or none recently.
    bool stepTimeUnknown(TimePoint now) const;
    /// Running mean of the time of one prefill.
    Duration prefillTime() const;

    /// Counts a failure and ejects the server from routing for a time that doubles with each
    /// consecutive failure.
    void recordFailure(TimePoint now);
    /// Resets the failure count and ends an ejection.
    void recordSuccess();
    /// Whether the server is out of routing because of failures, including while it is probed.
    bool ejected(TimePoint now) const;
    /// Claims the one request that probes the server after an ejection. Returns false while another
    /// request is the probe, and true if the server needs no probe.
    bool claimProbe(TimePoint now);
    int consecutiveFailures() const { return m_failures.load(std::memory_order_relaxed); }

    /// Whether the server is leaving according to the host list; it gets no new sequences then.
    bool leaving() const { return m_leaving.load(std::memory_order_relaxed); }
    void setLeaving(bool leaving) { m_leaving.store(leaving, std::memory_order_relaxed); }

private:
    void updateLeastStepTime(std::int64_t observed);

    const std::string m_name;
    const std::string m_address;
    std::atomic<int> m_inFlight {0};
    std::atomic<int> m_reportedLoad {0};
    std::atomic<int> m_inFlightAtReport {0};
    std::atomic<std::int64_t> m_reportedAt {0};
    std::atomic<std::int64_t> m_stepMicros {0};
    std::atomic<std::int64_t> m_stepObservedAt {0};
    std::atomic<std::int64_t> m_leastStepMicros {0};
    std::atomic<std::int64_t> m_cycleMicros {0};
    std::atomic<std::int64_t> m_prefillMicros {0};
    std::atomic<int> m_failures {0};
    std::atomic<std::int64_t> m_ejectedUntil {0};
    std::atomic<std::int64_t> m_probeUntil {0};
    std::atomic<bool> m_leaving {false};
};

/// The backend servers known to this process, by name and address. All members are thread-safe.
class BackendServerRegistry
{
public:
    /// Returns the object of a server, creating it on first use.
    std::shared_ptr<BackendServer> findOrCreate(const std::string &name,
                                                const std::string &address);

    /// Removes the servers that are referenced by the registry only.
    void removeUnused();

    /// Calls a function for each server. The function must not call the registry, which is locked.
    template <class Function>
    void forEach(Function function) const
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[key, server] : m_servers)
            function(*server);
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<BackendServer>, std::less<>> m_servers;
};

} // namespace dogwoodvalve
