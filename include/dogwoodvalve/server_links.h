#pragma once

#include <dogwoodvalve/timer_service.h>

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// What the connections of this host show about its own links to servers. A server that accepts the
/// connection of another host, and not that of this one, is bypassed: the link is at fault, not the
/// server. A host that bypasses several servers without having reached any in between is cut off.
class ServerLinks
{
public:
    /// This host has connected to a server itself.
    void recordConnected(std::string_view server, TimePoint now);
    /// This host could not connect to a server.
    void recordFailed(std::string_view server);
    /// Nor could another host that connects to other servers.
    void recordUnreachable(std::string_view server);
    /// Another host has connected to a server to which this one could not connect, or did not try
    /// to.
    void recordBypassed(std::string_view server, TimePoint now);

    /// Whether connections to all servers should be made by way of other hosts.
    bool cutOff() const { return m_cutOff; }
    /// Whether this host should connect to the server itself, rather than by way of another host.
    bool connectsDirectly(std::string_view server, TimePoint now) const;
    /// Whether the links may be lost: connections to several servers have failed without one that
    /// was made in between, and no other host has confirmed that these servers fail.
    bool doubtful() const { return m_cutOff || m_failed.size() >= MinFailedServers; }
    /// When this host last connected to a server itself.
    TimePoint connectedAt() const { return m_connectedAt; }

private:
    /// Bypassed servers, without a connection in between, that show that the host is cut off.
    static constexpr std::size_t MinBypassedServers = 2;
    static constexpr std::size_t MinFailedServers = 2;
    /// Connections in a row that show that the host is not cut off any more.
    static constexpr int MinConnections = 2;
    /// A bypassed server is not connected to directly for this long.
    static constexpr Duration BypassTime = std::chrono::seconds(2);

    bool m_cutOff = false;
    /// Servers to which connections have failed since the last one that was made.
    std::set<std::string, std::less<>> m_failed;
    /// Servers that were bypassed since the last connection.
    std::set<std::string, std::less<>> m_bypassed;
    std::map<std::string, TimePoint, std::less<>> m_bypassUntil;
    /// Connections since the last failure.
    int m_connections = 0;
    TimePoint m_connectedAt {};
};

} // namespace dogwoodvalve
