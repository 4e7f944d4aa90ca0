#include "gateway/fleet/engine_prober.h"

#include "core/mutation.h"
#include "gateway/gateway_node.h"
#include "net/endpoint.h"
#include "net/listening_check.h"

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Probes are priced. All hosts learn of a slow engine within this time and one digest interval.
constexpr Duration ProbeInterval = 1s;
/// Many streams stall at once when a server dies; one probe is enough for all of them.
constexpr Duration MinProbeInterval = 300ms;
constexpr Duration ListeningTimeout = 150ms;

} // namespace

EngineProber::EngineProber(GatewayNode &node)
    : m_node(node)
{ }

EngineProber::~EngineProber() = default;

void EngineProber::start()
{
    probePeriodically();
}

bool EngineProber::isEngine(const ServerRegistration &server) const
{
    const ServiceRule *service = m_node.view().serviceOf(server);
    return service && service->isLayered();
}

void EngineProber::probePeriodically()
{
    const FleetView &view = m_node.view();
    const TimePoint now = m_node.now();
    const TaskPartition partition = view.hosts().taskPartition(m_node.settings().name, now);
    if (!view.starting() && !view.leaving() && !mutated("gateway-no-survey")) {
        for (const auto &[id, server] : view.registry().servers()) {
            const bool serves = isEngine(server) && !view.layersOf(server).empty();
            if (serves && partition.owns(id))
                probe(server, aMomentAgo());
        }
    }
    std::erase_if(m_probedAt,
                  [now](const auto &entry) { return now - entry.second > ProbeInterval; });
    m_node.timers().schedule(now + ProbeInterval, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            probePeriodically();
    });
}

TimePoint EngineProber::aMomentAgo() const
{
    return m_node.now() - MinProbeInterval;
}

void EngineProber::probeNow(const std::string &server)
{
    probeUnlessProbedSince(server, aMomentAgo());
}

void EngineProber::probeUnlessProbedSince(const std::string &server, TimePoint since)
{
    if (const ServerRegistration *known = m_node.view().registry().find(server))
        probe(*known, since);
}

void EngineProber::probe(const ServerRegistration &server, TimePoint since)
{
    const TimePoint now = m_node.now();
    if (!m_node.view().health().acceptsCalls(server.id, server.startedAtMs, now))
        return;
    const auto probed = m_probedAt.find(server.id);
    if (probed != m_probedAt.end() && probed->second >= since)
        return;
    m_probedAt[server.id] = now;
    m_node.view().recordRequest(server.id, server.startedAtMs);
    if (isEngine(server))
        readReport(server);
    else
        checkPlainServer(server);
}

void EngineProber::readReport(const ServerRegistration &server)
{
    m_node.platform().engines->readReport(
        server,
        [this, id = server.id, startedAtMs = server.startedAtMs,
         alive = std::weak_ptr(m_alive)](const Result<EngineReport> &report) {
            if (alive.expired())
                return;
            const ServerRegistration *known = findStart(id, startedAtMs);
            // A server that pauses was not asked.
            if (!known || (!report && report.error().kind == ErrorKind::Overloaded))
                return;
            if (report)
                m_node.view().recordProbeAnswer(*known, report.value().slowness);
            else
                m_node.view().recordProbeFailure(*known);
            m_node.onProbe(id, report.has_value());
        });
}

void EngineProber::checkPlainServer(const ServerRegistration &server)
{
    const ServiceRule *service = m_node.view().serviceOf(server);
    const auto endpoint = parseEndpoint(server.address);
    if (!service || !endpoint)
        return;
    checkListening(m_node.timers(), m_node.connections().createClient(server, service->healthPath),
                   endpoint.value(), service->healthPath, ListeningTimeout,
                   [this, id = server.id, startedAtMs = server.startedAtMs,
                    alive = std::weak_ptr(m_alive)](std::optional<bool> listening) {
                       if (!alive.expired() && listening && findStart(id, startedAtMs))
                           m_node.onProbe(id, *listening);
                   });
}

const ServerRegistration *EngineProber::findStart(const std::string &id,
                                                  std::int64_t startedAtMs) const
{
    const ServerRegistration *known = m_node.view().registry().find(id);
    return known && known->startedAtMs == startedAtMs ? known : nullptr;
}

} // namespace dogwoodvalve
