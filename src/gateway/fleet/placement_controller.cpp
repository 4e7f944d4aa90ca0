#include "gateway/fleet/placement_controller.h"

#include "daemon/log.h"

#include <dogwoodvalve/layer_planner.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

constexpr Duration LeaseRenewalInterval = 600ms;
/// The store keeps the lease for 2 s after a renewal. The holder stops sending orders earlier, by
/// the time that an order may take to arrive.
constexpr Duration LeaseValidity = 1300ms;
/// Number of hosts that try to get the lease. Renewals are priced, so not all hosts take part.
constexpr int LeaseCandidates = 5;
constexpr const char *LeaseTask = "placement-lease";
constexpr Duration PlacementInterval = 200ms;
/// If no engine has layers yet, planning waits until no engine has registered for this long.
/// Engines that start together register within seconds of one another, and a plan over a part of
/// them would be worse. Registrations are read every second.
constexpr Duration RegistrationSettleTime = 1800ms;
/// An order without effect is sent again after this time, but not before this many times the
/// expected load time: engines that load share the weight store, and may carry out an order late.
constexpr Duration OrderRetryInterval = 4s;
constexpr int OrderRetryLoadTimes = 3;
/// Pause between reports of an engine that should be loading. Reports are priced, so they are read
/// only after half of the expected load time.
constexpr Duration ReportPollInterval = 300ms;

} // namespace

PlacementController::PlacementController(GatewayNode &node)
    : m_node(node)
{ }

PlacementController::~PlacementController()
{
    stop();
}

void PlacementController::start()
{
    renewLeasePeriodically();
    placePeriodically();
}

void PlacementController::stop()
{
    m_alive = std::make_shared<bool>(true);
}

void PlacementController::schedule(Duration pause, void (PlacementController::*action)())
{
    m_node.timers().schedule(m_node.now() + pause, [this, action, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            (this->*action)();
    });
}

bool PlacementController::leaseValid() const
{
    return m_lease.held && m_node.now() - m_leaseRenewedAt < LeaseValidity;
}

void PlacementController::renewLeasePeriodically()
{
    if (!m_lease.held
        && !m_node.view().hosts().isTopRanked(m_node.settings().name, LeaseTask, LeaseCandidates,
                                              m_node.now()))
        return schedule(LeaseRenewalInterval, &PlacementController::renewLeasePeriodically);
    const TimePoint askedAt = m_node.now();
    m_node.platform().coordination->renewLease(
        m_node.settings().name,
        [this, askedAt, alive = std::weak_ptr(m_alive)](const Result<PlacementLease> &lease) {
            if (alive.expired())
                return;
            if (lease) {
                if (lease.value().held != m_lease.held) {
                    LogEvent(lease.value().held ? "placement_lease_acquired"
                                                : "placement_lease_lost")
                        .field("fencing_token", lease.value().fencingToken);
                    m_orders.clear();
                    m_reportsRead.clear();
                }
                m_lease = lease.value();
                m_leaseRenewedAt = askedAt;
            }
            schedule(LeaseRenewalInterval, &PlacementController::renewLeasePeriodically);
        });
}

void PlacementController::placePeriodically()
{
    const auto &configuration = m_node.view().configuration();
    if (leaseValid() && configuration && !m_node.view().starting()) {
        for (const ServiceRule &service : configuration->services()) {
            if (service.isLayered())
                placeService(service);
        }
    }
    schedule(PlacementInterval, &PlacementController::placePeriodically);
}

void PlacementController::placeService(const ServiceRule &service)
{
    FleetView &view = m_node.view();
    const TimePoint now = m_node.now();
    std::vector<PlannedServer> planned;
    for (const ServerRegistration *server : view.availableServers(service.name)) {
        PlannedServer it {server->id, server->zone, server->kind, view.layersOf(*server)};
        const auto order = m_orders.find(server->id);
        const bool ordered =
            order != m_orders.end() && order->second.startedAtMs == server->startedAtMs;
        if (it.layers.empty() && ordered) {
            const Duration loadTime =
                service.engine->loadTime * order->second.layers.size() / service.engine->layers;
            const Duration sinceOrder = now - order->second.sentAt;
            if (sinceOrder < std::max<Duration>(OrderRetryInterval, loadTime * OrderRetryLoadTimes))
                it.layers = order->second.layers;
            if (sinceOrder > loadTime / 2
                && now - order->second.reportRequestedAt > ReportPollInterval)
                requestReport(*server);
        }
        planned.push_back(std::move(it));
    }
    const bool allNew =
        std::all_of(planned.begin(), planned.end(),
                    [](const PlannedServer &server) { return server.layers.empty(); });
    if (allNew && view.lastArrivalAge() < RegistrationSettleTime)
        return;
    const LayerPlanner planner(*service.engine);
    for (const LayerAssignment &assignment : planner.assign(planned)) {
        const ServerRegistration *server = view.registry().find(assignment.server);
        // The registration may be out of date, so the engine's own report is read before the first
        // order to it.
        const auto reportRead = m_reportsRead.find(server->id);
        if (reportRead == m_reportsRead.end() || reportRead->second != server->startedAtMs)
            requestReport(*server);
        else
            orderLayers(*server, assignment.layers);
    }
}

void PlacementController::orderLayers(const ServerRegistration &server, LayerSpan layers)
{
    if (!m_node.view().health().acceptsCalls(server.id, server.startedAtMs, m_node.now()))
        return;
    m_orders[server.id] = {server.startedAtMs, layers, m_node.now(), {}, false};
    m_node.view().recordRequest(server.id, server.startedAtMs);
    LogEvent("layers_ordered")
        .field("server", server.id)
        .field("kind", server.kind)
        .field("zone", server.zone)
        .field("first_layer", layers.first)
        .field("end_layer", layers.end)
        .field("fencing_token", m_lease.fencingToken)
        .field("servers_age_ms", m_node.view().serversAge().count() / 1000);
    m_node.platform().engines->orderLayers(
        server, layers, m_lease.fencingToken,
        [this, id = server.id, alive = std::weak_ptr(m_alive)](OrderOutcome outcome) {
            if (alive.expired())
                return;
            LogEvent("layers_order_answered")
                .field("server", id)
                .field("outcome", toString(outcome));
            m_node.metrics().countLayerOrder(toString(outcome));
            if (outcome == OrderOutcome::Fenced)
                m_lease.held = false;
        });
}

void PlacementController::requestReport(const ServerRegistration &server)
{
    if (!m_node.view().health().acceptsCalls(server.id, server.startedAtMs, m_node.now()))
        return;
    Order &order = m_orders[server.id];
    if (order.reportPending)
        return;
    order.reportPending = true;
    order.reportRequestedAt = m_node.now();
    m_node.view().recordRequest(server.id, server.startedAtMs);
    m_node.platform().engines->readReport(
        server,
        [this, id = server.id, startedAtMs = server.startedAtMs,
         alive = std::weak_ptr(m_alive)](const Result<EngineReport> &report) {
            if (alive.expired())
                return;
            if (const auto it = m_orders.find(id); it != m_orders.end())
                it->second.reportPending = false;
            const ServerRegistration *known = m_node.view().registry().find(id);
            if (report && known && known->startedAtMs == startedAtMs)
                applyReport(*known, report.value());
        });
}

void PlacementController::applyReport(const ServerRegistration &server, const EngineReport &report)
{
    m_reportsRead[server.id] = server.startedAtMs;
    LogEvent::decision("engine_report")
        .field("server", server.id)
        .field("first_layer", report.layers.first)
        .field("end_layer", report.layers.end)
        .field("busy", report.busy)
        .field("orders", report.ordersBegun);
    if (!report.layers.empty() && !report.busy)
        m_node.view().setReportedLayers(server, report.layers);
}

} // namespace dogwoodvalve
