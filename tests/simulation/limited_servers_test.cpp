#include "simulation/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;

namespace {

constexpr int Hosts = 7;
constexpr Duration Tick = 10ms;
/// Time after which all hosts must keep to a limit, and the window in which it holds.
constexpr Duration NoticeTime = 3s;
constexpr Duration Window = 4s;
constexpr double Limit = 5.7;
/// Requests that a server with this limit may get in any window.
constexpr int Allowed = static_cast<int>(1.5 * Limit * 4 + 5);

std::vector<HttpField> serverLimit(const std::string &value)
{
    return {{"Server-Limit", value}};
}

} // namespace

/// Servers that name in their answers how many requests a second they take from all hosts.
class LimitedServersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitedServersTest);
    CPPUNIT_TEST(hostsTogetherStayWithinTheLimitOfAPlainServer);
    CPPUNIT_TEST(hostsTogetherStayWithinTheLimitOfAnEngine);
    CPPUNIT_TEST(aLimitBehindTheFirstEngineCutsNoPaths);
    CPPUNIT_TEST(theLimitIsUsed);
    CPPUNIT_TEST(aServerGetsAllItCanTakeWhenItsLimitEnds);
    CPPUNIT_TEST(aServerThatStartsAgainHasNoLimit);
    CPPUNIT_TEST(requestsAreRefusedInTimeWhenAllServersNameLimits);
    CPPUNIT_TEST_SUITE_END();

    /// Calls `send` with each host in turn in every tick for a time, and returns how many requests
    /// had reached the server at the end of each tick.
    static std::vector<int> arrivalsDuring(GatewayWorld &world, Duration time,
                                           const std::function<void(int host)> &send,
                                           const std::function<int()> &received)
    {
        std::vector<int> counts;
        const int hosts = static_cast<int>(world.hosts.size());
        int n = 0;
        for (Duration elapsed {}; elapsed < time; elapsed += Tick) {
            send(n++ % hosts);
            world.run(Tick);
            counts.push_back(received());
        }
        return counts;
    }

    /// The most arrivals in any window that begins after the given time.
    static int mostInAWindow(const std::vector<int> &counts, Duration from)
    {
        const auto ticks = static_cast<std::size_t>(Window / Tick);
        int most = 0;
        for (auto i = static_cast<std::size_t>(from / Tick); i + ticks < counts.size(); ++i)
            most = std::max(most, counts[i + ticks] - counts[i]);
        return most;
    }

    void hostsTogetherStayWithinTheLimitOfAPlainServer()
    {
        GatewayWorld world(Hosts);
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = serverLimit(std::to_string(Limit));
        const std::vector<int> counts = arrivalsDuring(
            world, 12s, [&](int host) { world.call("GET", "/read/x", {}, host); },
            [&] { return world.plain.runs; });
        CPPUNIT_ASSERT_LESSEQUAL(Allowed, mostInAWindow(counts, NoticeTime));
    }

    void hostsTogetherStayWithinTheLimitOfAnEngine()
    {
        GatewayWorld world(Hosts);
        world.settle();
        testtool::ForwardingEngine &engine = world.engine(world.probeFirstEngine(0));
        engine.setExtraFields(serverLimit(std::to_string(Limit)));
        const std::vector<int> counts = arrivalsDuring(
            world, 12s, [&](int host) { world.generate(host); }, [&] { return engine.received(); });
        CPPUNIT_ASSERT_LESSEQUAL(Allowed, mostInAWindow(counts, NoticeTime));
    }

    void aLimitBehindTheFirstEngineCutsNoPaths()
    {
        GatewayWorld world;
        world.settle();
        for (const auto &engine : world.engines) {
            if (!engine->layers().contains(0))
                engine->setExtraFields(serverLimit("0"));
        }
        world.run(3s);
        CPPUNIT_ASSERT(limitedServers(world) > 0);
        for (int i = 0; i < 20; ++i) {
            const auto call = world.generate();
            world.run(100ms);
            CPPUNIT_ASSERT_EQUAL(200, call->answer.status);
        }
    }

    /// Requests to the plain server in 4 s, with all hosts sending.
    static int readDuringAWindow(GatewayWorld &world)
    {
        const std::vector<int> counts = arrivalsDuring(
            world, Window, [&](int host) { world.call("GET", "/read/x", {}, host); },
            [&] { return world.plain.runs; });
        return counts.back() - counts.front();
    }

    void theLimitIsUsed()
    {
        GatewayWorld world(Hosts);
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = serverLimit(std::to_string(Limit));
        readDuringAWindow(world);
        CPPUNIT_ASSERT_GREATEREQUAL(static_cast<int>(0.8 * Limit * 4), readDuringAWindow(world));
    }

    void aServerGetsAllItCanTakeWhenItsLimitEnds()
    {
        GatewayWorld world(Hosts);
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = serverLimit("0");
        readDuringAWindow(world);
        CPPUNIT_ASSERT_LESSEQUAL(5, readDuringAWindow(world));
        world.plain.extraFields = {};
        readDuringAWindow(world);
        CPPUNIT_ASSERT_GREATEREQUAL(Allowed, readDuringAWindow(world));
    }

    void aServerThatStartsAgainHasNoLimit()
    {
        GatewayWorld world(Hosts);
        world.settle();
        const std::string id = world.probeFirstEngine(0);
        testtool::ForwardingEngine &engine = world.engine(id);
        engine.setExtraFields(serverLimit("1"));
        world.generate();
        world.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, limitedServers(world));
        engine.setExtraFields({});
        const LayerSpan layers = engine.layers();
        world.restartEngine(std::stoi(id.substr(2)) - 1);
        engine.setLayers(layers);
        world.run(3s);
        for (const auto &host : world.hosts)
            CPPUNIT_ASSERT(
                host->node.view().acceptsRequest(*host->node.view().registry().find(id)));
    }

    static std::size_t limitedServers(GatewayWorld &world)
    {
        return world.hosts.back()->node.view().rateLimits().limitedServers();
    }

    void requestsAreRefusedInTimeWhenAllServersNameLimits()
    {
        GatewayWorld world;
        world.settle();
        world.plain.extraFields = serverLimit("2");
        world.call("GET", "/read/x");
        world.run(1s);
        const std::size_t before = world.calls.size();
        std::vector<TimePoint> sentAt;
        for (int i = 0; i < 100; ++i) {
            sentAt.push_back(world.now());
            world.call("GET", "/read/x");
            world.run(20ms);
        }
        world.run(5s);
        int served = 0;
        for (std::size_t i = 0; i < sentAt.size(); ++i) {
            const Answer &answer = world.calls[before + i]->answer;
            CPPUNIT_ASSERT(answer.ended);
            CPPUNIT_ASSERT(answer.endedAt - sentAt[i] <= 700ms);
            CPPUNIT_ASSERT(answer.status == 200 || answer.status == 503);
            served += answer.status == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT(served >= 3 && served <= 6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedServersTest);
