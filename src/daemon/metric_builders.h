#pragma once

#include "net/client_account.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace dogwoodvalve {

/// Registers a family of counters; add one counter to it for each set of labels.
inline prometheus::Family<prometheus::Counter> &
buildCounterFamily(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

/// Registers a gauge without labels.
inline prometheus::Gauge &buildGauge(prometheus::Registry &registry, const char *name,
                                     const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

/// Metrics of what a process holds for its clients.
class ClientMetrics
{
public:
    explicit ClientMetrics(prometheus::Registry &registry)
        : m_dropped(buildCounterFamily(
            registry, "dogwoodvalve_dropped_clients_total",
            "Clients that were dropped for want of room, by shortage and activity"))
        , m_bytes(buildGauge(registry, "dogwoodvalve_client_bytes", "Bytes held for clients"))
        , m_connections(buildGauge(registry, "dogwoodvalve_client_connections",
                                   "Open connections of clients"))
    { }

    void countDropped(const DroppedClient &client)
    {
        m_dropped
            .Add({{"shortage", std::string(toString(client.shortage))},
                  {"activity", std::string(toString(client.activity))}})
            .Increment();
    }
    void set(const ClientAccount &account)
    {
        m_bytes.Set(static_cast<double>(account.bytes()));
        m_connections.Set(static_cast<double>(account.connections()));
    }

private:
    prometheus::Family<prometheus::Counter> &m_dropped;
    prometheus::Gauge &m_bytes;
    prometheus::Gauge &m_connections;
};

/// Registers a histogram without labels. `bounds` are the upper bounds of the buckets in seconds.
inline prometheus::Histogram &buildHistogram(prometheus::Registry &registry, const char *name,
                                             const char *help,
                                             const prometheus::Histogram::BucketBoundaries &bounds)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
}

} // namespace dogwoodvalve
