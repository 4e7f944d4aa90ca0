#pragma once

#include "gateway/gateway_node.h"

#include <map>
#include <string>

namespace dogwoodvalve {

/// Sees to it that every engine holds layers. One host at a time holds the lease and orders engines
/// that hold nothing to load what the planner assigns; the engines themselves are the record of the
/// plan, so a new holder goes on from their reports. Orders carry the lease's number, so that
/// engines refuse those of a former holder.
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
    /// What was ordered of an engine in its present life.
    struct Order
    {
        std::int64_t startedAtMs = 0;
        LayerSpan layers;
        TimePoint sentAt {};
        TimePoint reportRequestedAt {};
        bool reportPending = false;
    };

    void renewLeasePeriodically();
    void placePeriodically();
    void placeService(const ServiceRule &service);
    void orderLayers(const ServerRegistration &server, LayerSpan layers);
    void requestReport(const ServerRegistration &server);
    void applyReport(const ServerRegistration &server, const EngineReport &report);
    bool leaseValid() const;
    void schedule(Duration pause, void (PlacementController::*action)());

    GatewayNode &m_node;
    PlacementLease m_lease;
    TimePoint m_leaseRenewedAt {};
    std::map<std::string, Order> m_orders;
    /// Engines whose own report was read in this tenure, by the start of their life.
    std::map<std::string, std::int64_t> m_reportsRead;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
