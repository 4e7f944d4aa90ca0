#include "gateway/fleet/fleet_view.h"

#include "core/mutation.h"
#include "daemon/log.h"

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Longest time from the check of a request's key until it reaches a server, plus the error of ages
/// that come from other hosts.
constexpr Duration KeyCheckMargin = 800ms;
/// A host fetches a configuration that another one has reported within this time, or does not trust
/// its own any longer: the later one may have revoked keys while the store had lost it.
constexpr Duration MaxTimeBehind = 2s;
/// A registration read within this time after a server's own report may be older than the report:
/// it is delayed by the heartbeat interval, the store and the read interval.
constexpr Duration MaxRegistrationLag = 3s;
/// The positions of removed servers are kept for this many records of the log. No host is further
/// behind.
constexpr std::uint64_t RemovedServerRetentionRecords = 20'000;
/// Factors below this are normal variation under load.
constexpr double MinSlowness = 1.15;
/// Number of hosts that must report a server as unanswered before hosts without a probe of their
/// own eject it. A single host may itself be cut off from the server.
constexpr int SuspicionQuorum = 2;
/// A server whose stream delivered an event to this host within this time is alive, whatever other
/// hosts report.
constexpr Duration RecentEventWindow = 300ms;
/// So is a server that answered a probe of this host within this time: some hosts may be cut off
/// from a server that others can reach.
constexpr Duration RecentAnswerWindow = 2s;

/// Whether no host can be as far behind in the servers' log as this position.
bool isOutdated(const LogPosition &position, const LogPosition &end)
{
    return position.era != end.era || position.offset + RemovedServerRetentionRecords < end.offset;
}

} // namespace

FleetView::FleetView(TimerService &timers, HostDigest self, Duration keyRevocation)
    : m_timers(timers)
    , m_startedAt(timers.now())
    , m_self(std::move(self))
    , m_keyRevocation(keyRevocation)
    , m_hosts(m_self.zone)
{ }

void FleetView::setLeaving()
{
    m_self.leaving = true;
    m_leavingSince = m_timers.now();
}

bool FleetView::ready() const
{
    return m_configuration && m_serversKnown && !m_self.leaving;
}

Duration FleetView::configurationAge() const
{
    return m_configurationConfirmed ? m_timers.now() - m_configurationConfirmedAt : Duration::max();
}

Duration FleetView::serversAge() const
{
    return m_serversKnown ? m_timers.now() - m_serversReadAt : Duration::max();
}

bool FleetView::keysFresh() const
{
    if (mutated("gateway-trust-keys-for-ever"))
        return m_configurationConfirmed;
    if (behindOtherHosts() && m_timers.now() - m_behindSince > MaxTimeBehind)
        return false;
    return m_configurationConfirmed && configurationAge() < m_keyRevocation - KeyCheckMargin;
}

void FleetView::recordReportedVersion(std::uint64_t version)
{
    if (version <= m_reportedVersion)
        return;
    const bool behindBefore = behindOtherHosts();
    m_reportedVersion = version;
    if (behindBefore || !behindOtherHosts())
        return;
    m_behindSince = m_timers.now();
    LogEvent("configuration_behind")
        .field("version", configurationVersion())
        .field("reported", m_reportedVersion);
}

void FleetView::applySuspicion(const std::string &id)
{
    const TimePoint now = m_timers.now();
    const ServerRegistration *server = m_registry.find(id);
    if (!server || m_hosts.hostsReportingFailedProbe(id, now) < SuspicionQuorum
        || mutated("gateway-ignore-hearsay"))
        return;
    const auto it = m_loads.find(id);
    if (it != m_loads.end() && now - it->second->lastProgressAt < RecentEventWindow)
        return;
    const auto answered = m_answeredAt.find(id);
    if (answered != m_answeredAt.end() && now - answered->second < RecentAnswerWindow)
        return;
    const bool usableBefore = m_health.usable(id, server->startedAtMs, now);
    m_health.recordPeerSuspicion(id, server->startedAtMs, now);
    if (!usableBefore)
        return;
    LogEvent::decision("server_suspected")
        .field("server", id)
        .field("reason", "probes by other hosts failed")
        .field("hosts", m_hosts.hostsReportingFailedProbe(id, now));
    if (m_suspicionHandler)
        m_suspicionHandler(id);
}

void FleetView::recordProbeAnswer(const ServerRegistration &server, double slowness)
{
    const TimePoint now = m_timers.now();
    m_health.recordEvidence(server.id, server.startedAtMs, ServerEvidence::ProbeSucceeded, now);
    m_answeredAt[server.id] = now;
    const auto known = m_slowness.find(server.id);
    if (slowness < MinSlowness) {
        if (known != m_slowness.end())
            m_slowness.erase(known);
        return;
    }
    if (known == m_slowness.end()) {
        LogEvent::decision("server_slow").field("server", server.id).field("factor", slowness);
        m_urgentUpdate = true;
    }
    m_slowness[server.id] = {slowness, now};
}

void FleetView::recordProbeFailure(const ServerRegistration &server)
{
    const TimePoint now = m_timers.now();
    m_answeredAt.erase(server.id);
    LogEvent::decision("probe_failed")
        .field("server", server.id)
        .field("usable_before", m_health.usable(server.id, server.startedAtMs, now));
    m_health.recordEvidence(server.id, server.startedAtMs, ServerEvidence::ProbeFailed, now);
    m_urgentUpdate = true;
}

double FleetView::slowness(std::string_view server) const
{
    const TimePoint now = m_timers.now();
    const auto it = m_slowness.find(server);
    if (it != m_slowness.end() && now - it->second.second <= SlownessTimeToLive)
        return it->second.first;
    return m_hosts.reportedSlowness(server, now);
}

std::shared_ptr<ServerLoad> FleetView::load(std::string_view server)
{
    auto it = m_loads.find(server);
    if (it == m_loads.end())
        it = m_loads.emplace(std::string(server), std::make_shared<ServerLoad>()).first;
    return it->second;
}

LayerSpan FleetView::layersOf(const ServerRegistration &server) const
{
    const auto it = m_reportedLayers.find(server.id);
    if (it == m_reportedLayers.end() || it->second.startedAtMs != server.startedAtMs)
        return server.layers;
    return it->second.layers;
}

void FleetView::setReportedLayers(const ServerRegistration &server, LayerSpan layers)
{
    m_reportedLayers[server.id] = {server.startedAtMs, layers, m_timers.now()};
}

std::vector<PathServer> FleetView::pathServers(const ServiceRule &service)
{
    std::vector<PathServer> servers;
    if (!service.engine)
        return servers;
    const EngineProfile &profile = *service.engine;
    const TimePoint now = m_timers.now();
    for (const ServerRegistration *server : availableServers(service.name)) {
        const AcceleratorKind *kind = profile.findKind(server->kind);
        const LayerSpan layers = layersOf(*server);
        if (!kind || layers.empty() || !m_health.usable(server->id, server->startedAtMs, now))
            continue;
        PathServer part;
        part.id = server->id;
        part.zone = server->zone;
        part.layers = layers;
        part.acceptsRequests = acceptsRequest(*server) && hasFreeSlot(*server);
        const double slow = slowness(server->id);
        part.stepMsPerLayer = slow * profile.stepMs * kind->stepTimeFactor / profile.layers;
        part.prefillMsPerTokenLayer =
            slow * kind->prefillTimeFactor / (profile.prefillTokensPerMs * profile.layers);
        part.capacity = profile.kvCacheCapacity(*kind, layers.size());
        part.committed = m_hosts.committedByPeers(server->id, now);
        part.backlogMs = m_hosts.backlogMsByPeers(server->id, now);
        if (const auto it = m_loads.find(server->id); it != m_loads.end()) {
            part.committed += it->second->committed;
            part.backlogMs += it->second->backlogMs;
        }
        servers.push_back(part);
    }
    return servers;
}

void FleetView::onConfiguration(FleetConfigurationPointer configuration, std::string_view document)
{
    if (m_configuration && configuration->version() <= m_configuration->version())
        return;
    m_configuration = std::move(configuration);
    m_document = document;
    LogEvent("configuration_in_force")
        .field("version", m_configuration->version())
        .field("routes", m_configuration->routeCount())
        .field("services", m_configuration->services().size())
        .field("bytes", document.size());
    if (m_observer)
        m_observer->configurationChanged();
}

void FleetView::onConfigurationConfirmed(TimePoint asOf)
{
    // A store that came back from a copy also shows an older version as the newest one.
    if (!m_configuration || (behindOtherHosts() && !mutated("gateway-confirm-by-older-version")))
        return;
    if (!m_configurationConfirmed || asOf > m_configurationConfirmedAt)
        m_configurationConfirmedAt = asOf;
    if (!std::exchange(m_configurationConfirmed, true) && m_observer)
        m_observer->configurationChanged();
}

bool FleetView::advanceRecordEnd(std::string_view id, LogPosition end)
{
    const auto it = m_recordEnds.find(id);
    if (it == m_recordEnds.end()) {
        m_recordEnds.emplace(id, end);
        return true;
    }
    if (end <= it->second && !mutated("gateway-old-records-count"))
        return false;
    it->second = end;
    return true;
}

void FleetView::recordRenewal(const ServerRegistration &registration)
{
    m_health.recordHeartbeat(registration.id, registration.startedAtMs, m_timers.now());
    if (const auto it = m_reportedLayers.find(registration.id);
        it != m_reportedLayers.end() && m_timers.now() - it->second.at > MaxRegistrationLag)
        m_reportedLayers.erase(it);
}

void FleetView::onServer(const ServerRegistration &registration, LogPosition end)
{
    m_restored.noticeEra(end.era, m_serversKnown, m_timers.now());
    if (m_restored.isFromCopy(end))
        return applyCopied(registration, end);
    std::erase(m_unconfirmedServers, registration.id);
    m_restored.recordRegistration(registration.id);
    if (!advanceRecordEnd(registration.id, end))
        return;
    recordRenewal(registration);
    applyRegistration(registration, end);
}

void FleetView::applyCopied(const ServerRegistration &registration, LogPosition end)
{
    const auto merged = m_restored.merge(m_registry.find(registration.id), registration);
    if (!merged)
        return;
    std::erase(m_unconfirmedServers, registration.id);
    if (advanceRecordEnd(registration.id, end))
        applyRegistration(*merged, end);
}

void FleetView::applyAbsence(const std::string &id, LogPosition end)
{
    if (m_restored.isReconciling(m_timers.now()))
        m_restored.await(id);
    else
        onServerGone(id, end);
}

void FleetView::applyRegistration(const ServerRegistration &registration, LogPosition end)
{
    const ServerRegistration *known = m_registry.find(registration.id);
    if (!known)
        m_lastArrivalAt = m_timers.now();
    const bool restarted = known && known->startedAtMs != registration.startedAtMs;
    if (!m_registry.put(registration))
        return;
    m_changeEnds[registration.id] = end;
    if (restarted)
        m_reportedLayers.erase(registration.id);
    LogEvent::decision("server_changed")
        .field("server", registration.id)
        .field("service", registration.service)
        .field("address", registration.address)
        .field("zone", registration.zone)
        .field("draining", registration.draining)
        .field("started_ms", registration.startedAtMs)
        .field("first_layer", registration.layers.first)
        .field("end_layer", registration.layers.end);
    if (m_observer)
        m_observer->serversChanged();
}

void FleetView::onServerGone(std::string_view id, LogPosition end)
{
    if (!advanceRecordEnd(id, end))
        return;
    if (const ServerRegistration *known = m_registry.find(id))
        m_restored.recordRemoval(*known, m_timers.now());
    if (!m_registry.remove(id))
        return;
    m_reportedLayers.erase(std::string(id));
    m_changeEnds.erase(std::string(id));
    LogEvent::decision("server_gone").field("server", id);
    if (m_observer)
        m_observer->serversChanged();
}

void FleetView::onServersUpToDate(LogPosition end, TimePoint asOf)
{
    m_restored.noticeEra(end.era, m_serversKnown, m_timers.now());
    for (const std::string &id : std::exchange(m_unconfirmedServers, {}))
        applyAbsence(id, end);
    for (const std::string &id : m_restored.takeOverdue(m_timers.now()))
        onServerGone(id, end);
    if (m_restored.noticeEnd(end) && m_restored.awaited() > 0)
        LogEvent("servers_awaited").field("era", end.era).field("count", m_restored.awaited());
    m_serversEnd = std::max(m_serversEnd, end);
    m_serversReadAt = m_serversKnown ? std::max(m_serversReadAt, asOf) : asOf;
    if (!std::exchange(m_serversKnown, true)) {
        LogEvent("servers_known").field("count", m_registry.servers().size());
        if (m_observer)
            m_observer->serversChanged();
    }
    // The load of a removed server is kept while streams still use it.
    std::erase_if(m_loads, [this](const auto &entry) {
        return entry.second.use_count() == 1 && !m_registry.find(entry.first);
    });
    std::erase_if(m_answeredAt, [this](const auto &entry) {
        return m_timers.now() - entry.second > RecentAnswerWindow;
    });
    const auto isRegistered = [this](const std::string &id) {
        return m_registry.find(id) != nullptr;
    };
    m_health.retain(isRegistered, m_timers.now());
    m_rateLimits.retain(isRegistered, m_timers.now());
    std::erase_if(m_recordEnds, [this](const auto &entry) {
        return isOutdated(entry.second, m_serversEnd) && !m_registry.find(entry.first);
    });
}

RegistrationsUpdate FleetView::registrationsSince(LogPosition end) const
{
    RegistrationsUpdate update;
    update.end = m_serversEnd;
    update.age = std::min(serversAge(), HostDigest::MaxAge);
    for (const auto &[id, server] : m_registry.servers()) {
        const auto newest = m_recordEnds.find(id);
        const LogPosition newestEnd =
            newest == m_recordEnds.end() ? LogPosition {} : newest->second;
        update.servers.emplace(id, newestEnd);
        const auto change = m_changeEnds.find(id);
        if (change != m_changeEnds.end() && change->second > end)
            update.changed.push_back({server, newestEnd});
    }
    return update;
}

void FleetView::adoptRegistrations(const RegistrationsUpdate &update, TimePoint asOf)
{
    if (update.age >= HostDigest::MaxAge || update.end < m_serversEnd
        || (m_serversKnown && asOf <= m_serversReadAt))
        return;
    m_restored.noticeEra(update.end.era, m_serversKnown, m_timers.now());
    for (const RegistrationsUpdate::Entry &entry : update.changed)
        onServer(entry.registration, entry.end);
    std::vector<std::string> gone;
    for (const auto &[id, server] : m_registry.servers()) {
        const auto it = update.servers.find(id);
        if (it == update.servers.end())
            gone.push_back(id);
        else if (advanceRecordEnd(id, it->second) && !m_restored.isFromCopy(it->second)) {
            m_restored.recordRegistration(id);
            recordRenewal(server);
        }
    }
    for (const std::string &id : gone)
        applyAbsence(id, update.end);
    onServersUpToDate(update.end, asOf);
}

void FleetView::onServersSnapshotStarted()
{
    m_unconfirmedServers.clear();
    for (const auto &[id, server] : m_registry.servers())
        m_unconfirmedServers.push_back(id);
}

} // namespace dogwoodvalve
