#pragma once

#include "gateway/engine_prober.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/platform_interfaces.h"
#include "gateway/wait_queue.h"

#include <dogwoodvalve/random.h>
#include <dogwoodvalve/shared_retry_budget.h>

#include <map>
#include <set>

namespace dogwoodvalve {

class RequestSession;

/// What the sessions of a gateway host share: its view of the fleet, the queues of requests that
/// wait for room, the retry budgets, metrics and the adapter.
class GatewayNode
{
public:
    GatewayNode(LoopServices &loop, const GatewaySettings &settings, GatewayPlatform platform,
                std::int64_t startedAtMs);

    LoopServices &loop() { return m_loop; }
    TimerService &timers() { return m_loop.timers(); }
    TimePoint now() const { return m_loop.timers().now(); }
    const GatewaySettings &settings() const { return m_settings; }
    /// Puts in force what can change in a running process: times, retries and logging. Name and
    /// addresses stay.
    void applySettings(const GatewaySettings &settings);
    FleetView &view() { return m_view; }
    GatewayPlatform &platform() { return m_platform; }
    EngineProber &survey() { return m_survey; }
    const CallerDialect &dialect() const { return *m_platform.dialect; }
    GatewayMetrics &metrics() { return m_metrics; }
    Random &random() { return m_random; }

    WaitQueue &queue(const std::string &service);
    SharedRetryBudget &retryBudget(const std::string &service);
    /// Takes one repeated attempt from what all hosts may spend.
    bool tryConsumeRetry(const std::string &service);

    void sessionStarted(const std::shared_ptr<RequestSession> &session);
    void sessionEnded(const std::shared_ptr<RequestSession> &session);
    std::size_t openSessions() const { return m_sessions.size(); }

    /// Lets waiting requests look for room again.
    void admitWaitingRequests();
    void refreshGauges();

private:
    LoopServices &m_loop;
    GatewaySettings m_settings;
    GatewayPlatform m_platform;
    FleetView m_view;
    EngineProber m_survey;
    GatewayMetrics m_metrics;
    Random m_random;
    std::map<std::string, WaitQueue> m_queues;
    std::map<std::string, SharedRetryBudget> m_budgets;
    std::set<std::shared_ptr<RequestSession>> m_sessions;
};

} // namespace dogwoodvalve
