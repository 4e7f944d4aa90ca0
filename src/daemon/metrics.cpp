#include "daemon/metrics.h"

#include "core/duration_math.h"
#include "daemon/metric_builders.h"

#include <prometheus/text_serializer.h>

namespace dogwoodvalve {

namespace {

/// Upper bounds of the latency histograms, in seconds. They include the latency targets: 0.076
/// between tokens and 0.72 for the first token.
const prometheus::Histogram::BucketBoundaries LatencyBuckets {
    0.005, 0.01, 0.02, 0.03, 0.05, 0.076, 0.1, 0.15, 0.25, 0.5, 0.72, 1, 2, 5, 10};

} // namespace

Metrics::Metrics()
    : m_requests(
        buildCounterFamily(m_registry, "dogwoodvalve_requests_total", "Requests by outcome"))
    , m_refusals(buildCounterFamily(m_registry, "dogwoodvalve_refusals_total",
                                    "Refused requests by reason"))
    , m_retries(buildCounterFamily(m_registry, "dogwoodvalve_retries_total",
                                   "Attempts repeated after a server was lost")
                    .Add({}))
    , m_droppedAnswers(
          buildCounterFamily(
              m_registry, "dogwoodvalve_dropped_answers_total",
              "Answers of engines that match no outstanding step: late, duplicate or misrouted")
              .Add({}))
    , m_tokens(
          buildCounterFamily(m_registry, "dogwoodvalve_tokens_total", "Tokens emitted").Add({}))
    , m_controlBytes(buildCounterFamily(m_registry, "dogwoodvalve_control_bytes_total",
                                        "Bytes sent to other entry hosts")
                         .Add({}))
    , m_firstToken(buildHistogram(m_registry, "dogwoodvalve_first_token_seconds",
                                  "Time from a request's arrival to its first token",
                                  LatencyBuckets))
    , m_tokenGap(buildHistogram(m_registry, "dogwoodvalve_token_gap_seconds",
                                "Time between tokens of one answer", LatencyBuckets))
    , m_configurationOffset(buildGauge(m_registry, "dogwoodvalve_configuration_offset",
                                       "Log offset of the applied configuration"))
    , m_members(
          buildGauge(m_registry, "dogwoodvalve_members", "Live entry hosts, this one included"))
    , m_openRequests(buildGauge(m_registry, "dogwoodvalve_open_requests", "Requests in progress"))
    , m_isolated(buildGauge(m_registry, "dogwoodvalve_isolated",
                            "1 while neither the log nor a peer confirms the configuration"))
    , m_logReachable(buildGauge(m_registry, "dogwoodvalve_log_reachable",
                                "1 while the platform's log answers"))
    , m_clients(m_registry)
{ }

void Metrics::countRequest(Outcome outcome)
{
    m_requests.Add({{"outcome", std::string(toString(outcome))}}).Increment();
}

void Metrics::countRefusal(ErrorKind reason)
{
    m_refusals.Add({{"reason", std::string(toString(reason))}}).Increment();
}

void Metrics::observeFirstToken(Duration duration)
{
    m_firstToken.Observe(inSeconds(duration));
}

void Metrics::observeTokenGap(Duration duration)
{
    m_tokenGap.Observe(inSeconds(duration));
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace dogwoodvalve
