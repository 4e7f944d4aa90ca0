#include "gateway/gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace dogwoodvalve {

namespace {

/// Bucket bounds in seconds, from a fraction of the shortest target to the longest deadline.
const prometheus::Histogram::BucketBoundaries LatencyBounds {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3,
                                                             0.5,   1,    2,    5,    10,  20};

} // namespace

GatewayMetrics::GatewayMetrics()
    : m_requests(
        buildCounterFamily(m_registry, "dogwoodvalve_requests_total", "Requests by outcome"))
    , m_dispatches(buildCounterFamily(m_registry, "dogwoodvalve_dispatches_total",
                                      "Attempts sent to servers by reason"))
    , m_layerOrders(buildCounterFamily(m_registry, "dogwoodvalve_layer_orders_total",
                                       "Orders to load layers by outcome"))
    , m_serverNotices(buildCounterFamily(m_registry, "dogwoodvalve_server_notices_total",
                                         "Announcements of servers in their answers by kind"))
    , m_notAdmitted(buildCounterFamily(m_registry, "dogwoodvalve_not_admitted_total",
                                       "Requests refused for others by reason and rank"))
    , m_retries(buildCounterFamily(m_registry, "dogwoodvalve_retries_total",
                                   "Retries asked of the shared budgets by outcome"))
    , m_firstByte(buildHistogram(m_registry, "dogwoodvalve_first_byte_seconds",
                                 "Time from arrival of a request to the first byte of its answer",
                                 LatencyBounds))
    , m_eventGap(buildHistogram(m_registry, "dogwoodvalve_event_gap_seconds",
                                "Time between events of a stream", LatencyBounds))
    , m_failover(buildHistogram(m_registry, "dogwoodvalve_repair_seconds",
                                "Interruption of a stream that was resumed on another path",
                                LatencyBounds))
    , m_openRequests(
          buildGauge(m_registry, "dogwoodvalve_open_requests", "Requests that are being handled"))
    , m_waitingRequests(buildGauge(m_registry, "dogwoodvalve_waiting_requests",
                                   "Requests that wait for server capacity"))
    , m_configurationVersion(buildGauge(m_registry, "dogwoodvalve_configuration_version",
                                        "Version of the current configuration"))
    , m_configurationAge(buildGauge(m_registry, "dogwoodvalve_configuration_age_seconds",
                                    "Time since the configuration was confirmed to be the newest"))
    , m_servers(buildGauge(m_registry, "dogwoodvalve_servers", "Registered servers"))
    , m_serversAge(buildGauge(m_registry, "dogwoodvalve_servers_age_seconds",
                              "Time since the registrations of servers were read"))
    , m_storeRestores(buildGauge(m_registry, "dogwoodvalve_store_restores",
                                 "Times that the store came back from a copy since the start"))
    , m_liveHosts(
          buildGauge(m_registry, "dogwoodvalve_live_hosts", "Live hosts including this one"))
    , m_quarantinedParts(buildGauge(m_registry, "dogwoodvalve_quarantined_prompt_parts",
                                    "Parts of prompts in quarantine because of crashes"))
    , m_limitedServers(buildGauge(m_registry, "dogwoodvalve_limited_servers",
                                  "Servers that name a limit of their request rate"))
    , m_unansweredProbes(buildGauge(m_registry, "dogwoodvalve_unanswered_servers",
                                    "Servers that did not answer a recent probe of this host"))
    , m_cutOff(buildGauge(m_registry, "dogwoodvalve_cut_off",
                          "1 while this host has lost its links to the servers"))
    , m_openForwards(buildGauge(m_registry, "dogwoodvalve_open_forwards",
                                "Requests that this host forwards for other hosts"))
    , m_clients(m_registry)
{ }

void GatewayMetrics::countRequest(std::string_view outcome)
{
    m_requests.Add({{"outcome", std::string(outcome)}}).Increment();
}

void GatewayMetrics::countDispatch(std::string_view reason)
{
    m_dispatches.Add({{"reason", std::string(reason)}}).Increment();
}

void GatewayMetrics::countLayerOrder(std::string_view outcome)
{
    m_layerOrders.Add({{"outcome", std::string(outcome)}}).Increment();
}

void GatewayMetrics::countServerNotice(std::string_view kind)
{
    m_serverNotices.Add({{"kind", std::string(kind)}}).Increment();
}

void GatewayMetrics::countRetry(bool granted)
{
    m_retries.Add({{"outcome", granted ? "granted" : "denied"}}).Increment();
}

void GatewayMetrics::countNotAdmitted(std::string_view reason, int rank)
{
    m_notAdmitted.Add({{"reason", std::string(reason)}, {"rank", std::to_string(rank)}})
        .Increment();
}

void GatewayMetrics::setConfiguration(std::uint64_t version, Duration age)
{
    m_configurationVersion.Set(static_cast<double>(version));
    m_configurationAge.Set(inSeconds(age));
}

void GatewayMetrics::setServers(std::size_t n, Duration age)
{
    m_servers.Set(static_cast<double>(n));
    m_serversAge.Set(inSeconds(age));
}

std::string GatewayMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace dogwoodvalve
