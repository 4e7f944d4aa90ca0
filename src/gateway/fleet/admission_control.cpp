#include "gateway/fleet/admission_control.h"

#include "daemon/log.h"
#include "gateway/gateway_node.h"

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Digests arrive about as often, and between them only this host's own requests change.
constexpr Duration RefreshInterval = 200ms;
constexpr Duration LogInterval = 1s;
constexpr int MaxUrgency = 9;
/// Routes of a priority with a smaller share of what is asked do not count as competing.
constexpr double MinRouteShare = 0.05;

/// Whether routes of different priority ask for the service. Workspaces alone do not make a service
/// scarce for some of its callers: without such routes, all wait in the same queues.
bool routesCompete(const DemandTotals &demand, std::string_view service)
{
    std::map<int, double> askedByPriority;
    double asked = 0;
    for (auto it = demand.lower_bound({std::string(service), 0, {}});
         it != demand.end() && it->first.service == service; ++it) {
        const int rank = it->first.rank;
        askedByPriority[rank - requestRank(0, priorityOf(rank))] += it->second.askedPerSecond;
        asked += it->second.askedPerSecond;
    }
    return std::count_if(askedByPriority.begin(), askedByPriority.end(),
                         [asked](const auto &it) { return it.second >= asked * MinRouteShare; })
        > 1;
}

} // namespace

std::span<const int> AdmissionControl::ranks(const ServiceRule &service)
{
    const auto &configuration = m_node.view().configuration();
    if (!configuration)
        return {};
    if (m_ranksVersion != configuration->version())
        m_ranks.clear();
    m_ranksVersion = configuration->version();
    const auto [it, added] = m_ranks.try_emplace(service.name);
    if (added)
        it->second = configuration->ranks(service.name);
    return it->second;
}

bool AdmissionControl::measures(const ServiceRule &service)
{
    return service.isLayered() && ranks(service).size() > 1;
}

int AdmissionControl::urgency(const ServiceRule &service, int rank)
{
    const std::span<const int> known = ranks(service);
    if (known.empty())
        return MaxUrgency;
    const auto it = std::lower_bound(known.begin(), known.end(), rank);
    const auto position = static_cast<int>(it - known.begin());
    return std::clamp(priorityOf(known.front()) + position, 0, MaxUrgency);
}

void AdmissionControl::recordStarted(const DemandKey &key, double tokens)
{
    m_node.view().demand().recordStarted(key, tokens);
    m_services[key.service].admission.recordStarted({key.rank, key.workspace, tokens});
}

void AdmissionControl::recordEnded(const DemandKey &key, double tokens)
{
    m_node.view().demand().recordEnded(key, tokens);
    m_services[key.service].admission.recordEnded({key.rank, key.workspace, tokens});
}

AdmissionDecision AdmissionControl::decide(const ServiceRule &service,
                                           const FleetAdmissionRequest &request, Duration timeLeft)
{
    Service &state = m_services[service.name];
    if (m_node.now() - state.updatedAt >= RefreshInterval)
        refresh(service, state);
    if (!state.active)
        return {};
    return state.admission.decide(request, timeLeft, m_node.random().fraction());
}

void AdmissionControl::refresh(const ServiceRule &service, Service &state)
{
    FleetView &view = m_node.view();
    state.updatedAt = m_node.now();
    const auto demand = view.fleetDemand();
    const bool active = demand && routesCompete(*demand, service.name);
    if (active != state.active)
        LogEvent("admission_control").field("service", service.name).field("active", active);
    state.active = active;
    if (!active)
        return;
    const EngineProfile &engine = *service.engine;
    state.admission.update(serviceRoom(view.pathServers(service), engine.layers), *demand,
                           service.name, engine.usualPromptTokens + engine.usualAnswerTokens);
    if (m_node.now() - state.loggedAt < LogInterval)
        return;
    state.loggedAt = m_node.now();
    LogEvent::decision("admission_load")
        .field("service", service.name)
        .field("room", state.admission.room().total)
        .field("held", state.admission.room().held)
        .field("load", state.admission.load())
        .field("hold_ms", state.admission.holdTime().count() / 1000);
}

RequestDemand::RequestDemand(GatewayNode &node, const ServiceRule &service, int rank,
                             std::string workspace)
    : m_node(node)
    , m_service(service)
    , m_key {service.name, rank, std::move(workspace)}
    , m_measured(node.admission().measures(service))
{ }

void RequestDemand::recordAsked()
{
    if (m_measured)
        m_node.view().demand().recordAsked(m_key, m_tokens, m_node.now());
}

AdmissionDecision RequestDemand::decide(Duration timeLeft)
{
    if (!m_measured)
        return {};
    return m_node.admission().decide(m_service, {m_key.rank, m_key.workspace, m_tokens}, timeLeft);
}

void RequestDemand::recordStarted()
{
    if (m_measured)
        m_node.admission().recordStarted(m_key, m_tokens);
}

void RequestDemand::recordEnded()
{
    if (m_measured)
        m_node.admission().recordEnded(m_key, m_tokens);
}

void RequestDemand::recordServed(TimePoint startedAt)
{
    if (m_measured)
        m_node.view().demand().recordServed(m_key, m_tokens, startedAt, m_node.now());
}

} // namespace dogwoodvalve
