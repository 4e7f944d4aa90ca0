#include "gateway/gateway_process.h"

#include "daemon/client_events.h"
#include "daemon/log.h"
#include "gateway/fleet/placement_controller.h"
#include "gateway/gateway_node.h"
#include "gateway/peers/peer_api.h"
#include "gateway/peers/peer_exchange.h"
#include "gateway/requests/front_api.h"
#include "gateway/requests/request_limits.h"
#include "gateway/support_api.h"
#include "net/asio_loop_services.h"
#include "net/endpoint.h"

#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace dogwoodvalve {

namespace {

constexpr Duration AdmissionInterval = 25ms;
/// The other hosts' records are awaited this long before the first read of the store.
constexpr Duration MaxDiscoveryWait = 150ms;
constexpr Duration DrainPollInterval = 50ms;
/// Reading the small settings file is cheap, and a change of it is not urgent.
constexpr Duration SettingsPollInterval = 5s;
/// Callers may use a cached answer to a look-up for this long after the host began to leave.
constexpr Duration MinDrainTime = 2500ms;
/// The process exits this long before the platform would kill it.
constexpr Duration GraceMargin = 400ms;
/// Time to send the final answers of requests that are open at the end of the grace period.
constexpr Duration FinalAnswerTime = 100ms;
/// Must exceed the limit in the configuration for which callers' connections may be idle.
constexpr Duration CallerIdleTimeout = 120s;

/// For callers and for hosts that have their requests forwarded.
HttpServerLimits requestLimits()
{
    HttpServerLimits limits;
    limits.maxHeaderBytes = 64 * 1024;
    limits.maxBodyBytes = MaxRequestBodyBytes;
    limits.maxConnections = 3'000;
    limits.idleTimeout = CallerIdleTimeout;
    return limits;
}

/// Owns all components of a gateway host, starts them, and drains the host before it exits.
class GatewayProcess : public FleetViewObserver, public ClientAccountObserver
{
public:
    GatewayProcess(const GatewaySettings &settings, GatewaySettingsReader reader,
                   const GatewayPlatformFactory &platform)
        : m_services(m_loop)
        , m_settingsReader(std::move(reader))
        , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
        , m_node(m_services, settings, platform(m_services), m_services.unixMillis())
        , m_peerReader(m_node)
        , m_router(m_node)
        , m_peers(m_loop, m_node, m_router, m_peerReader)
        , m_placement(m_node)
        , m_frontApi(m_node)
        , m_supportApi(m_node)
        , m_peerApi(m_node, m_supportApi)
        , m_clients(
              std::make_shared<ClientAccount>(clientLimits(effectiveMachineSize(settings.machine))))
        , m_front(m_loop, m_frontApi, requestLimits(), m_clients)
        , m_lookup(m_loop, m_supportApi, {}, m_clients)
        , m_readiness(m_loop, m_supportApi, HttpServerLimits {}.forInternalPort(), m_clients)
        , m_peerServer(m_loop, m_peerApi, requestLimits().forInternalPort(), m_clients)
        , m_metricsServer(m_loop, m_supportApi, HttpServerLimits {}.forInternalPort(), m_clients)
    { }

    int run()
    {
        if (const Result<void> started = start(); !started) {
            std::fprintf(stderr, "dogwoodvalve: %s\n", started.error().describe().c_str());
            return 1;
        }
        LogEvent("started")
            .field("host", m_node.settings().name)
            .field("zone", m_node.settings().zone)
            .field("listen", m_node.settings().listen)
            .field("client_bytes", m_clients->limits().bytes)
            .field("client_connections", m_clients->limits().connections);
        m_loop.run();
        LogEvent("stopped")
            .field("open", m_node.openSessions())
            .field("exchanges", m_front.exchangesInFlight())
            .field("connections", m_front.connections())
            .field("draining_ms", (m_node.now() - m_drainStarted).count() / 1000);
        // Nothing is left to save, and waiting for the log library's idle threads could take longer
        // than the grace period.
        std::_Exit(0);
    }

    void configurationChanged() override { viewChanged(); }
    void serversChanged() override { viewChanged(); }
    void archiveRead() override { viewChanged(); }

    void clientDropped(const HttpExchange &request, const DroppedClient &client) override
    {
        m_node.metrics().countDroppedClient(client);
        logDroppedClient(request.method().empty() ? "" : m_node.dialect().decodeRequest(request).id,
                         request, client);
    }

private:
    Result<void> start()
    {
        const GatewaySettings &settings = m_node.settings();
        const std::pair<HttpServer *, const std::string *> servers[] {
            {&m_front, &settings.listen},
            {&m_lookup, &settings.lookupListen},
            {&m_readiness, &settings.readinessListen},
            {&m_peerServer, &settings.peerListen},
            {&m_metricsServer, &settings.metricsListen}};
        for (const auto &[server, address] : servers) {
            const auto endpoint = parseEndpoint(*address);
            if (!endpoint)
                return endpoint.error();
            if (Result<void> listening = server->listen(endpoint.value()); !listening)
                return listening;
        }
        m_node.view().setObserver(this);
        m_clients->setObserver(this);
        if (Result<void> started = m_peers.start([this] { startReading(); }); !started)
            return started;
        m_services.timers().schedule(m_node.now() + MaxDiscoveryWait, [this] { startReading(); });
        m_placement.start();
        m_node.survey().start();
        admitPeriodically();
        watchSettings();
        awaitSignal();
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    /// Whether this host reads the store at its start depends on which other hosts there are.
    void startReading()
    {
        if (std::exchange(m_reading, true))
            return;
        m_peerReader.start();
        m_node.platform().feed->start(m_node.view());
        m_node.crashArchiver().start();
    }

    void viewChanged()
    {
        if (!m_node.view().awaitsFirstReads())
            m_frontApi.serveHeldRequests();
        m_node.admitWaitingRequests();
    }

    void admitPeriodically()
    {
        m_node.admitWaitingRequests();
        m_clients->trimFreedMemory();
        m_node.metrics().setClients(*m_clients);
        m_services.timers().schedule(m_node.now() + AdmissionInterval,
                                     [this] { admitPeriodically(); });
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec)
                return;
            LogEvent("signal").field("number", signal);
            if (signal == SIGHUP)
                reload("signal");
            else
                drain();
            awaitSignal();
        });
    }

    void reload(std::string_view cause)
    {
        const Result<GatewaySettings> settings = m_settingsReader();
        LogEvent event("reload", settings ? LogLevel::Info : LogLevel::Error);
        event.field("cause", cause);
        if (!settings) {
            event.field("outcome", "kept").field("reason", settings.error().describe());
            return;
        }
        event.field("outcome", "applied");
        m_node.applySettings(settings.value());
    }

    /// Reloads a changed settings file, since the platform may change it without a signal.
    void watchSettings()
    {
        const Result<GatewaySettings> settings = m_settingsReader();
        if (settings && !(settings.value() == m_node.settings()))
            reload("file");
        m_services.timers().schedule(m_node.now() + SettingsPollInterval,
                                     [this] { watchSettings(); });
    }

    void drain()
    {
        if (m_node.view().leaving())
            return;
        m_node.view().setLeaving();
        m_peers.sendNow();
        m_placement.stop();
        m_node.platform().coordination->releaseLease(m_node.settings().name);
        m_node.platform().coordination->withdraw(m_node.settings().name);
        LogEvent("draining").field("open", m_node.openSessions());
        m_drainStarted = m_node.now();
        pollDrainEnd();
    }

    void pollDrainEnd()
    {
        const Duration elapsed = m_node.now() - m_drainStarted;
        const bool empty = m_node.openSessions() == 0 && m_front.exchangesInFlight() == 0
            && m_node.openForwards() == 0;
        if (empty && elapsed >= MinDrainTime) {
            // Connections that were made until now are still served.
            if (std::exchange(m_frontClosed, true))
                return m_loop.stop();
            m_front.stopAccepting();
        }
        if (elapsed >= m_node.settings().grace - GraceMargin - FinalAnswerTime) {
            m_node.endSessionsAtExit();
            m_services.timers().schedule(m_node.now() + FinalAnswerTime, [this] { m_loop.stop(); });
            return;
        }
        m_services.timers().schedule(m_node.now() + DrainPollInterval, [this] { pollDrainEnd(); });
    }

    boost::asio::io_context m_loop {1};
    AsioLoopServices m_services;
    GatewaySettingsReader m_settingsReader;
    boost::asio::signal_set m_signals;
    GatewayNode m_node;
    PeerReader m_peerReader;
    DigestRouter m_router;
    PeerExchange m_peers;
    PlacementController m_placement;
    FrontApi m_frontApi;
    SupportApi m_supportApi;
    PeerApi m_peerApi;
    std::shared_ptr<ClientAccount> m_clients;
    HttpServer m_front;
    HttpServer m_lookup;
    HttpServer m_readiness;
    HttpServer m_peerServer;
    HttpServer m_metricsServer;
    TimePoint m_drainStarted {};
    bool m_reading = false;
    bool m_frontClosed = false;
};

} // namespace

int runGatewayProcess(const GatewaySettings &settings, const GatewaySettingsReader &reader,
                      const GatewayPlatformFactory &platform)
{
    returnLargeBlocksAtOnce();
    startLogOnStandardOutput(settings.logLevel);
    setDecisionLogRate(static_cast<std::uint32_t>(settings.decisionLogRate));
    return GatewayProcess(settings, reader, platform).run();
}

} // namespace dogwoodvalve
