#pragma once

#include "core/duration_math.h"
#include "daemon/client_metrics.h"

#include <dogwoodvalve/timer_service.h>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Prometheus metrics of a gateway host.
class GatewayMetrics
{
public:
    GatewayMetrics();

    /// Counts a request that has ended. Outcomes: complete, failed, cut (the answer had begun),
    /// refused, caller_left.
    void countRequest(std::string_view outcome);
    void countDispatch(std::string_view reason);
    void countLayerOrder(std::string_view outcome);
    /// Counts what servers announce in answers to this host. Kinds: leaving (once for each start
    /// of a server), pause.
    void countServerNotice(std::string_view kind);
    /// Counts retries that were asked of a retry budget.
    void countRetry(bool granted);
    /// Counts requests that the fleet did not admit, by reason and rank.
    void countNotAdmitted(std::string_view reason, int rank);
    void countDroppedClient(const DroppedClient &client) { m_clients.countDropped(client); }
    void setClients(const ClientAccount &account) { m_clients.set(account); }
    void observeFirstByte(Duration duration) { m_firstByte.Observe(inSeconds(duration)); }
    void observeEventGap(Duration duration) { m_eventGap.Observe(inSeconds(duration)); }
    void observeFailover(Duration duration) { m_failover.Observe(inSeconds(duration)); }
    void setOpenRequests(std::size_t n) { m_openRequests.Set(static_cast<double>(n)); }
    void setWaitingRequests(std::size_t n) { m_waitingRequests.Set(static_cast<double>(n)); }
    void setConfiguration(std::uint64_t version, Duration age);
    void setServers(std::size_t n, Duration age);
    void setStoreRestores(int n) { m_storeRestores.Set(n); }
    void setQuarantinedParts(std::size_t n) { m_quarantinedParts.Set(static_cast<double>(n)); }
    void setLimitedServers(std::size_t n) { m_limitedServers.Set(static_cast<double>(n)); }
    void setLiveHosts(int n) { m_liveHosts.Set(n); }
    void setCutOff(bool cutOff) { m_cutOff.Set(cutOff ? 1 : 0); }
    void setOpenForwards(int n) { m_openForwards.Set(n); }
    void setUnansweredProbes(std::size_t n) { m_unansweredProbes.Set(static_cast<double>(n)); }

    /// All metrics in Prometheus' text format.
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_dispatches;
    prometheus::Family<prometheus::Counter> &m_layerOrders;
    prometheus::Family<prometheus::Counter> &m_serverNotices;
    prometheus::Family<prometheus::Counter> &m_notAdmitted;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Histogram &m_firstByte;
    prometheus::Histogram &m_eventGap;
    prometheus::Histogram &m_failover;
    prometheus::Gauge &m_openRequests;
    prometheus::Gauge &m_waitingRequests;
    prometheus::Gauge &m_configurationVersion;
    prometheus::Gauge &m_configurationAge;
    prometheus::Gauge &m_servers;
    prometheus::Gauge &m_serversAge;
    prometheus::Gauge &m_storeRestores;
    prometheus::Gauge &m_liveHosts;
    prometheus::Gauge &m_quarantinedParts;
    prometheus::Gauge &m_limitedServers;
    prometheus::Gauge &m_unansweredProbes;
    prometheus::Gauge &m_cutOff;
    prometheus::Gauge &m_openForwards;
    ClientMetrics m_clients;
};

} // namespace dogwoodvalve
