#include "simulation/sim_entry.h"

namespace dogwoodvalve::simulation {

namespace {

constexpr Duration DrainPoll = 50ms;

} // namespace

SimEntry::SimEntry(SimNetwork &network, std::shared_ptr<SimProcess> process,
                   const EntrySettings &settings, std::uint64_t boot,
                   testtool::PlatformCore &platform, Random &random)
    : m_process(std::move(process))
    , m_services(network, m_process)
    , m_context(settings, boot, [timers = &m_process->timers()] { return timers->now(); })
    , m_platform(network, m_process, platform, random)
    , m_links(m_context.settings().peerSecrets, m_context.metrics())
    , m_control(m_context, m_process->timers(), m_platform, m_links,
                [this] { m_worker.updateEngineLinks(); })
    , m_worker(m_context, m_services, boot)
{
    m_links.setTransport(std::make_unique<SimWebsocketTransport>(network, m_process, m_links));
    m_links.setEvents(m_control);
    (void)m_links.listen(settings.peerListen);
    m_control.start();
    m_worker.start();
    serveHttp(network, settings.listen, m_process, m_worker.api());
}

void SimEntry::drain(const std::function<void()> &drained)
{
    m_context.draining = true;
    m_control.announceDraining();
    awaitEmpty(drained);
}

void SimEntry::awaitEmpty(const std::function<void()> &drained)
{
    if (m_context.openRequests.load() <= 0) {
        m_control.leave();
        return drained();
    }
    m_process->timers().schedule(m_process->timers().now() + DrainPoll,
                                 [this, drained] { awaitEmpty(drained); });
}

} // namespace dogwoodvalve::simulation
