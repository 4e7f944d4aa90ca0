#include "daemon/entry_context.h"

#include <dogwoodvalve/membership.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

std::unique_ptr<QueueDiscipline> makeQueueDiscipline(std::string_view name)
{
    return name == "priority" ? makePriorityQueue() : makeWeightedFairQueue();
}

} // namespace

EntryContext::EntryContext(EntrySettings settings, std::uint64_t boot, Clock clock)
    : m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_clients(
          std::make_shared<ClientAccount>(clientLimits(effectiveMachineSize(m_settings.machine))))
    , m_configuration(
          std::make_unique<ConfigurationPointer>(std::make_shared<const Configuration>()))
    , m_members(std::make_unique<std::vector<Member>>())
    , m_capacity(
          m_settings.zone, [this] { return configuration(); }, m_clock,
          [this] { return liveHosts.load(std::memory_order_relaxed); })
    , m_admission(m_capacity, makeQueueDiscipline(m_settings.queue))
    , m_keys(std::make_unique<KeyLedger>(m_settings.name, boot, m_clock(), m_settings.keys))
    , m_boot(boot)
{ }

ConfigurationPointer EntryContext::configuration() const
{
    const RcuPointer<ConfigurationPointer>::Reader reader(m_configuration);
    return *reader;
}

void EntryContext::publishConfiguration(ConfigurationPointer configuration)
{
    m_metrics.setConfigurationOffset(configuration->nextOffset());
    m_configuration.publish(std::make_unique<ConfigurationPointer>(std::move(configuration)));
}

std::vector<Member> EntryContext::members() const
{
    const RcuPointer<std::vector<Member>>::Reader reader(m_members);
    return *reader;
}

void EntryContext::publishMembers(std::vector<Member> members)
{
    m_members.publish(std::make_unique<std::vector<Member>>(std::move(members)));
}

EntryContext::WorkspaceHomes EntryContext::workspaceHomes(std::string_view workspace) const
{
    const std::vector<Member> ranked = rankEntryHosts(members(), workspace);
    WorkspaceHomes homes;
    homes.count = std::min<std::size_t>(std::max<std::size_t>(ranked.size(), 1),
                                        static_cast<std::size_t>(m_settings.homesPerWorkspace));
    if (ranked.empty())
        return homes;
    homes.preferred = ranked.front();
    homes.isHome =
        std::any_of(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(homes.count),
                    [this](const Member &it) { return it.name == m_settings.name; });
    return homes;
}

void EntryContext::resetKeyLedger(std::uint64_t boot)
{
    const std::lock_guard lock(m_keysMutex);
    m_boot.store(boot, std::memory_order_relaxed);
    m_keys = std::make_unique<KeyLedger>(m_settings.name, boot, m_clock(), m_settings.keys);
}

void EntryContext::recordRequest(const std::string &pool, int retryPercent)
{
    const std::lock_guard lock(m_retryMutex);
    m_retryBudgets[pool].recordRequest(retryPercent);
}

bool EntryContext::tryAcquireRetry(const std::string &pool)
{
    const std::lock_guard lock(m_retryMutex);
    return m_retryBudgets[pool].trySpend();
}

} // namespace dogwoodvalve
