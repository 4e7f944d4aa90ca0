#pragma once

#include <dogwoodvalve/layer_span.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// A backend server's registration, as the server wrote it.
struct ServerRegistration
{
    std::string id;
    std::string service;
    /// IP:PORT.
    std::string address;
    std::string zone;
    /// Kind of accelerator; empty for plain services.
    std::string kind;
    /// Requests that the server can run at the same time.
    int slots = 1;
    bool draining = false;
    /// Start of the server process, Unix time in ms. A later start under the same id is a restart.
    std::int64_t startedAtMs = 0;
    /// Layers that the server has loaded and serves.
    LayerSpan layers;
    /// Orders to load layers that the server has begun to carry out since its start.
    std::uint64_t ordersBegun = 0;
};

/// The current registrations by server id. Updates must be applied in the order of the log.
class ServerRegistry
{
public:
    /// Adds or replaces a registration. Returns whether anything that routing depends on has
    /// changed.
    bool put(const ServerRegistration &registration);
    /// Removes a server that has left or whose registration has expired. Returns whether it was
    /// known.
    bool remove(std::string_view id);
    void clear() { m_servers.clear(); }

    /// Returns nullptr if there is no registration with this id.
    const ServerRegistration *find(std::string_view id) const;
    const std::map<std::string, ServerRegistration, std::less<>> &servers() const
    {
        return m_servers;
    }
    /// Servers of a service that are not draining, ordered by id.
    std::vector<const ServerRegistration *> available(std::string_view service) const;

private:
    std::map<std::string, ServerRegistration, std::less<>> m_servers;
};

} // namespace dogwoodvalve
