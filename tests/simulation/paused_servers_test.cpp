#include "simulation/link_loss.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;
using namespace dogwoodvalve::testtool;

namespace {

/// Shorter than the shortest pause in these tests.
constexpr Duration Margin = 50ms;

std::vector<HttpField> retryAfter(const std::string &value)
{
    return {{"Retry-After", value}};
}

std::string describe(const Answer &answer)
{
    return std::to_string(answer.status) + ' ' + answer.error + ' ' + answer.body.substr(0, 200);
}

double secondsIn(const Answer &answer)
{
    for (const HttpField &field : answer.fields) {
        if (field.name == "Retry-After")
            return std::stod(field.value);
    }
    return 0;
}

} // namespace

/// Servers that refuse a request and want no other for a time.
class PausedServersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PausedServersTest);
    CPPUNIT_TEST(aServerGetsNothingUntilItsPauseIsOver);
    CPPUNIT_TEST(aFractionOfASecondCounts);
    CPPUNIT_TEST(unreadablePausesAreShort);
    CPPUNIT_TEST(aLaterShorterPauseDoesNotEndALongerOne);
    CPPUNIT_TEST(requestsAreRefusedAtOnceWhenAllServersPauseForLong);
    CPPUNIT_TEST(aShortPauseIsWaitedFor);
    CPPUNIT_TEST(waitingRequestsDoNotAllArriveAsThePauseEnds);
    CPPUNIT_TEST(waitingRequestsAreRefusedWhenTheLastServerPauses);
    CPPUNIT_TEST(aPausedEngineGetsNoProbesOrdersOrStreams);
    CPPUNIT_TEST(aServerGetsNoForwardedRequestsInItsPause);
    CPPUNIT_TEST(aCutOffHostKeepsThePausesOfTheHostsThatForwardForIt);
    CPPUNIT_TEST(aReportedPauseEndsWithTheCut);
    CPPUNIT_TEST(aHostThatDoesNotUseOneServerForwardsToOthers);
    CPPUNIT_TEST_SUITE_END();

    /// Sends requests until the first plain server has refused one.
    static void readUntilRefused(GatewayWorld &world)
    {
        world.plain.refuses = true;
        const int before = world.plain.runs;
        for (int i = 0; i < 50 && world.plain.runs == before; ++i) {
            world.call("GET", "/read/x");
            world.run(20ms);
        }
        CPPUNIT_ASSERT_EQUAL(before + 1, world.plain.runs);
    }

    /// Sends requests for a time, and returns how many have reached the first plain server.
    static int arrivalsDuring(GatewayWorld &world, Duration time)
    {
        const int before = world.plain.runs;
        for (Duration elapsed {}; elapsed < time; elapsed += 20ms) {
            world.call("GET", "/read/x");
            world.run(20ms);
        }
        return world.plain.runs - before;
    }

    void aServerGetsNothingUntilItsPauseIsOver()
    {
        GatewayWorld world;
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = retryAfter("3");
        readUntilRefused(world);
        world.plain.refuses = false;
        CPPUNIT_ASSERT_EQUAL(0, arrivalsDuring(world, 3s - Margin));
        CPPUNIT_ASSERT(arrivalsDuring(world, 1s) > 0);
    }

    void aFractionOfASecondCounts()
    {
        GatewayWorld world;
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = retryAfter("0.75");
        readUntilRefused(world);
        CPPUNIT_ASSERT_EQUAL(0, arrivalsDuring(world, 750ms - Margin));
        CPPUNIT_ASSERT(arrivalsDuring(world, 500ms) > 0);
    }

    void unreadablePausesAreShort()
    {
        for (const char *value : {"soon", "-3", "Fri, 04 Dec 2026 08:00:00 GMT", "3s"}) {
            GatewayWorld world;
            FakePlainServer other;
            world.addPlainServer(other);
            world.settle();
            world.plain.extraFields = retryAfter(value);
            readUntilRefused(world);
            world.plain.refuses = false;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, 0, arrivalsDuring(world, 1s - Margin));
            CPPUNIT_ASSERT_MESSAGE(value, arrivalsDuring(world, 1s) > 0);
        }
    }

    void aLaterShorterPauseDoesNotEndALongerOne()
    {
        GatewayWorld world;
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        const FleetView &view = world.hosts[0]->node.view();
        const std::int64_t startedAtMs = view.registry().find("p-1")->startedAtMs;
        GatewayNode &node = world.hosts[0]->node;
        node.recordNotice("p-1", startedAtMs, {false, Duration(3s), false});
        node.recordNotice("p-1", startedAtMs, {false, Duration(1s), false});
        node.recordNotice("p-1", startedAtMs, {});
        CPPUNIT_ASSERT_EQUAL(0, arrivalsDuring(world, 3s - Margin));
        CPPUNIT_ASSERT(arrivalsDuring(world, 1s) > 0);
    }

    void requestsAreRefusedAtOnceWhenAllServersPauseForLong()
    {
        GatewayWorld world;
        world.settle();
        world.plain.extraFields = retryAfter("3");
        readUntilRefused(world);
        for (int i = 0; i < 5; ++i) {
            const TimePoint sentAt = world.now();
            const auto call = world.call("GET", "/read/x");
            world.run(500ms);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(call->answer), 503, call->answer.status);
            CPPUNIT_ASSERT(call->answer.body.find("\"not_run\"") != std::string::npos);
            CPPUNIT_ASSERT(call->answer.endedAt - sentAt < 50ms);
            const double left = 3 - 0.02 - 0.5 * i;
            CPPUNIT_ASSERT(secondsIn(call->answer) > left - 0.1);
            CPPUNIT_ASSERT(secondsIn(call->answer) < left * 1.25 + 0.1);
        }
        CPPUNIT_ASSERT_EQUAL(1, world.plain.runs);
    }

    void aShortPauseIsWaitedFor()
    {
        GatewayWorld world;
        world.settle();
        // The rate of completions decides how many requests may wait.
        arrivalsDuring(world, 3s);
        world.plain.extraFields = retryAfter("0.2");
        readUntilRefused(world);
        const int before = world.plain.runs;
        const auto call = world.call("GET", "/read/x");
        world.run(100ms);
        CPPUNIT_ASSERT_EQUAL(before, world.plain.runs);
        world.plain.refuses = false;
        world.run(200ms);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(call->answer), 200, call->answer.status);
        CPPUNIT_ASSERT_EQUAL(before + 1, world.plain.runs);
    }

    void waitingRequestsDoNotAllArriveAsThePauseEnds()
    {
        GatewayWorld world;
        world.settle();
        // The rate of completions decides how many requests may wait.
        arrivalsDuring(world, 3s);
        world.plain.extraFields = retryAfter("0.25");
        readUntilRefused(world);
        const int before = world.plain.runs;
        for (int i = 0; i < 6; ++i)
            world.call("GET", "/read/x");
        world.run(200ms);
        CPPUNIT_ASSERT_EQUAL(before, world.plain.runs);
        world.run(100ms);
        CPPUNIT_ASSERT_EQUAL(before + 1, world.plain.runs);
    }

    void waitingRequestsAreRefusedWhenTheLastServerPauses()
    {
        GatewayWorld world;
        world.settle();
        arrivalsDuring(world, 3s);
        world.plain.extraFields = retryAfter("0.25");
        readUntilRefused(world);
        constexpr int Waiting = 6;
        std::vector<std::shared_ptr<Call>> waiting;
        waiting.reserve(Waiting);
        for (int i = 0; i < Waiting; ++i)
            waiting.push_back(world.call("GET", "/read/x"));
        world.run(100ms);
        world.plain.extraFields = retryAfter("5");
        const TimePoint before = world.now();
        world.run(2s);
        for (const auto &call : waiting) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(call->answer), 503, call->answer.status);
            CPPUNIT_ASSERT(call->answer.endedAt - before < 250ms);
        }
    }

    void aPausedEngineGetsNoProbesOrdersOrStreams()
    {
        GatewayWorld world(1, 6);
        world.settle();
        const std::string id = world.probeFirstEngine(0);
        ForwardingEngine &engine = world.engine(id);
        engine.setExtraFields(retryAfter("4"));
        engine.setFault(EngineFault::Refuses);
        const auto &health = world.hosts[0]->node.view().health();
        const std::int64_t startedAtMs =
            world.hosts[0]->node.view().registry().find(id)->startedAtMs;
        for (int i = 0; i < 100 && !health.pausedUntil(id, startedAtMs, world.now()); ++i) {
            world.generate();
            world.run(20ms);
        }
        const auto until = health.pausedUntil(id, startedAtMs, world.now());
        CPPUNIT_ASSERT(until);
        engine.setFault(EngineFault::None);
        const int received = engine.received();
        while (world.now() < *until - Margin) {
            world.generate();
            world.run(50ms);
        }
        CPPUNIT_ASSERT_EQUAL(received, engine.received());
        for (int i = 0; i < 40; ++i) {
            world.generate();
            world.run(50ms);
        }
        CPPUNIT_ASSERT(engine.received() > received);
    }

    void aServerGetsNoForwardedRequestsInItsPause()
    {
        constexpr int Hosts = 6;
        constexpr int ArrivalsInPause = 2;
        GatewayWorld world(Hosts);
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        for (int i = 1; i < Hosts; ++i)
            loseServerLinks(world, i, LinkLoss::Refuse);
        const auto callAll = [&world](Duration time) {
            for (Duration elapsed {}; elapsed < time; elapsed += 50ms) {
                for (int i = 0; i < Hosts; ++i)
                    world.call("GET", "/read/x", {}, i);
                world.run(50ms);
            }
        };
        callAll(4s);
        world.plain.extraFields = retryAfter("10");
        world.plain.refuses = true;
        const int before = world.plain.runs;
        while (world.plain.runs == before) {
            world.call("GET", "/read/x");
            world.run(50ms);
        }
        world.run(500ms);
        const int refused = world.plain.runs;
        const int servedBefore = other.runs;
        callAll(9s);
        CPPUNIT_ASSERT_LESSEQUAL(ArrivalsInPause, world.plain.runs - refused);
        CPPUNIT_ASSERT(other.runs - servedBefore > 9 * 20 * Hosts * 9 / 10);
    }

    /// Two hosts, the second of which is cut off from both plain servers, so that the first one
    /// forwards its requests.
    struct CutOffPair
    {
        CutOffPair()
            : world(2)
        {
            world.addPlainServer(other);
            world.settle();
            loseServerLinks(world, 1, LinkLoss::Refuse);
            callCutOff(4s);
            startedAtMs = world.hosts[0]->node.view().registry().find("p-1")->startedAtMs;
        }

        /// Sends requests to the host that is cut off, and returns how many were served.
        int callCutOff(Duration time)
        {
            std::vector<std::shared_ptr<Call>> sent;
            for (Duration elapsed {}; elapsed < time; elapsed += 50ms) {
                sent.push_back(world.call("GET", "/read/x", {}, 1));
                world.run(50ms);
            }
            return static_cast<int>(std::count_if(
                sent.begin(), sent.end(), [](const auto &it) { return it->answer.status == 200; }));
        }

        /// Retries that the host that is cut off may still send.
        double retriesLeft()
        {
            SharedRetryBudget &budget = world.hosts[1]->node.retryBudget("web");
            return budget.remaining(world.now(), 1);
        }

        GatewayWorld world;
        FakePlainServer other;
        std::int64_t startedAtMs = 0;
    };

    /// It took the server for unreachable, which spent a retry each time, and kept away from it for
    /// seconds after the pause.
    void aCutOffHostKeepsThePausesOfTheHostsThatForwardForIt()
    {
        CutOffPair pair;
        GatewayWorld &world = pair.world;
        const TimePoint pausedAt = world.now();
        world.hosts[0]->node.recordNotice("p-1", pair.startedAtMs, {false, Duration(9s), false});
        const int before = world.plain.runs;
        pair.callCutOff(500ms);
        const auto &health = world.hosts[1]->node.view().health();
        const auto until = health.pausedUntil("p-1", pair.startedAtMs, world.now());
        CPPUNIT_ASSERT(until);
        CPPUNIT_ASSERT(*until <= pausedAt + 9s + Margin);
        CPPUNIT_ASSERT(*until >= pausedAt + 9s - Margin);
        const double retriesBefore = pair.retriesLeft();
        CPPUNIT_ASSERT_EQUAL(160, pair.callCutOff(8s));
        CPPUNIT_ASSERT(pair.retriesLeft() >= retriesBefore);
        CPPUNIT_ASSERT_EQUAL(before, world.plain.runs);
        world.run(pausedAt + 9s - world.now());
        pair.callCutOff(500ms);
        CPPUNIT_ASSERT(world.plain.runs > before);
    }

    void aReportedPauseEndsWithTheCut()
    {
        CutOffPair pair;
        GatewayWorld &world = pair.world;
        world.hosts[0]->node.recordNotice("p-1", pair.startedAtMs, {false, Duration(60s), false});
        pair.callCutOff(500ms);
        restoreServerLinks(world, 1);
        const int before = world.plain.runs;
        pair.callCutOff(4s);
        CPPUNIT_ASSERT(world.plain.runs > before);
    }

    /// The host that is cut off then asked it for nothing more for a second.
    void aHostThatDoesNotUseOneServerForwardsToOthers()
    {
        CutOffPair pair;
        pair.world.hosts[0]->node.recordNotice("p-1", pair.startedAtMs, {true, {}, false});
        CPPUNIT_ASSERT_EQUAL(20, pair.callCutOff(1s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PausedServersTest);
