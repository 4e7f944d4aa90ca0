#pragma once

#include "platform_core.h"
#include "simulation/sim_network.h"

namespace dogwoodvalve::simulation {

/// One process's way to the shared platform: answers come late, get lost after they took effect,
/// or do not come at all.
class SimPlatform : public Platform
{
public:
    SimPlatform(SimNetwork &network, std::shared_ptr<SimProcess> process,
                testtool::PlatformCore &core, Random &random)
        : m_network(network)
        , m_process(std::move(process))
        , m_core(core)
        , m_random(random)
    { }

    void append(std::string_view stream, std::string record,
                std::function<void(Result<LogOffset>)> done) override;
    void read(std::string_view stream, LogOffset from, std::size_t maxRecords,
              std::function<void(Result<LogPage>)> done) override;
    void listHosts(std::function<void(Result<std::vector<HostStatus>>)> done) override;

private:
    template <class Value>
    void exchange(std::function<Result<Value>()> effect, bool mayLose,
                  std::function<void(Result<Value>)> done);

    SimNetwork &m_network;
    std::shared_ptr<SimProcess> m_process;
    testtool::PlatformCore &m_core;
    Random &m_random;
};

/// The name that the platform has in the network.
constexpr const char *PlatformNode = "platform";

} // namespace dogwoodvalve::simulation
