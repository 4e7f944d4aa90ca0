#pragma once

#include "simulation/gateway_world.h"

#include <string>
#include <vector>

namespace dogwoodvalve::simulation {

/// How a host's links to the servers fail.
enum class LinkLoss {
    /// Everything is silent.
    Hang,
    /// Open connections break, new ones are refused.
    Reset,
    /// Open connections live on, new ones are refused.
    Refuse,
};

/// The processes of all servers of a world with two plain servers.
inline std::vector<std::string> serverProcesses(const GatewayWorld &world)
{
    std::vector<std::string> names {"plain", "plain-2"};
    for (std::size_t i = 0; i < world.engines.size(); ++i)
        names.push_back("engine-" + std::to_string(i + 1));
    return names;
}

/// Cuts a host off from all servers.
inline void loseServerLinks(GatewayWorld &world, int host, LinkLoss loss)
{
    const std::string name = "host-" + std::to_string(host + 1);
    for (const std::string &server : serverProcesses(world)) {
        if (loss == LinkLoss::Hang) {
            world.network().cut(name, server);
            world.network().cut(server, name);
            continue;
        }
        if (loss == LinkLoss::Reset)
            world.network().reset(name, server);
        world.network().refuse(name, server);
    }
}

inline void restoreServerLinks(GatewayWorld &world, int host)
{
    const std::string name = "host-" + std::to_string(host + 1);
    for (const std::string &server : serverProcesses(world)) {
        world.network().heal(name, server);
        world.network().heal(server, name);
        world.network().endRefusal(name, server);
    }
}

} // namespace dogwoodvalve::simulation
