#include "daemon/entry_process.h"

#include "codec/peer_codec.h"
#include "daemon/client_events.h"
#include "daemon/control_plane.h"
#include "daemon/entry_shard.h"
#include "daemon/http_platform.h"
#include "daemon/log.h"
#include "daemon/operator_api.h"
#include "daemon/peer_links.h"
#include "net/endpoint.h"

#include <dogwoodvalve/invariant.h>

#include <boost/asio/signal_set.hpp>
#include <openssl/rand.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace dogwoodvalve {

namespace {

constexpr Duration DrainPollInterval = 50ms;
/// A host answers for at least this long after a drain begins, so that callers whose requests have
/// just been sent get a reply that refers them to another entry host.
constexpr Duration MinDrainDuration = 1s;
/// How often freed memory is returned and the metrics of clients are updated.
constexpr Duration ClientCheckInterval = 500ms;

/// A number that grows with each start of a host: the time in milliseconds, with 16 random bits
/// below it to tell apart two starts in the same millisecond.
std::uint64_t makeBootNumber()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    std::uint16_t randomBits = 0;
    RAND_bytes(reinterpret_cast<unsigned char *>(&randomBits), sizeof(randomBits));
    return (static_cast<std::uint64_t>(millis) << 16) + randomBits;
}

void logInvariantFailure(std::string_view description)
{
    LogEvent("invariant_failed", LogLevel::Error).field("invariant", description);
    if (std::getenv("DOGWOODVALVE_ABORT_ON_INVARIANT"))
        std::abort();
}

/// Owns the parts of an entry process, starts them, drains them and shuts them down.
class EntryProcess : public ClientAccountObserver
{
public:
    explicit EntryProcess(const EntrySettings &settings)
        : m_context(settings, makeBootNumber(), &AsioTimerService::clockNow)
        , m_signals(m_loop, SIGTERM, SIGINT)
        , m_timers(m_loop)
        , m_platform(m_loop, settings.platform)
        , m_links(m_context.settings().peerSecrets, m_context.metrics())
        , m_control(m_context, m_timers, m_platform, m_links, [this] { configurationChanged(); })
        , m_operatorApi(m_control, [this] { drain(); })
        , m_operatorServer(m_loop, m_operatorApi, settings.http.forInternalPort(),
                           m_context.clients())
    {
        m_context.clients()->setObserver(this);
        for (int i = 0; i < settings.threads; ++i)
            m_shards.push_back(std::make_unique<EntryShard>(
                m_context, m_context.boot() + static_cast<std::uint64_t>(i)));
    }

    /// Called on the threads of the shards, too.
    void clientDropped(const HttpExchange &request, const DroppedClient &client) override
    {
        m_context.metrics().countDroppedClient(client);
        logDroppedClient("", request, client);
    }

    int run()
    {
        const Result<void> started = start();
        if (!started) {
            std::fprintf(stderr, "dogwoodvalve: %s\n", started.error().describe().c_str());
            return EXIT_FAILURE;
        }
        LogEvent("started")
            .field("name", m_context.settings().name)
            .field("listen", m_context.settings().listen)
            .field("boot", m_context.boot());
        m_loop.run();
        for (const auto &shard : m_shards)
            shard->stop();
        LogEvent("stopped").field("name", m_context.settings().name);
        return EXIT_SUCCESS;
    }

private:
    Result<void> start()
    {
        const auto operatorEndpoint = parseEndpoint(m_context.settings().operatorListen);
        if (!operatorEndpoint)
            return operatorEndpoint.error();
        m_links.setTransport(WebsocketTransport::create(m_loop, m_links, MaxPeerMessageBytes));
        m_links.setEvents(m_control);
        Result<void> result = m_operatorServer.listen(operatorEndpoint.value());
        if (result)
            result = m_links.listen(m_context.settings().peerListen);
        if (result)
            m_control.start();
        for (const auto &shard : m_shards) {
            if (result)
                result = shard->start();
        }
        awaitSignal();
        checkClients();
        return result;
    }

    void checkClients()
    {
        m_context.clients()->trimFreedMemory();
        m_context.metrics().setClients(*m_context.clients());
        m_timers.schedule(m_timers.now() + ClientCheckInterval, [this] { checkClients(); });
    }

    void configurationChanged()
    {
        for (const auto &shard : m_shards)
            shard->configurationChanged();
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec)
                return;
            LogEvent("signal").field("number", signal);
            if (m_context.draining.load())
                return finish();
            drain();
            awaitSignal();
        });
    }

    void drain()
    {
        if (m_context.draining.exchange(true))
            return;
        LogEvent("draining").field("open_requests", m_context.openRequests.load());
        m_control.announceDraining();
        m_drainStarted = m_timers.now();
        finishWhenDrained();
    }

    void finishWhenDrained()
    {
        const TimePoint now = m_timers.now();
        const bool answered = std::all_of(m_shards.begin(), m_shards.end(), [](const auto &shard) {
            return shard->exchangesInFlight() == 0;
        });
        if (answered && m_context.openRequests.load() <= 0
            && now - m_drainStarted >= MinDrainDuration)
            return finish();
        m_timers.schedule(now + DrainPollInterval, [this] { finishWhenDrained(); });
    }

    void finish()
    {
        m_control.leave();
        m_links.stop();
        // Leaves time to send the leave messages to the other entry hosts before the loop stops.
        m_timers.schedule(m_timers.now() + DrainPollInterval, [this] { m_loop.stop(); });
    }

    const RcuThreadRegistration m_rcuRegistration;
    boost::asio::io_context m_loop {1};
    EntryContext m_context;
    boost::asio::signal_set m_signals;
    AsioTimerService m_timers;
    HttpPlatform m_platform;
    PeerLinks m_links;
    ControlPlane m_control;
    OperatorApi m_operatorApi;
    HttpServer m_operatorServer;
    std::vector<std::unique_ptr<EntryShard>> m_shards;
    TimePoint m_drainStarted {};
};

} // namespace

int runEntryProcess(const EntrySettings &settings)
{
    returnLargeBlocksAtOnce();
    startLog(settings.logLevel, settings.logFile);
    setDecisionLogRate(static_cast<std::uint32_t>(settings.decisionLogRate));
    setInvariantHandler(&logInvariantFailure);
    return EntryProcess(settings).run();
}

} // namespace dogwoodvalve
