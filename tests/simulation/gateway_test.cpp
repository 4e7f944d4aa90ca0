#include "forwarding_engine.h"
#include "gateway/front_api.h"
#include "gateway/gateway_node.h"
#include "gateway/placement_controller.h"
#include "gateway/request_session.h"
#include "gateway/support_api.h"
#include "log_store.h"
#include "net/endpoint.h"
#include "platform/adapter.h"
#include "simulation/sim_http.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <optional>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;
using namespace dogwoodvalve::testtool;
using nlohmann::json;

namespace {

constexpr const char *StoreAddress = "10.0.0.1:80";
constexpr int Layers = 8;

/// One pretended plain server: echoes, and can break its answers.
class PlainStandIn : public HttpHandler
{
public:
    void handle(const std::shared_ptr<HttpExchange> &exchange) override
    {
        ++runs;
        seen.emplace_back(exchange->header("X-Tenant"));
        if (!exchange->header("Api-Key").empty())
            seen.emplace_back("key passed on");
        if (aborts)
            return exchange->abort();
        const std::vector<HttpField> fields {
            {"X-Request-Id", std::string(exchange->header("X-Request-Id"))},
            {"X-Server-Stamp", "plain"}};
        if (refuses)
            return exchange->respond(503, std::vector<HttpField> {{"X-Not-Run", "1"}}, "");
        exchange->respond(status, status == 200 && !stamps ? std::vector<HttpField> {} : fields,
                          "done");
    }

    int runs = 0;
    int status = 200;
    bool aborts = false;
    bool refuses = false;
    bool stamps = true;
    std::vector<std::string> seen;
};

/// What a caller got.
struct Answer
{
    int status = 0;
    std::vector<HttpField> fields;
    std::string body;
    bool whole = false;
    bool ended = false;
    std::string error;
    TimePoint endedAt {};
};

/// One caller's request, which lives as long as the world.
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
        answer.whole = true;
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

/// A gateway host's own classes in virtual time, with the platform's adapter.
class SimGateway : public FleetViewObserver
{
public:
    SimGateway(SimNetwork &network, std::shared_ptr<SimProcess> process,
               const GatewaySettings &settings)
        : process(std::move(process))
        , m_services(network, this->process)
        , node(m_services, settings,
               platform::makePlatform(m_services, settings.store, settings.serverDrain), 1)
        , m_front(node)
        , m_support(node)
        , m_placement(node)
    {
        serveHttp(network, settings.listen, this->process, m_front);
        serveHttp(network, settings.lookupListen, this->process, m_support);
        node.view().setObserver(this);
        node.platform().feed->start(node.view());
        m_placement.start();
        pump();
    }

    void configurationChanged() override { viewChanged(); }
    void serversChanged() override { viewChanged(); }

    std::shared_ptr<SimProcess> process;

private:
    void viewChanged()
    {
        if (!node.view().starting())
            m_front.releaseHeld();
        node.pumpQueues();
    }
    void pump()
    {
        node.pumpQueues();
        node.timers().subscribe(node.now() + 25ms, [this] { pump(); });
    }

    SimLoopServices m_services;

public:
    GatewayNode node;

private:
    FrontApi m_front;
    SupportApi m_support;
    PlacementController m_placement;
};

/// A store, engines, a plain server, hosts and callers on a pretended network.
class World
{
public:
    explicit World(int hosts = 1, int engines = 4)
        : m_network(m_clock, m_random)
        , m_storeProcess(process("store"))
        , store(m_storeProcess->timers())
    {
        serveHttp(m_network, StoreAddress, m_storeProcess, store);
        for (int i = 0; i < engines; ++i)
            addEngine(i);
        serveHttp(m_network, "10.0.2.1:80", process("plain"), plain);
        registerServer("p-1",
                       {{"Service", "web"},
                        {"Addr", "10.0.2.1:80"},
                        {"Zone", "a"},
                        {"Slots", 6},
                        {"State", "ready"}});
        configure(1, {"good-key"});
        for (int i = 0; i < hosts; ++i)
            addHost(i);
        m_callerProcess = process("caller");
        m_callers = std::make_unique<SimLoopServices>(m_network, m_callerProcess);
        exchangeDigests();
        sendHeartbeats();
    }

    ~World()
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

    void registerEngine(int i, const char *state = "ready")
    {
        const LayerSpan layers = engines[static_cast<std::size_t>(i)]->layers();
        json entry = {{"Service", "llm"}, {"Addr", "10.0.1." + std::to_string(i + 1) + ":80"},
                      {"Zone", "a"},      {"Kind", "card"},
                      {"Slots", 100},     {"State", state},
                      {"Layers", nullptr}};
        if (!layers.empty())
            entry["Layers"] = {{"From", layers.first}, {"Target", layers.end}};
        registerServer("e-" + std::to_string(i + 1), entry);
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

    void configure(int version, const std::vector<std::string> &keys)
    {
        const json engine = {
            {"Layers", Layers},
            {"LayerMb", 100},
            {"KvTokenBytes", 8000},
            {"step_ms", 5},
            {"read_per_s", 100000},
            {"Stride", 1},
            {"Models", {{{"Name", "m"}, {"LoadS", 1}}}},
            {"Kinds", {{{"Name", "card"}, {"SizeMb", 800}, {"pace", 1}, {"ReadFactor", 1}}}}};
        const auto route = [](const char *prefix, const char *kind, const char *service) {
            return json {{"Name", prefix},   {"Host", "site"},     {"PathPrefix", prefix},
                         {"Kind", kind},     {"TimeoutMs", 10000}, {"TargetLatencyMs", 500},
                         {"MaxAttempts", 2}, {"Service", service}, {"CanResume", true}};
        };
        const json configuration = {
            {"Version", version},
            {"Routes",
             {route("/gen/", "streaming", "llm"), route("/read/", "safe", "web"),
              route("/write/", "unsafe", "web")}},
            {"Services", {{{"Name", "llm"}, {"Engine", engine}}, {{"Name", "web"}}}},
            {"Tenants", {{{"Name", "workspace"}, {"ApiKeys", keys}}}}};
        store.put("keyed.op", "config", configuration.dump());
    }

    void addHost(int i)
    {
        GatewaySettings settings;
        settings.name = "host-" + std::to_string(i + 1);
        settings.zone = "a";
        const std::string ip = "10.0.3." + std::to_string(i + 1);
        settings.listen = ip + ":80";
        settings.lookupListen = ip + ":81";
        settings.store = StoreAddress;
        settings.retries.slack = 50;
        hosts.push_back(std::make_unique<SimGateway>(m_network, process(settings.name), settings));
    }

    void run(Duration time) { m_clock.timers().advanceTo(m_clock.now() + time); }
    TimePoint now() const { return m_clock.now(); }
    /// Until engines hold layers and hosts know it.
    void settle() { run(6s); }

    std::shared_ptr<Call> call(const std::string &method, const std::string &target,
                               std::vector<HttpField> fields = {}, int host = 0,
                               const std::string &key = "good-key")
    {
        auto call = std::make_shared<Call>(m_callers->timers());
        HttpRequestHead head;
        head.method = method;
        head.target = target;
        head.fields = std::move(fields);
        head.fields.push_back({"Host", "site"});
        head.fields.push_back({"Api-Key", key});
        head.fields.push_back({"X-Request-Id", "r" + std::to_string(++m_calls)});
        head.bodyBytes = method == "POST" ? 4 : 0;
        call->client = m_callers->createHttpClient();
        call->client->start(parseEndpoint("10.0.3." + std::to_string(host + 1) + ":80").value(),
                            head, 1s, *call);
        call->client->write(method == "POST" ? "body" : "");
        calls.push_back(call);
        return call;
    }

    std::shared_ptr<Call> generate(int host = 0, const std::string &key = "good-key")
    {
        return call("POST", "/gen/x", {{"X-Token-Usage", "100,60"}, {"X-Deadline-Ms", "8000"}},
                    host, key);
    }

    std::string lastId() const { return "r" + std::to_string(m_calls); }

    static std::string wholeStream(const std::string &id)
    {
        std::string text;
        for (int i = 1; i <= ForwardingEngine::Events; ++i)
            text += ForwardingEngine::eventOf(id, i);
        return text;
    }

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
    void sendHeartbeats()
    {
        for (std::size_t i = 0; i < engines.size(); ++i) {
            if (!engines[i]->dark())
                registerEngine(static_cast<int>(i));
        }
        m_clock.after(1200ms, [this] { sendHeartbeats(); });
    }

    void exchangeDigests()
    {
        for (const auto &from : hosts) {
            const HostDigest digest = from->node.view().digest();
            for (const auto &to : hosts) {
                if (m_network.passes(from->process->name(), to->process->name()))
                    to->node.view().takeDigest(digest);
            }
        }
        m_clock.after(100ms, [this] { exchangeDigests(); });
    }

    SimClock m_clock;
    Random m_random {1};
    SimNetwork m_network;
    std::vector<std::shared_ptr<SimProcess>> m_processes;
    std::shared_ptr<SimProcess> m_storeProcess;
    std::shared_ptr<SimProcess> m_callerProcess;
    std::unique_ptr<SimLoopServices> m_callers;
    EngineMap m_engineMap;
    int m_calls = 0;

public:
    LogStore store;
    std::vector<std::unique_ptr<ForwardingEngine>> engines;
    PlainStandIn plain;
    std::vector<std::unique_ptr<SimGateway>> hosts;
    std::vector<std::shared_ptr<Call>> calls;

    SimNetwork &network() { return m_network; }
};

std::string text(const Answer &answer)
{
    return std::to_string(answer.status) + ' ' + answer.error + ' ' + answer.body.substr(0, 200);
}

} // namespace

/// A gateway host's own classes and the platform's adapter, in virtual time, before stand-ins that
/// speak the platform's protocols and fail.
class GatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(layersAreOrderedAndStreamsAreWhole);
    CPPUNIT_TEST(aDarkEngineCostsUnderASecond);
    CPPUNIT_TEST(aStreamThatBreaksOffGoesOnElsewhere);
    CPPUNIT_TEST(aMissingEventNeverReachesTheCaller);
    CPPUNIT_TEST(anUnstampedStreamIsNotDelivered);
    CPPUNIT_TEST(anEnginesOwnFailureReachesTheCaller);
    CPPUNIT_TEST(aRefusalThatSaysNotRunIsTrue);
    CPPUNIT_TEST(nonIdempotentRequestsRunOnce);
    CPPUNIT_TEST(idempotentRequestsAreRepeatedWithinTheirAttempts);
    CPPUNIT_TEST(unstampedPlainAnswersAreNotDelivered);
    CPPUNIT_TEST(keysAreCheckedAndNotPassedOn);
    CPPUNIT_TEST(aKeyTakenAwayIsRefusedInTime);
    CPPUNIT_TEST(aHostCutFromTheStoreServesWhilePeersVouch);
    CPPUNIT_TEST(aHostAloneStopsJudgingKeysInTime);
    CPPUNIT_TEST(steadyPollsKeepKeysTrusted);
    CPPUNIT_TEST(configurationNeverGoesBack);
    CPPUNIT_TEST(forgottenHistoryIsReadAnew);
    CPPUNIT_TEST(unusableRegistrationsNameNoServer);
    CPPUNIT_TEST(aDrainingServerGetsNothingNew);
    CPPUNIT_TEST(aCallerThatLeavesEndsItsRun);
    CPPUNIT_TEST(requestsAtStartUpWaitForTheConfiguration);
    CPPUNIT_TEST(theLeaseHasOneHolderAndItsOrdersAreFenced);
    CPPUNIT_TEST(timeoutsOfRoutesAreKept);
    CPPUNIT_TEST(aLeavingHostFinishesWhatItHasAndTakesNothingThatItCannotFinish);
    CPPUNIT_TEST(whatAnEngineReportedHoldsWhileTheStoreIsDown);
    CPPUNIT_TEST_SUITE_END();

    static void expectWhole(const World &world, const Call &call, const std::string &id)
    {
        CPPUNIT_ASSERT_MESSAGE(text(call.answer), call.answer.whole);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text(call.answer), 200, call.answer.status);
        CPPUNIT_ASSERT_EQUAL(World::wholeStream(id), call.answer.body);
        CPPUNIT_ASSERT(world.runsOf(id) >= 1);
    }

    void layersAreOrderedAndStreamsAreWhole()
    {
        World world;
        world.settle();
        std::vector<int> holders(Layers, 0);
        for (const auto &engine : world.engines) {
            CPPUNIT_ASSERT(!engine->layers().empty());
            for (int layer = engine->layers().first; layer < engine->layers().end; ++layer)
                ++holders[static_cast<std::size_t>(layer)];
        }
        CPPUNIT_ASSERT(*std::min_element(holders.begin(), holders.end()) >= 1);
        for (int i = 0; i < 20; ++i) {
            const auto call = world.generate();
            const std::string id = world.lastId();
            world.run(1s);
            expectWhole(world, *call, id);
            CPPUNIT_ASSERT_EQUAL(1, world.runsOf(id));
        }
    }

    void aDarkEngineCostsUnderASecond()
    {
        World world(1, 6);
        world.settle();
        const auto call = world.generate();
        const std::string id = world.lastId();
        world.run(150ms);
        for (const auto &engine : world.engines) {
            // Not the first of the path, whose connection would say so.
            if (engine->runs().count(id) == 0 && engine->layers().first > 0) {
                engine->setFault(EngineFault::Dark);
                break;
            }
        }
        world.run(4s);
        CPPUNIT_ASSERT_MESSAGE(text(call->answer), call->answer.whole);
        CPPUNIT_ASSERT_EQUAL(World::wholeStream(id), call->answer.body);
    }

    void aStreamThatBreaksOffGoesOnElsewhere()
    {
        World world(1, 6);
        world.settle();
        for (int i = 0; i < 6; ++i) {
            world.engines[static_cast<std::size_t>(i)]->setFault(EngineFault::BreaksOff);
            const auto call = world.generate();
            const std::string id = world.lastId();
            world.run(3s);
            expectWhole(world, *call, id);
            world.engines[static_cast<std::size_t>(i)]->setFault(EngineFault::None);
            world.run(3s);
        }
    }

    void aMissingEventNeverReachesTheCaller()
    {
        World world(1, 6);
        world.settle();
        for (const auto &engine : world.engines)
            engine->setFault(EngineFault::SkipsAnEvent);
        const auto call = world.generate();
        const std::string id = world.lastId();
        world.run(5s);
        // Each run leaves out its seventh event: the caller sees those before it, and no end.
        CPPUNIT_ASSERT(call->answer.ended);
        CPPUNIT_ASSERT(!call->answer.whole);
        CPPUNIT_ASSERT(World::wholeStream(id).rfind(call->answer.body, 0) == 0);
    }

    void anUnstampedStreamIsNotDelivered()
    {
        World world;
        world.settle();
        for (const auto &engine : world.engines)
            engine->setFault(EngineFault::Unstamped);
        const auto call = world.generate();
        world.run(5s);
        CPPUNIT_ASSERT(call->answer.ended);
        CPPUNIT_ASSERT_MESSAGE(text(call->answer), call->answer.status >= 500);
        CPPUNIT_ASSERT(call->answer.status != 503);
    }

    void anEnginesOwnFailureReachesTheCaller()
    {
        World world;
        world.settle();
        for (const auto &engine : world.engines)
            engine->setFault(EngineFault::Fails);
        const auto call = world.generate();
        const std::string id = world.lastId();
        world.run(5s);
        CPPUNIT_ASSERT_EQUAL(500, call->answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), call->answer.body);
        CPPUNIT_ASSERT_EQUAL(2, world.runsOf(id));
    }

    void aRefusalThatSaysNotRunIsTrue()
    {
        World world;
        world.settle();
        for (const auto &engine : world.engines)
            engine->setFault(EngineFault::Refuses);
        const auto call = world.generate();
        const std::string id = world.lastId();
        world.run(5s);
        CPPUNIT_ASSERT_EQUAL(503, call->answer.status);
        CPPUNIT_ASSERT_EQUAL(0, world.runsOf(id));
        CPPUNIT_ASSERT(call->answer.endedAt - world.now() < 4s);
    }

    void nonIdempotentRequestsRunOnce()
    {
        World world;
        world.settle();
        world.plain.aborts = true;
        const auto call = world.call("POST", "/write/x");
        world.run(3s);
        CPPUNIT_ASSERT_EQUAL(1, world.plain.runs);
        CPPUNIT_ASSERT_EQUAL(502, call->answer.status);
        world.plain.aborts = false;
        world.plain.status = 500;
        const auto second = world.call("POST", "/write/x");
        world.run(3s);
        CPPUNIT_ASSERT_EQUAL(2, world.plain.runs);
        CPPUNIT_ASSERT_EQUAL(500, second->answer.status);
    }

    void idempotentRequestsAreRepeatedWithinTheirAttempts()
    {
        World world;
        PlainStandIn other;
        serveHttp(world.network(), "10.0.2.2:80", world.process("plain-2"), other);
        world.registerServer("p-2",
                             {{"Service", "web"},
                              {"Addr", "10.0.2.2:80"},
                              {"Zone", "a"},
                              {"Slots", 6},
                              {"State", "ready"}});
        world.settle();
        world.plain.aborts = other.aborts = true;
        const auto call = world.call("GET", "/read/x");
        world.run(3s);
        CPPUNIT_ASSERT_EQUAL(2, world.plain.runs + other.runs);
        CPPUNIT_ASSERT_EQUAL(502, call->answer.status);
        other.aborts = false;
        for (int i = 0; i < 5; ++i) {
            const auto again = world.call("GET", "/read/x");
            world.run(3s);
            CPPUNIT_ASSERT_MESSAGE(text(again->answer), again->answer.status == 200);
        }
    }

    void unstampedPlainAnswersAreNotDelivered()
    {
        World world;
        world.settle();
        world.plain.stamps = false;
        const auto call = world.call("POST", "/write/x");
        world.run(3s);
        CPPUNIT_ASSERT_EQUAL(502, call->answer.status);
        CPPUNIT_ASSERT_EQUAL(1, world.plain.runs);
    }

    void keysAreCheckedAndNotPassedOn()
    {
        World world;
        world.settle();
        const auto bad = world.call("GET", "/read/x", {}, 0, "bad-key");
        const auto forged = world.call("GET", "/read/x", {{"X-Tenant", "another"}});
        const auto nowhere = world.call("GET", "/other/x");
        world.run(1s);
        CPPUNIT_ASSERT_EQUAL(401, bad->answer.status);
        CPPUNIT_ASSERT_EQUAL(404, nowhere->answer.status);
        CPPUNIT_ASSERT_EQUAL(200, forged->answer.status);
        CPPUNIT_ASSERT((world.plain.seen == std::vector<std::string> {"workspace"}));
    }

    void aKeyTakenAwayIsRefusedInTime()
    {
        World world(3);
        world.settle();
        world.configure(2, {"other-key"});
        world.run(2s);
        for (int host = 0; host < 3; ++host) {
            const auto call = world.call("GET", "/read/x", {}, host);
            world.run(500ms);
            CPPUNIT_ASSERT_EQUAL(401, call->answer.status);
        }
    }

    void aHostCutFromTheStoreServesWhilePeersVouch()
    {
        World world(3);
        world.settle();
        world.network().cut("host-1", "store");
        world.network().cut("store", "host-1");
        for (int i = 0; i < 10; ++i) {
            world.run(2s);
            const auto call = world.call("GET", "/read/x");
            world.run(500ms);
            CPPUNIT_ASSERT_EQUAL(200, call->answer.status);
        }
    }

    void aHostAloneStopsJudgingKeysInTime()
    {
        World world;
        world.settle();
        world.store.setFaults({503, false, {}});
        const TimePoint lost = world.now();
        for (int i = 0; i < 40; ++i) {
            const auto call = world.call("GET", "/read/x");
            world.run(200ms);
            // 5 s after a key was taken away it must not be accepted anywhere.
            if (world.now() - lost > 4800ms)
                CPPUNIT_ASSERT_EQUAL(503, call->answer.status);
        }
        world.store.setFaults({});
        world.run(1s);
        const auto call = world.call("GET", "/read/x");
        world.run(200ms);
        CPPUNIT_ASSERT_EQUAL(200, call->answer.status);
    }

    void steadyPollsKeepKeysTrusted()
    {
        World world;
        world.settle();
        for (int i = 0; i < 100; ++i) {
            world.run(250ms);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), world.hosts[0]->node.view().keysTrusted());
        }
    }

    void configurationNeverGoesBack()
    {
        World world;
        world.settle();
        world.configure(9, {"good-key"});
        world.run(1s);
        world.configure(4, {"old-key"});
        world.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {9},
                             world.hosts[0]->node.view().configuration()->version());
    }

    void forgottenHistoryIsReadAnew()
    {
        World world;
        world.settle();
        world.store.setFaults({503, false, {}});
        world.run(100ms);
        world.configure(7, {"new-key"});
        world.store.put("keyed.servers", "p-1", std::nullopt);
        world.store.forgetHistory();
        world.store.setFaults({});
        world.run(4s);
        const FleetView &view = world.hosts[0]->node.view();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {7}, view.configuration()->version());
        CPPUNIT_ASSERT(view.registry().find("p-1") == nullptr);
        CPPUNIT_ASSERT(view.registry().find("e-1") != nullptr);
    }

    void unusableRegistrationsNameNoServer()
    {
        World world;
        world.settle();
        const std::size_t before = world.hosts[0]->node.view().registry().servers().size();
        world.store.put("keyed.servers", "x-1", "\xff\xfe");
        world.registerServer("x-2", {{"Service", 5}, {"Addr", "10.0.9.1:80"}, {"State", "ready"}});
        world.registerServer("x-3", {{"Service", "web"}, {"Addr", "nowhere"}, {"State", "ready"}});
        world.registerServer("x-4",
                             {{"Service", "web"}, {"Addr", "10.0.9.1:80"}, {"State", "odd"}});
        world.registerServer("p-1", {{"Service", "web"}});
        world.run(2s);
        // The four name no server, the entry of p-1 does not any more, and the others hold.
        CPPUNIT_ASSERT_EQUAL(before - 1, world.hosts[0]->node.view().registry().servers().size());
    }

    void aDrainingServerGetsNothingNew()
    {
        World world;
        world.settle();
        world.registerServer("p-1",
                             {{"Service", "web"},
                              {"Addr", "10.0.2.1:80"},
                              {"Zone", "a"},
                              {"Slots", 6},
                              {"State", "draining"}});
        world.run(1500ms);
        const int before = world.plain.runs;
        for (int i = 0; i < 5; ++i)
            world.call("GET", "/read/x");
        world.run(2s);
        CPPUNIT_ASSERT_EQUAL(before, world.plain.runs);
    }

    void aCallerThatLeavesEndsItsRun()
    {
        World world;
        world.settle();
        const auto call = world.generate();
        world.run(100ms);
        call->client->close();
        world.run(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, world.hosts[0]->node.openSessions());
        for (const auto &[id, load] : world.hosts[0]->node.view().digest().commitments)
            CPPUNIT_FAIL("memory is still promised on " + id);
    }

    void requestsAtStartUpWaitForTheConfiguration()
    {
        World world;
        const auto call = world.call("GET", "/read/x");
        world.run(1s);
        CPPUNIT_ASSERT_MESSAGE(text(call->answer), call->answer.status == 200);
        World down;
        down.store.setFaults({503, false, {}});
        down.addHost(1);
        const TimePoint asked = down.now();
        const auto refused = down.call("GET", "/read/x", {}, 1);
        down.run(2s);
        CPPUNIT_ASSERT_EQUAL(503, refused->answer.status);
        CPPUNIT_ASSERT(refused->answer.endedAt - asked < 600ms);
    }

    void theLeaseHasOneHolderAndItsOrdersAreFenced()
    {
        World world(3);
        world.settle();
        std::uint64_t fence = 0;
        for (const auto &engine : world.engines) {
            CPPUNIT_ASSERT_EQUAL(1, engine->orders());
            CPPUNIT_ASSERT(engine->fence() > 0);
            fence = std::max(fence, engine->fence());
        }
        // The holder dies; an engine that comes back empty is filled by the next holder.
        world.network().processEnded(world.hosts[0]->process.get());
        world.hosts[0]->process->end();
        world.engines[2]->setLayers({});
        world.registerEngine(2);
        world.run(15s);
        CPPUNIT_ASSERT(!world.engines[2]->layers().empty());
        CPPUNIT_ASSERT(world.engines[2]->fence() > fence);
    }

    void aLeavingHostFinishesWhatItHasAndTakesNothingThatItCannotFinish()
    {
        World world(2);
        world.settle();
        const auto before = world.generate();
        const std::string id = world.lastId();
        world.run(50ms);
        world.hosts[0]->node.view().setLeaving();
        const auto soon = world.generate();
        const std::string soonId = world.lastId();
        world.run(3100ms);
        expectWhole(world, *before, id);
        expectWhole(world, *soon, soonId);
        // The process is killed 8 s after it was told to leave; a stream could take longer than is
        // left.
        const auto late = world.generate();
        const std::string lateId = world.lastId();
        world.run(1s);
        CPPUNIT_ASSERT_EQUAL(503, late->answer.status);
        CPPUNIT_ASSERT_EQUAL(0, world.runsOf(lateId));
    }

    void whatAnEngineReportedHoldsWhileTheStoreIsDown()
    {
        World world;
        world.run(3500ms);
        world.store.setFaults({503, false, {}});
        world.hosts.front()->node.view().noteLayers(
            *world.hosts.front()->node.view().registry().find("e-1"), {0, 5});
        world.run(20s);
        const FleetView &view = world.hosts.front()->node.view();
        CPPUNIT_ASSERT(view.layersOf(*view.registry().find("e-1")) == (LayerSpan {0, 5}));
    }

    void timeoutsOfRoutesAreKept()
    {
        World world;
        world.settle();
        for (const auto &engine : world.engines)
            engine->setFault(EngineFault::Dark);
        const TimePoint asked = world.now();
        const auto call = world.call("POST", "/gen/x", {{"X-Token-Usage", "100,60"}});
        world.run(15s);
        CPPUNIT_ASSERT(call->answer.ended);
        CPPUNIT_ASSERT(call->answer.status >= 500);
        CPPUNIT_ASSERT(call->answer.endedAt - asked <= 10500ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
