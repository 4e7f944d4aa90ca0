#pragma once

#include "daemon/control_plane.h"
#include "daemon/entry_worker.h"
#include "simulation/sim_http.h"
#include "simulation/sim_peers.h"
#include "simulation/sim_platform.h"

#include <memory>

namespace dogwoodvalve::simulation {

/// One entry host of a run: the classes of the daemon over pretended sockets, time and platform.
class SimEntry
{
public:
    SimEntry(SimNetwork &network, std::shared_ptr<SimProcess> process,
             const EntrySettings &settings, std::uint64_t boot, testtool::PlatformCore &platform,
             Random &random);

    SimProcess &process() { return *m_process; }
    const std::shared_ptr<SimProcess> &processPointer() const { return m_process; }
    EntryContext &context() { return m_context; }
    ControlPlane &control() { return m_control; }
    EntryWorker &worker() { return m_worker; }

    /// As SIGTERM does: takes nothing new; calls back when nothing is left.
    void drain(const std::function<void()> &drained);

private:
    void awaitEmpty(const std::function<void()> &drained);

    std::shared_ptr<SimProcess> m_process;
    SimLoopServices m_services;
    EntryContext m_context;
    SimPlatform m_platform;
    PeerLinks m_links;
    ControlPlane m_control;
    EntryWorker m_worker;
};

} // namespace dogwoodvalve::simulation
