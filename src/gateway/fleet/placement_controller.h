#pragma once

#include "gateway/gateway_node.h"

#include <map>
#include <string>

namespace dogwoodvalve {

/// Assigns layers to engines. The one host that holds the placement lease orders engines without
/// layers to load those that the planner assigns to them. The plan is not stored anywhere: a new
/// holder starts from what the engines report. Orders carry the lease's fencing token, so that
/// engines refuse orders of a former holder.
class PlacementController
{
public:
    explicit PlacementController(GatewayNode &node);
    ~PlacementController();

    PlacementController(const PlacementController &) = delete;
    PlacementController &operator=(const PlacementController &) = delete;

    void start();
    void stop();

private:
    /// The last order to an engine, and the state of its next report.
    struct Order
    {
        /// The engine's start; the order does not count after a restart.
        std::int64_t startedAtMs = 0;
        LayerSpan layers;
        TimePoint sentAt {};
        TimePoint reportRequestedAt {};
        bool reportPending = false;
    };

    void renewLeasePeriodically();
    void placePeriodically();
    void placeService(const ServiceRule &service);
    /// Orders an engine to load layers.
    void orderLayers(const ServerRegistration &server, LayerSpan layers);
    /// Reads an engine's report, unless a read is already in flight.
    void requestReport(const ServerRegistration &server);
    void applyReport(const ServerRegistration &server, const EngineReport &report);
    /// Whether the lease is held and was renewed recently enough to send orders.
    bool leaseValid() const;
    /// Calls a member function once after a pause.
    void schedule(Duration pause, void (PlacementController::*action)());

    GatewayNode &m_node;
    PlacementLease m_lease;
    TimePoint m_leaseRenewedAt {};
    std::map<std::string, Order> m_orders;
    /// Start times of the engines whose report was read since the lease was acquired, by id.
    std::map<std::string, std::int64_t> m_reportsRead;
    /// Pending callbacks hold a weak pointer to this, and do nothing once it is replaced.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
