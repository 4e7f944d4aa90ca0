#pragma once

#include "daemon/metrics.h"
#include "daemon/rcu_pointer.h"
#include "daemon/settings.h"

#include <dogwoodvalve/configuration.h>
#include <dogwoodvalve/key_ledger.h>
#include <dogwoodvalve/limits.h>
#include <dogwoodvalve/peer_messages.h>
#include <dogwoodvalve/pipeline_capacity.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace dogwoodvalve {

using ConfigurationPointer = std::shared_ptr<const Configuration>;

/// What the threads of one entry process share. The configuration and the members are read by
/// read-copy-update, flags are atomics, and the parts that decide once a request stand behind a
/// mutex each.
class EntryContext
{
public:
    using Clock = std::function<TimePoint()>;

    /// The clock may be asked by any thread.
    EntryContext(EntrySettings settings, std::uint64_t boot, Clock clock);

    const EntrySettings &settings() const { return m_settings; }
    BackendServerRegistry &servers() { return m_servers; }
    Metrics &metrics() { return m_metrics; }
    TimePoint now() const { return m_clock(); }

    ConfigurationPointer configuration() const;
    void publishConfiguration(ConfigurationPointer configuration);

    /// All members that this host remembers.
    std::vector<Member> members() const;
    void publishMembers(std::vector<Member> members);

    /// How many hosts share a workspace's limits, and whether this one does.
    struct WorkspaceHomes
    {
        std::size_t count = 1;
        bool isHome = true;
        /// The best home, for a host that is none.
        Member preferred;
    };
    WorkspaceHomes workspaceHomes(std::string_view workspace) const;

    /// Calls a function with the admission controller, one thread at a time.
    template <class Function>
    auto withAdmission(Function function)
    {
        const std::lock_guard lock(m_admissionMutex);
        return function(m_admission);
    }

    template <class Function>
    auto withKeyLedger(Function function)
    {
        const std::lock_guard lock(m_keysMutex);
        return function(*m_keys);
    }

    /// Starts a new ledger under another boot number; older keys are then unknown.
    void resetKeyLedger(std::uint64_t boot);

    /// Retry budgets, one a pool.
    void recordRequest(const std::string &pool, int retryPercent);
    bool tryAcquireRetry(const std::string &pool);

    std::uint64_t boot() const { return m_boot.load(std::memory_order_relaxed); }
    std::uint64_t nextSequence() { return m_nextSequence.fetch_add(1, std::memory_order_relaxed); }

    std::atomic<bool> draining {false};
    std::atomic<bool> ready {false};
    std::atomic<bool> isolated {false};
    std::atomic<int> openRequests {0};
    /// Entry hosts believed alive, this one included.
    std::atomic<std::size_t> liveHosts {1};

private:
    const EntrySettings m_settings;
    const Clock m_clock;
    BackendServerRegistry m_servers;
    Metrics m_metrics;
    RcuPointer<ConfigurationPointer> m_configuration;
    RcuPointer<std::vector<Member>> m_members;
    PipelineCapacity m_capacity;
    std::mutex m_admissionMutex;
    AdmissionController m_admission;
    std::mutex m_keysMutex;
    std::unique_ptr<KeyLedger> m_keys;
    std::mutex m_retryMutex;
    std::map<std::string, RetryBudget> m_retryBudgets;
    std::atomic<std::uint64_t> m_boot;
    std::atomic<std::uint64_t> m_nextSequence {1};
};

} // namespace dogwoodvalve
