#include "gateway/fleet/restored_registrations.h"

#include <algorithm>
#include <utility>

namespace dogwoodvalve {

namespace {

/// Servers register again within 2 s after the store's return; the rest is for reading it.
constexpr Duration ReregistrationTime = 3500ms;
/// Removals are kept for longer than copies are old.
constexpr Duration RemovalRetention = 60s;

} // namespace

void RestoredRegistrations::noticeEra(std::uint64_t era, bool serversKnown, TimePoint now)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_copyEnd.reset();
    m_reconciles = serversKnown;
    m_reconciledAt = now + ReregistrationTime;
}

bool RestoredRegistrations::noticeEnd(LogPosition end)
{
    if (m_copyEnd || end.era != m_era)
        return false;
    m_copyEnd = end;
    return true;
}

bool RestoredRegistrations::isFromCopy(LogPosition end) const
{
    return m_reconciles && end.era == m_era && (!m_copyEnd || end <= *m_copyEnd);
}

std::optional<ServerRegistration>
RestoredRegistrations::merge(const ServerRegistration *known,
                             const ServerRegistration &copied) const
{
    if (known && known->startedAtMs == copied.startedAtMs) {
        ServerRegistration merged = *known;
        merged.draining = known->draining || copied.draining;
        return merged;
    }
    const auto removal = m_removals.find(copied.id);
    if ((known && known->startedAtMs > copied.startedAtMs)
        || (!known && removal != m_removals.end()
            && removal->second.startedAtMs >= copied.startedAtMs))
        return std::nullopt;
    return copied;
}

void RestoredRegistrations::recordRemoval(const ServerRegistration &server, TimePoint now)
{
    std::erase_if(m_removals,
                  [now](const auto &it) { return now - it.second.at > RemovalRetention; });
    m_removals[server.id] = {server.startedAtMs, now};
    m_awaited.erase(server.id);
}

std::vector<std::string> RestoredRegistrations::takeOverdue(TimePoint now)
{
    if (isReconciling(now))
        return {};
    const std::set<std::string> overdue = std::exchange(m_awaited, {});
    return {overdue.begin(), overdue.end()};
}

} // namespace dogwoodvalve
