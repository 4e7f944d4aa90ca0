#include "gateway/gateway_node.h"

#include "daemon/log.h"
#include "gateway/requests/request_session.h"

#include <dogwoodvalve/hash.h>

namespace dogwoodvalve {

namespace {

/// Number of hosts that probe a server that others suspect, beside those with streams on it. Probes
/// are priced, and all hosts learn of the result.
constexpr int SuspicionCheckers = 8;

HostDigest initialDigest(const GatewaySettings &settings, std::int64_t startedAtMs)
{
    HostDigest digest;
    digest.name = settings.name;
    digest.zone = settings.zone;
    digest.callerAddress = settings.listen;
    digest.peerAddress = settings.peerListen;
    digest.startedAtMs = startedAtMs;
    digest.linkMbps = settings.linkMbps;
    return digest;
}

} // namespace

std::string_view toString(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Begun:
        return "begun";
    case OrderOutcome::AlreadyHolds:
        return "already_holds";
    case OrderOutcome::Conflict:
        return "conflict";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::WrongServer:
        return "wrong_server";
    case OrderOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

GatewayNode::GatewayNode(LoopServices &loop, const GatewaySettings &settings,
                         GatewayPlatform platform, std::int64_t startedAtMs)
    : m_loop(loop)
    , m_startedAt(loop.timers().now())
    , m_settings(settings)
    , m_platform(std::move(platform))
    , m_view(loop.timers(), initialDigest(settings, startedAtMs), settings.keyRevocation)
    , m_connections(*this)
    , m_survey(*this)
    , m_crashes(*this)
    , m_crashArchiver(*this)
    , m_trials(*this)
    , m_admission(*this)
    , m_random(stableHash(settings.name, static_cast<std::uint64_t>(startedAtMs)))
{
    m_view.setSuspicionHandler([this](const std::string &server) { checkSuspicion(server); });
    m_view.setQuarantineHandler([this] { m_loop.post([this] { endQuarantinedSessions(); }); });
    m_platform.engines->setConnector(m_connections);
    m_platform.engines->setNoticeHandler([this](std::string_view id, std::int64_t serverStartedAtMs,
                                                const ServerNotice &notice, TimePoint sentAt) {
        // An answer to a probe need not repeat the limit that answers to requests name.
        if (notice.namesLimit())
            m_view.recordRateNotice(id, serverStartedAtMs, notice, sentAt);
        if (notice.leaving || notice.asksForPause())
            recordNotice(id, serverStartedAtMs, notice);
    });
}

void GatewayNode::checkSuspicion(const std::string &server)
{
    const bool checks = m_view.load(server)->streams > 0
        || m_view.hosts().isTopRanked(m_settings.name, server, SuspicionCheckers, now());
    if (checks)
        m_survey.probeNow(server);
}

void GatewayNode::applySettings(const GatewaySettings &settings)
{
    m_settings.grace = settings.grace;
    m_settings.keyRevocation = settings.keyRevocation;
    m_settings.lookupTimeToLive = settings.lookupTimeToLive;
    m_settings.retries = settings.retries;
    m_settings.logLevel = settings.logLevel;
    m_settings.decisionLogRate = settings.decisionLogRate;
    m_view.setKeyRevocation(settings.keyRevocation);
    for (auto &[service, budget] : m_budgets)
        budget.setAllowance(settings.retries);
    setLogLevel(settings.logLevel);
    setDecisionLogRate(static_cast<std::uint32_t>(settings.decisionLogRate));
}

WaitQueue &GatewayNode::queue(const std::string &service)
{
    return m_queues[service];
}

SharedRetryBudget &GatewayNode::retryBudget(const std::string &service)
{
    return m_budgets.try_emplace(service, m_settings.retries, m_startedAt).first->second;
}

RetrySharers GatewayNode::retrySharers() const
{
    const HostTable &hosts = m_view.hosts();
    const int old = hosts.peersUpFor(m_settings.retries.window, now());
    return {hosts.knownHosts(now()), hosts.liveHosts(now()) - old, old > 0};
}

bool GatewayNode::tryReserveRetry(const std::string &service)
{
    SharedRetryBudget &budget = retryBudget(service);
    const RetrySharers sharers = retrySharers();
    const bool granted = budget.tryReserve(now(), sharers);
    m_metrics.countRetry(granted);
    LogEvent::decision("retry")
        .field("service", service)
        .field("granted", granted)
        .field("remaining", budget.remaining(now(), sharers))
        .field("hosts", sharers.hosts)
        .field("started", sharers.started);
    return granted;
}

void GatewayNode::recordNotice(std::string_view id, std::int64_t startedAtMs,
                               const ServerNotice &notice)
{
    if (!m_view.recordNotice(id, startedAtMs, notice))
        return;
    m_metrics.countServerNotice(notice.leaving ? "leaving" : "pause");
    if (!notice.asksForPause())
        return;
    m_loop.post([this] {
        const auto sessions = m_sessions;
        for (const auto &session : sessions)
            session->refuseIfServersPause();
    });
}

void GatewayNode::onProbe(const std::string &server, bool answered)
{
    if (answered)
        m_crashes.onProbeAnswer(server);
    else
        m_crashes.onProbeFailure(server);
}

void GatewayNode::endQuarantinedSessions()
{
    const auto sessions = m_sessions;
    for (const auto &session : sessions)
        session->endIfQuarantined();
}

void GatewayNode::sessionStarted(const std::shared_ptr<RequestSession> &session)
{
    m_sessions.insert(session);
}

void GatewayNode::sessionEnded(const std::shared_ptr<RequestSession> &session)
{
    m_sessions.erase(session);
    m_loop.post([this] { admitWaitingRequests(); });
}

void GatewayNode::endSessionsAtExit()
{
    const std::set<std::shared_ptr<RequestSession>> sessions = m_sessions;
    for (const auto &session : sessions)
        session->endAtExit();
}

void GatewayNode::admitWaitingRequests()
{
    for (auto &[service, queue] : m_queues) {
        if (!queue.empty())
            queue.admitWaiting();
    }
}

void GatewayNode::refreshGauges()
{
    std::size_t waiting = 0;
    for (const auto &[service, queue] : m_queues)
        waiting += queue.size();
    m_metrics.setOpenRequests(m_sessions.size());
    m_metrics.setWaitingRequests(waiting);
    const auto &configuration = m_view.configuration();
    m_metrics.setConfiguration(configuration ? configuration->version() : 0,
                               m_view.configurationAge());
    m_metrics.setServers(m_view.registry().servers().size(), m_view.serversAge());
    m_metrics.setStoreRestores(m_view.storeRestores());
    m_metrics.setLiveHosts(m_view.hosts().liveHosts(now()));
    m_metrics.setLimitedServers(m_view.rateLimits().limitedServers());
    m_metrics.setQuarantinedParts(m_view.quarantine().quarantinedParts());
    m_metrics.setCutOff(m_connections.cutOff());
    m_metrics.setOpenForwards(m_openForwards);
    m_metrics.setUnansweredProbes(m_view.health().failedProbes(now()).size());
}

} // namespace dogwoodvalve
