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

/// What a request's path knows of a backend server at this moment. It outlives configurations:
/// a new configuration that names the same server and address finds the same object. All members
/// may be called from several threads.
class BackendServer
{
public:
    BackendServer(std::string name, std::string address);

    const std::string &name() const { return m_name; }
    const std::string &address() const { return m_address; }

    /// Sequences that this process has on the server.
    int inFlight() const { return m_inFlight.load(std::memory_order_relaxed); }
    void addInFlight(int delta) { m_inFlight.fetch_add(delta, std::memory_order_relaxed); }

    /// Records the engine's own report: all sequences on it, whoever sent them.
    void recordLoadReport(int sequences, TimePoint at);

    /// The sequences on the server as well as can be known: the engine's report, corrected by
    /// what this process has added or removed since, and worth less as it ages.
    double estimatedLoad(TimePoint now) const;

    /// Adds an observed step to the running mean of step times.
    void recordStepTime(Duration duration, bool prefill, TimePoint now);
    /// Running mean of the time of one decode step; a default before the first observation.
    Duration stepTime() const;
    /// The time of a decode step without queueing: the least one seen lately.
    Duration unloadedStepTime() const;
    /// Records how long a token takes through all stages, without queueing, for a sequence that
    /// has this server in its chain.
    void recordCycleTime(Duration cycle);
    /// How many sequences keep the server's batches full. A sequence is at one server at a time,
    /// so it is the batch times the share of the cycle that is spent elsewhere.
    double residentCapacity(int batch, Duration linkRoundTrip) const;
    /// Whether the mean rests on no observation, or on an old one only.
    bool stepTimeUnknown(TimePoint now) const;
    /// Running mean of the time of one prefill.
    Duration prefillTime() const;

    /// Counts a failure and takes the server out of choice for a while that doubles with each
    /// failure in a row.
    void recordFailure(TimePoint now);
    void recordSuccess();
    /// Whether the server is out of choice because of failures.
    bool ejected(TimePoint now) const;
    /// After an ejection ends, claims the one probe that decides whether the server is back.
    /// Returns false while another request probes.
    bool claimProbe(TimePoint now);
    int consecutiveFailures() const { return m_failures.load(std::memory_order_relaxed); }

    /// Set from the host list: the server is about to go and takes no new work.
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

/// All backend servers that this process has met, by name and address.
class BackendServerRegistry
{
public:
    /// The object for a server, made when first asked for.
    std::shared_ptr<BackendServer> findOrCreate(const std::string &name,
                                                const std::string &address);

    /// Forgets the servers that nobody else holds any more.
    void removeUnused();

    /// Calls a function with each server.
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
