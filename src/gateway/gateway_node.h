#pragma once

#include "gateway/fleet/admission_control.h"
#include "gateway/fleet/crash_archiver.h"
#include "gateway/fleet/crash_inquiry.h"
#include "gateway/fleet/engine_prober.h"
#include "gateway/fleet/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/platform_interfaces.h"
#include "gateway/requests/prompt_trials.h"
#include "gateway/requests/wait_queue.h"
#include "gateway/servers/server_connections.h"

#include <dogwoodvalve/random.h>
#include <dogwoodvalve/shared_retry_budget.h>

#include <map>
#include <set>

namespace dogwoodvalve {

class RequestSession;

/// The state that the sessions of a gateway host share: its view of the fleet, the queues of
/// waiting requests, the retry budgets, the metrics and the platform adapter.
class GatewayNode
{
public:
    GatewayNode(LoopServices &loop, const GatewaySettings &settings, GatewayPlatform platform,
                std::int64_t startedAtMs);

    LoopServices &loop() { return m_loop; }
    TimerService &timers() { return m_loop.timers(); }
    TimePoint now() const { return m_loop.timers().now(); }
    const GatewaySettings &settings() const { return m_settings; }
    /// Applies the settings that can change in a running process: times, retries and logging. The
    /// name and the addresses keep their values.
    void applySettings(const GatewaySettings &settings);
    FleetView &view() { return m_view; }
    const FleetView &view() const { return m_view; }
    GatewayPlatform &platform() { return m_platform; }
    EngineProber &survey() { return m_survey; }
    CrashInquiry &crashes() { return m_crashes; }
    CrashArchiver &crashArchiver() { return m_crashArchiver; }
    PromptTrials &trials() { return m_trials; }
    AdmissionControl &admission() { return m_admission; }
    ServerConnections &connections() { return m_connections; }
    const CallerDialect &dialect() const { return *m_platform.dialect; }
    GatewayMetrics &metrics() { return m_metrics; }
    Random &random() { return m_random; }

    WaitQueue &queue(const std::string &service);
    SharedRetryBudget &retryBudget(const std::string &service);
    /// The hosts that share the retry budgets.
    RetrySharers retrySharers() const;
    /// Reserves one retry of the service's budget, which all hosts share. False if none is left.
    bool tryReserveRetry(const std::string &service);

    /// Uses and counts what a server has said in an answer to any request of this host. Waiting
    /// requests that can't be served in time because of it are ended.
    void recordNotice(std::string_view id, std::int64_t startedAtMs, const ServerNotice &notice);

    /// An engine has answered a probe of this host, or has not.
    void onProbe(const std::string &server, bool answered);

    void sessionStarted(const std::shared_ptr<RequestSession> &session);
    /// Forgets the session, and lets waiting requests use its capacity.
    void sessionEnded(const std::shared_ptr<RequestSession> &session);
    /// Ends all open requests with a final answer, shortly before the process exits.
    void endSessionsAtExit();
    std::size_t openSessions() const { return m_sessions.size(); }
    /// A request that this host forwards for another one has begun or ended.
    void forwardStarted() { ++m_openForwards; }
    void forwardEnded() { --m_openForwards; }
    int openForwards() const { return m_openForwards; }

    /// Starts the waiting requests of all services for which servers have capacity.
    void admitWaitingRequests();
    /// Updates the metrics that show the current state.
    void refreshGauges();

private:
    /// Ends the requests that have a part in quarantine, unless they are past the beginning of
    /// their answer.
    void endQuarantinedSessions();
    /// Probes a server that other hosts suspect, if this host is one of those that should.
    void checkSuspicion(const std::string &server);

    LoopServices &m_loop;
    TimePoint m_startedAt;
    GatewaySettings m_settings;
    GatewayPlatform m_platform;
    FleetView m_view;
    ServerConnections m_connections;
    EngineProber m_survey;
    CrashInquiry m_crashes;
    CrashArchiver m_crashArchiver;
    PromptTrials m_trials;
    AdmissionControl m_admission;
    GatewayMetrics m_metrics;
    Random m_random;
    std::map<std::string, WaitQueue> m_queues;
    std::map<std::string, SharedRetryBudget> m_budgets;
    std::set<std::shared_ptr<RequestSession>> m_sessions;
    int m_openForwards = 0;
};

} // namespace dogwoodvalve
