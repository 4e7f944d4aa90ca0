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

/// State shared by the threads of one entry process. The configuration and the members are read by
/// read-copy-update, and flags are atomics. Admission, the key ledger and the retry budgets, which
/// are needed only a few times per request, have a mutex each.
class EntryContext
{
public:
    using Clock = std::function<TimePoint()>;

    /// The clock is called on any thread.
    EntryContext(EntrySettings settings, std::uint64_t boot, Clock clock);

    const EntrySettings &settings() const { return m_settings; }
    BackendServerRegistry &servers() { return m_servers; }
    Metrics &metrics() { return m_metrics; }
    /// What the threads hold for clients.
    const std::shared_ptr<ClientAccount> &clients() const { return m_clients; }
    TimePoint now() const { return m_clock(); }

    ConfigurationPointer configuration() const;
    void publishConfiguration(ConfigurationPointer configuration);

    /// All members that this host knows of, dead ones included.
    std::vector<Member> members() const;
    void publishMembers(std::vector<Member> members);

    /// The home hosts of a workspace, which share its limits among them.
    struct WorkspaceHomes
    {
        std::size_t count = 1;
        /// Whether this host is one of them.
        bool isHome = true;
        /// The home host that ranks first; a host that isn't a home forwards requests to it.
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

    /// Calls a function with the key ledger, one thread at a time.
    template <class Function>
    auto withKeyLedger(Function function)
    {
        const std::lock_guard lock(m_keysMutex);
        return function(*m_keys);
    }

    /// Replaces the key ledger with an empty one under another boot number. Requests with keys
    /// issued before can then no longer run here.
    void resetKeyLedger(std::uint64_t boot);

    /// Counts a request towards the retry budget of its pool.
    void recordRequest(const std::string &pool, int retryPercent);
    /// Spends one retry of the pool's budget. Returns false if none is left.
    bool tryAcquireRetry(const std::string &pool);

    std::uint64_t boot() const { return m_boot.load(std::memory_order_relaxed); }
    std::uint64_t nextSequence() { return m_nextSequence.fetch_add(1, std::memory_order_relaxed); }

    std::atomic<bool> draining {false};
    std::atomic<bool> ready {false};
    std::atomic<bool> isolated {false};
    std::atomic<int> openRequests {0};
    /// Entry hosts considered alive, this one included.
    std::atomic<std::size_t> liveHosts {1};

private:
    const EntrySettings m_settings;
    const Clock m_clock;
    BackendServerRegistry m_servers;
    Metrics m_metrics;
    const std::shared_ptr<ClientAccount> m_clients;
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
