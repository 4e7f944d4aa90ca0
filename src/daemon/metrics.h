#pragma once

#include "daemon/client_metrics.h"

#include <dogwoodvalve/sequence.h>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// The metrics of an entry process, exported to Prometheus.
class Metrics
{
public:
    Metrics();

    void countRequest(Outcome outcome);
    void countRefusal(ErrorKind reason);
    void countRetry() { m_retries.Increment(); }
    void countDroppedAnswers(int n) { m_droppedAnswers.Increment(n); }
    void countTokens(int n) { m_tokens.Increment(n); }
    void countControlBytes(std::size_t sent)
    {
        m_controlBytes.Increment(static_cast<double>(sent));
    }
    void countDroppedClient(const DroppedClient &client) { m_clients.countDropped(client); }
    void setClients(const ClientAccount &account) { m_clients.set(account); }
    void observeFirstToken(Duration duration);
    void observeTokenGap(Duration duration);
    void setConfigurationOffset(std::uint64_t offset)
    {
        m_configurationOffset.Set(static_cast<double>(offset));
    }
    void setMembers(std::size_t n) { m_members.Set(static_cast<double>(n)); }
    void setOpenRequests(std::size_t n) { m_openRequests.Set(static_cast<double>(n)); }
    void setIsolated(bool isolated) { m_isolated.Set(isolated ? 1 : 0); }
    void setLogReachable(bool reachable) { m_logReachable.Set(reachable ? 1 : 0); }

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Counter &m_retries;
    prometheus::Counter &m_droppedAnswers;
    prometheus::Counter &m_tokens;
    prometheus::Counter &m_controlBytes;
    prometheus::Histogram &m_firstToken;
    prometheus::Histogram &m_tokenGap;
    prometheus::Gauge &m_configurationOffset;
    prometheus::Gauge &m_members;
    prometheus::Gauge &m_openRequests;
    prometheus::Gauge &m_isolated;
    prometheus::Gauge &m_logReachable;
    ClientMetrics m_clients;
};

} // namespace dogwoodvalve
