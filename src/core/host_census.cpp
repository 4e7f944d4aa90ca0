#include <dogwoodvalve/host_census.h>

#include <algorithm>

namespace dogwoodvalve {

void HostCensus::recordSeen(std::string_view name, bool leaving, TimePoint seenAt)
{
    auto it = m_hosts.find(name);
    if (it == m_hosts.end())
        it = m_hosts.emplace(std::string(name), Entry {}).first;
    it->second = {leaving, std::max(it->second.seenAt, seenAt)};
}

int HostCensus::count(TimePoint now) const
{
    return static_cast<int>(std::count_if(m_hosts.begin(), m_hosts.end(), [now](const auto &entry) {
        return counts(entry.second, now);
    }));
}

void HostCensus::expire(TimePoint now)
{
    std::erase_if(m_hosts, [now](const auto &entry) { return !counts(entry.second, now); });
}

} // namespace dogwoodvalve
