#pragma once

#include "forwarding_engine.h"
#include "gateway/fleet/placement_controller.h"
#include "gateway/gateway_node.h"
#include "gateway/peers/peer_api.h"
#include "gateway/peers/peer_reader.h"
#include "gateway/requests/front_api.h"
#include "gateway/requests/request_session.h"
#include "gateway/support_api.h"
#include "log_store.h"
#include "net/endpoint.h"
#include "platform/adapter.h"
#include "platform_objects.h"
#include "simulation/fake_plain_server.h"
#include "simulation/sim_http.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace dogwoodvalve::simulation {

using nlohmann::json;
using testtool::EngineFault;
using testtool::EngineMap;
using testtool::ForwardingEngine;
using testtool::LogStore;

inline constexpr const char *StoreAddress = "10.0.0.1:80";
inline constexpr const char *PlainAddress = "10.0.2.1:80";
inline constexpr const char *SecondPlainAddress = "10.0.2.2:80";
inline constexpr Duration AdmissionInterval = 25ms;
inline constexpr Duration DigestInterval = 100ms;
inline constexpr Duration HeartbeatInterval = 1200ms;
inline constexpr Duration CallerConnectTimeout = 1s;
/// Time until engines have loaded their layers and all hosts know of them.
inline constexpr Duration SettleTime = 6s;
/// Time from an engine's crash to its next start.
inline constexpr Duration EngineDowntime = 3s;
/// Slack of the hosts' retry budgets, in attempts.
inline constexpr double RetrySlack = 50;

/// What a caller received.
struct Answer
{
    int status = 0;
    std::vector<HttpField> fields;
    std::string body;
    bool complete = false;
    bool ended = false;
    std::string error;
    TimePoint endedAt {};
};

/// One caller's request, which lives as long as the simulation.
class Call : public HttpClientEvents
{
public:
    explicit Call(TimerService &timers)
        : m_timers(timers)
    { }
    void onHead(int status, std::span<const HttpField> fields) override
    {
        answer.status = status;
        answer.fields.assign(fields.begin(), fields.end());
    }
    void onBody(std::string_view part) override { answer.body += part; }
    void onEnd() override
    {
        answer.complete = true;
        end();
    }
    void onError(const Error &error) override
    {
        answer.error = error.message;
        end();
    }

    std::shared_ptr<HttpClientRequest> client;
    Answer answer;

private:
    void end()
    {
        answer.ended = true;
        answer.endedAt = m_timers.now();
    }

    TimerService &m_timers;
};

/// A gateway host of the daemon's own classes with the platform adapter, in virtual time.
class SimGateway : public FleetViewObserver
{
public:
    SimGateway(SimNetwork &network, std::shared_ptr<SimProcess> process,
               const GatewaySettings &settings, std::int64_t startedAtMs)
        : process(std::move(process))
        , m_services(network, this->process)
        , node(m_services, settings,
               platform::makePlatform(m_services, settings.store, settings.serverDrain),
               startedAtMs)
        , m_front(node)
        , m_support(node)
        , m_peerApi(node, m_support)
        , m_placement(node)
        , m_peerReader(node)
    {
        serveHttp(network, settings.listen, this->process, m_front);
        serveHttp(network, settings.lookupListen, this->process, m_support);
        serveHttp(network, settings.peerListen, this->process, m_peerApi);
        node.view().setObserver(this);
        node.platform().feed->start(node.view());
        node.crashArchiver().start();
        m_placement.start();
        m_peerReader.start();
        node.survey().start();
        admitPeriodically();
    }

    void receiveDigest(const HostDigest &digest)
    {
        node.view().applyDigest(digest);
        m_peerReader.onDigest(digest);
    }

    void configurationChanged() override { viewChanged(); }
    void serversChanged() override { viewChanged(); }
    void archiveRead() override { viewChanged(); }

    /// Whether the host is forwarding a request for another one.
    bool forwarding() const { return node.openForwards() > 0; }

    std::shared_ptr<SimProcess> process;

private:
    void viewChanged()
    {
        if (!node.view().awaitsFirstReads())
            m_front.serveHeldRequests();
        node.admitWaitingRequests();
    }
    void admitPeriodically()
    {
        node.admitWaitingRequests();
        node.timers().schedule(node.now() + AdmissionInterval, [this] { admitPeriodically(); });
    }

    SimLoopServices m_services;

public:
    GatewayNode node;

private:
    FrontApi m_front;
    SupportApi m_support;
    PeerApi m_peerApi;
    PlacementController m_placement;
    PeerReader m_peerReader;
};

/// A store, engines, a plain server, gateway hosts and callers on a simulated network.
class GatewayWorld
{
public:
    explicit GatewayWorld(int hosts = 1, int engines = 4, std::uint64_t seed = 1)
        : m_random(seed)
        , m_network(m_clock, m_random)
        , m_storeProcess(process("store"))
        , store(m_storeProcess->timers())
    {
        serveHttp(m_network, StoreAddress, m_storeProcess, store);
        for (int i = 0; i < engines; ++i)
            addEngine(i);
        serveHttp(m_network, PlainAddress, process("plain"), plain);
        registerPlain("p-1", PlainAddress);
        configure(1, {"good-key"});
        for (int i = 0; i < hosts; ++i)
            addHost(i);
        m_callerProcess = process("caller");
        m_callers = std::make_unique<SimLoopServices>(m_network, m_callerProcess);
        exchangeDigests();
        sendHeartbeats();
    }

    ~GatewayWorld()
    {
        for (const auto &it : m_processes)
            it->end();
    }

    std::shared_ptr<SimProcess> process(const std::string &name)
    {
        m_processes.push_back(std::make_shared<SimProcess>(m_clock, name, 1.0));
        return m_processes.back();
    }

    void registerServer(const std::string &id, const json &entry)
    {
        store.put("keyed.servers", id, entry.dump());
    }

    void registerPlain(const std::string &id, const std::string &address, bool draining = false)
    {
        registerServer(id, testtool::plainEntry("web", address, draining));
    }

    void registerEngine(int i)
    {
        registerServer("e-" + std::to_string(i + 1),
                       testtool::engineEntry("llm", "10.0.1." + std::to_string(i + 1) + ":80",
                                             engines[static_cast<std::size_t>(i)]->layers(),
                                             m_engineStarts[i]));
    }

    /// Restarts an engine under the same id and without layers.
    void restartEngine(int i)
    {
        engines[static_cast<std::size_t>(i)]->setLayers({});
        ++m_engineStarts[i];
    }

    void addEngine(int i)
    {
        const std::string address = "10.0.1." + std::to_string(i + 1) + ":80";
        const auto engineProcess = process("engine-" + std::to_string(i + 1));
        engines.push_back(std::make_unique<ForwardingEngine>(
            engineProcess->timers(), m_engineMap, address, "e-" + std::to_string(i + 1)));
        serveHttp(m_network, address, engineProcess, *engines.back());
        registerEngine(i);
    }

    /// Adds a second plain server.
    void addPlainServer(FakePlainServer &server)
    {
        serveHttp(m_network, SecondPlainAddress, process("plain-2"), server);
        registerPlain("p-2", SecondPlainAddress);
    }

    void configure(int version, const std::vector<std::string> &keys, bool canResume = true)
    {
        configure(configurationObject(version, keys, canResume));
    }

    void configure(const json &configuration)
    {
        store.put("keyed.op", "config", configuration.dump());
    }

    static json configurationObject(int version, const std::vector<std::string> &keys,
                                    bool canResume = true)
    {
        const auto route = [canResume](const char *prefix, const char *kind, const char *service) {
            json object = testtool::routeObject("site", prefix, kind, service);
            object["CanResume"] = canResume;
            return object;
        };
        return {{"Version", version},
                {"Routes",
                 {route("/gen/", "streaming", "llm"), route("/read/", "safe", "web"),
                  route("/write/", "unsafe", "web")}},
                {"Services",
                 {{{"Name", "llm"}, {"Engine", testtool::engineObject()}}, {{"Name", "web"}}}},
                {"Tenants", {{{"Name", "workspace"}, {"ApiKeys", keys}}}}};
    }

    void addHost(int i) { hosts.push_back(makeHost(i)); }

    void endHost(int i)
    {
        SimProcess &ended = *hosts[static_cast<std::size_t>(i)]->process;
        ended.end();
        m_network.processEnded(&ended);
    }

    /// Kills a host's process, if it runs, and starts a new one.
    void restartHost(int i)
    {
        auto &host = hosts[static_cast<std::size_t>(i)];
        endHost(i);
        m_endedHosts.push_back(std::exchange(host, makeHost(i)));
    }

    std::unique_ptr<SimGateway> makeHost(int i)
    {
        GatewaySettings settings;
        settings.name = "host-" + std::to_string(i + 1);
        settings.zone = "a";
        settings.listen = addressOf(i, "80");
        settings.lookupListen = addressOf(i, "81");
        settings.peerListen = addressOf(i, "82");
        settings.store = StoreAddress;
        settings.retries.slack = RetrySlack;
        return std::make_unique<SimGateway>(m_network, process(settings.name), settings,
                                            ++m_hostStarts);
    }

    /// Blocks all messages between the store and a host, which may not have started yet.
    void disconnectFromStore(int host)
    {
        const std::string name = "host-" + std::to_string(host + 1);
        m_network.cut(name, "store");
        m_network.cut("store", name);
    }

    void run(Duration time) { m_clock.timers().advanceTo(m_clock.now() + time); }
    TimePoint now() const { return m_clock.now(); }
    void settle() { run(SettleTime); }

    std::shared_ptr<Call> call(const std::string &method, const std::string &target,
                               std::vector<HttpField> fields = {}, int host = 0,
                               const std::string &key = "good-key")
    {
        HttpRequestHead head;
        head.method = method;
        head.target = target;
        head.fields = std::move(fields);
        head.fields.push_back({"Host", "site"});
        head.fields.push_back({"Api-Key", key});
        head.fields.push_back({"X-Request-Id", "r" + std::to_string(++m_calls)});
        return send(head, method == "POST" ? "body" : "", addressOf(host, "80"));
    }

    /// Sends a request that names a server to one of the ports of a host.
    std::shared_ptr<Call> forwardThrough(int host, const std::string &target,
                                         const std::string &port)
    {
        HttpRequestHead head;
        head.method = "GET";
        head.target = target;
        head.fields = {{"Host", "site"}, {"X-Request-Id", "r" + std::to_string(++m_calls)}};
        return send(head, "", addressOf(host, port));
    }

    /// Asks a host for the addresses that callers should use.
    std::shared_ptr<Call> lookUp(int host)
    {
        HttpRequestHead head;
        head.method = "GET";
        head.target = "/v1/resolve?Name=site&Zone=a";
        return send(head, "", addressOf(host, "81"));
    }

    /// Lets engines crash that begin to answer a request with this part. A crashed engine starts
    /// again after a while, without layers.
    void setCrashingPart(const std::string &part,
                         testtool::CrashMoment moment = testtool::CrashMoment::AfterHead)
    {
        for (std::size_t i = 0; i < engines.size(); ++i)
            engines[i]->setCrashingPart(
                part, [this, i] { onEngineCrash(static_cast<int>(i)); }, moment);
    }

    /// Sends a generation whose prompt has these parts, and one of its own.
    std::shared_ptr<Call> generateWith(const std::string &parts, int host = 0)
    {
        return call("POST", "/gen/x",
                    {{"X-Token-Usage", "100,60"},
                     {"X-Deadline-Ms", "8000"},
                     {"X-Prompt-Prefix", parts + ",f" + std::to_string(m_calls) + ":20"}},
                    host);
    }

    std::shared_ptr<Call> generate(int host = 0, const std::string &key = "good-key")
    {
        return call("POST", "/gen/x", {{"X-Token-Usage", "100,60"}, {"X-Deadline-Ms", "8000"}},
                    host, key);
    }

    /// Sends a generation to a host and returns the engine that ran it first, or an empty text.
    std::string probeFirstEngine(int host)
    {
        const auto call = generate(host);
        const std::string id = lastId();
        run(3s);
        for (std::size_t i = 0; i < engines.size(); ++i) {
            if (engines[i]->runs().count(id) > 0)
                return "e-" + std::to_string(i + 1);
        }
        return {};
    }
    ForwardingEngine &engine(const std::string &id)
    {
        return *engines.at(std::stoul(id.substr(2)) - 1);
    }

    std::string lastId() const { return "r" + std::to_string(m_calls); }

    /// Number of times that engines have begun to run a request, by its id.
    int runsOf(const std::string &id) const
    {
        int runs = 0;
        for (const auto &engine : engines) {
            const auto it = engine->runs().find(id);
            runs += it == engine->runs().end() ? 0 : it->second;
        }
        return runs;
    }

private:
    static std::string addressOf(int host, const std::string &port)
    {
        return "10.0.3." + std::to_string(host + 1) + ':' + port;
    }

    std::shared_ptr<Call> send(HttpRequestHead head, const std::string &body,
                               const std::string &address)
    {
        auto call = std::make_shared<Call>(m_callers->timers());
        head.bodyBytes = body.size();
        call->client = m_callers->createHttpClient();
        call->client->start(parseEndpoint(address).value(), head, CallerConnectTimeout, *call);
        call->client->write(body);
        calls.push_back(call);
        return call;
    }

    void onEngineCrash(int i)
    {
        crashes.push_back(now());
        if (engines[static_cast<std::size_t>(i)]->crashedByPrompt())
            crashesByPrompt.push_back(now());
        m_clock.after(engineDowntime, [this, i] {
            restartEngine(i);
            engines[static_cast<std::size_t>(i)]->setFault(EngineFault::None);
            registerEngine(i);
        });
    }

    void sendHeartbeats()
    {
        for (std::size_t i = 0; i < engines.size(); ++i) {
            if (!engines[i]->standsStill())
                registerEngine(static_cast<int>(i));
        }
        m_clock.after(HeartbeatInterval, [this] { sendHeartbeats(); });
    }

    static bool isRunning(const SimGateway &host)
    {
        return host.process->alive() && !host.process->frozen();
    }

    void exchangeDigests()
    {
        for (const auto &from : hosts) {
            if (!isRunning(*from))
                continue;
            const HostDigest digest = from->node.view().nextDigest();
            for (const auto &to : hosts) {
                if (isRunning(*to) && m_network.passes(from->process->name(), to->process->name()))
                    to->receiveDigest(digest);
            }
        }
        m_clock.after(DigestInterval, [this] { exchangeDigests(); });
    }

    SimClock m_clock;
    Random m_random;
    SimNetwork m_network;
    std::vector<std::shared_ptr<SimProcess>> m_processes;
    std::shared_ptr<SimProcess> m_storeProcess;
    std::shared_ptr<SimProcess> m_callerProcess;
    std::unique_ptr<SimLoopServices> m_callers;
    EngineMap m_engineMap;
    int m_calls = 0;
    std::int64_t m_hostStarts = 0;
    std::map<int, std::int64_t> m_engineStarts;
    /// Hosts whose process has ended; their pending callbacks may still refer to them.
    std::vector<std::unique_ptr<SimGateway>> m_endedHosts;

public:
    LogStore store;
    std::vector<std::unique_ptr<ForwardingEngine>> engines;
    FakePlainServer plain;
    std::vector<std::unique_ptr<SimGateway>> hosts;
    std::vector<std::shared_ptr<Call>> calls;
    Duration engineDowntime = EngineDowntime;
    /// When engines crashed, and those of these crashes that a prompt caused.
    std::vector<TimePoint> crashes;
    std::vector<TimePoint> crashesByPrompt;

    SimNetwork &network() { return m_network; }
    Random &random() { return m_random; }
    void after(Duration delay, std::function<void()> callback)
    {
        m_clock.after(delay, std::move(callback));
    }
};

} // namespace dogwoodvalve::simulation
