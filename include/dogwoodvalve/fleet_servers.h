#pragma once

#include <dogwoodvalve/layer_span.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// What a backend server says of itself in its registration.
struct ServerRegistration
{
    std::string id;
    std::string service;
    /// IP:PORT.
    std::string address;
    std::string zone;
    /// Kind of accelerator; empty for plain services.
    std::string kind;
    int slots = 1;
    bool draining = false;
    /// Unix milliseconds of the server's start. A later one under the same id is a new life.
    std::int64_t startedAtMs = 0;
    /// Layers that the server holds and serves.
    LayerSpan layers;
    /// Orders that the server has begun in this life.
    std::uint64_t ordersBegun = 0;
};

/// The registrations in force, by id. Updates come in the order in which they were recorded.
class ServerRegistry
{
public:
    /// Replaces a registration. Returns whether anything that routing depends on has changed.
    bool put(const ServerRegistration &registration);
    /// The server has left or its registration has expired.
    bool remove(std::string_view id);
    void clear() { m_servers.clear(); }

    const ServerRegistration *find(std::string_view id) const;
    const std::map<std::string, ServerRegistration, std::less<>> &servers() const
    {
        return m_servers;
    }
    /// Servers of a service that may be given new work, in order of id.
    std::vector<const ServerRegistration *> available(std::string_view service) const;

private:
    std::map<std::string, ServerRegistration, std::less<>> m_servers;
};

} // namespace dogwoodvalve
