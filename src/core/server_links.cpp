#include <dogwoodvalve/server_links.h>

namespace dogwoodvalve {

void ServerLinks::recordConnected(std::string_view server, TimePoint now)
{
    m_connectedAt = now;
    ++m_connections;
    if (const auto it = m_bypassUntil.find(server); it != m_bypassUntil.end())
        m_bypassUntil.erase(it);
    if (m_cutOff && m_connections < MinConnections)
        return;
    if (m_cutOff)
        m_bypassUntil.clear();
    m_cutOff = false;
    m_bypassed.clear();
    m_failed.clear();
}

void ServerLinks::recordFailed(std::string_view server)
{
    m_connections = 0;
    m_failed.emplace(server);
}

void ServerLinks::recordUnreachable(std::string_view server)
{
    if (const auto it = m_failed.find(server); it != m_failed.end())
        m_failed.erase(it);
}

void ServerLinks::recordBypassed(std::string_view server, TimePoint now)
{
    std::erase_if(m_bypassUntil, [now](const auto &entry) { return entry.second <= now; });
    // Requests that bypass the server meanwhile do not delay the next direct connection.
    m_bypassUntil.try_emplace(std::string(server), now + BypassTime);
    if (m_cutOff)
        return;
    m_bypassed.emplace(server);
    m_cutOff = m_bypassed.size() >= MinBypassedServers;
    if (m_cutOff)
        m_connections = 0;
}

bool ServerLinks::connectsDirectly(std::string_view server, TimePoint now) const
{
    const auto it = m_bypassUntil.find(server);
    return !m_cutOff && (it == m_bypassUntil.end() || it->second <= now);
}

} // namespace dogwoodvalve
