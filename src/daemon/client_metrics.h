#pragma once

#include "daemon/metric_builders.h"
#include "net/client_account.h"

#include <string>

namespace dogwoodvalve {

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

} // namespace dogwoodvalve
