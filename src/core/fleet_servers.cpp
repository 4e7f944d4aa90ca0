#include <dogwoodvalve/fleet_servers.h>

namespace dogwoodvalve {

bool ServerRegistry::put(const ServerRegistration &registration)
{
    const auto it = m_servers.find(registration.id);
    if (it == m_servers.end()) {
        m_servers.emplace(registration.id, registration);
        return true;
    }
    ServerRegistration &known = it->second;
    const bool changed = known.draining != registration.draining
        || known.startedAtMs != registration.startedAtMs || known.layers != registration.layers
        || known.address != registration.address || known.service != registration.service;
    known = registration;
    return changed;
}

bool ServerRegistry::remove(std::string_view id)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return false;
    m_servers.erase(it);
    return true;
}

const ServerRegistration *ServerRegistry::find(std::string_view id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

std::vector<const ServerRegistration *> ServerRegistry::available(std::string_view service) const
{
    std::vector<const ServerRegistration *> found;
    for (const auto &[id, server] : m_servers) {
        if (server.service == service && !server.draining)
            found.push_back(&server);
    }
    return found;
}

} // namespace dogwoodvalve
