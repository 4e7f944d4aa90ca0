#include "simulation/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;
using namespace dogwoodvalve::testtool;

namespace {

const std::vector<HttpField> Leaving {{"Server-Leaving", "1"}};
/// Many times as long as a digest needs to reach all hosts.
constexpr Duration PropagationTime = 500ms;

std::string describe(const Answer &answer)
{
    return std::to_string(answer.status) + ' ' + answer.error + ' ' + answer.body.substr(0, 200);
}

} // namespace

/// Servers that announce in their answers that they are leaving, while their registrations still
/// say that they are ready.
class LeavingServersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingServersTest);
    CPPUNIT_TEST(aLeavingPlainServerGetsNothingMore);
    CPPUNIT_TEST(theFieldCountsOnAFailure);
    CPPUNIT_TEST(theFieldCountsOnARefusal);
    CPPUNIT_TEST(theFieldCountsWithTheStoreAway);
    CPPUNIT_TEST(otherHostsLearnOfALeavingServer);
    CPPUNIT_TEST(aHostThatStartsLaterLearnsOfALeavingServer);
    CPPUNIT_TEST(aLeavingEngineIsOnNoNewPathAndItsStreamsGoOn);
    CPPUNIT_TEST(aReportOfALeavingEngineIsEnough);
    CPPUNIT_TEST(aRestartedServerIsUsedAgain);
    CPPUNIT_TEST(aRegistrationThatComesBackDoesNotEndTheLeaving);
    CPPUNIT_TEST_SUITE_END();

    static void read(GatewayWorld &world, int host, int times)
    {
        for (int i = 0; i < times; ++i) {
            const auto call = world.call("GET", "/read/x", {}, host);
            world.run(100ms);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(call->answer), 200, call->answer.status);
        }
    }

    /// Sends requests to a host until the first plain server has answered one with its fields.
    static void readUntilAnnounced(GatewayWorld &world, int host)
    {
        const int before = world.plain.runs;
        for (int i = 0; i < 50 && world.plain.runs == before; ++i)
            read(world, host, 1);
        CPPUNIT_ASSERT_EQUAL(before + 1, world.plain.runs);
    }

    void aLeavingPlainServerGetsNothingMore()
    {
        GatewayWorld world;
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = Leaving;
        readUntilAnnounced(world, 0);
        const int before = world.plain.runs;
        read(world, 0, 20);
        world.registerPlain("p-1", PlainAddress);
        world.run(3s);
        read(world, 0, 20);
        CPPUNIT_ASSERT_EQUAL(before, world.plain.runs);
    }

    void theFieldCountsOnAFailure()
    {
        GatewayWorld world;
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = Leaving;
        world.plain.status = 500;
        readUntilAnnounced(world, 0);
        const int before = world.plain.runs;
        read(world, 0, 40);
        CPPUNIT_ASSERT_EQUAL(before, world.plain.runs);
    }

    void theFieldCountsOnARefusal()
    {
        GatewayWorld world;
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = Leaving;
        world.plain.refuses = true;
        readUntilAnnounced(world, 0);
        const int before = world.plain.runs;
        read(world, 0, 40);
        CPPUNIT_ASSERT_EQUAL(before, world.plain.runs);
    }

    void theFieldCountsWithTheStoreAway()
    {
        GatewayWorld world;
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.disconnectFromStore(0);
        world.plain.extraFields = Leaving;
        readUntilAnnounced(world, 0);
        const int before = world.plain.runs;
        read(world, 0, 20);
        CPPUNIT_ASSERT_EQUAL(before, world.plain.runs);
    }

    void otherHostsLearnOfALeavingServer()
    {
        GatewayWorld world(3);
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = Leaving;
        readUntilAnnounced(world, 0);
        world.run(PropagationTime);
        const int before = world.plain.runs;
        read(world, 1, 20);
        read(world, 2, 20);
        CPPUNIT_ASSERT_EQUAL(before, world.plain.runs);
    }

    void aHostThatStartsLaterLearnsOfALeavingServer()
    {
        GatewayWorld world(2);
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = Leaving;
        readUntilAnnounced(world, 0);
        world.run(PropagationTime);
        world.restartHost(0);
        world.run(2s);
        const int before = world.plain.runs;
        read(world, 0, 20);
        CPPUNIT_ASSERT_EQUAL(before, world.plain.runs);
    }

    void aLeavingEngineIsOnNoNewPathAndItsStreamsGoOn()
    {
        GatewayWorld world(1, 6);
        world.settle();
        const std::string id = world.probeFirstEngine(0);
        ForwardingEngine &engine = world.engine(id);
        engine.setExtraFields(Leaving);
        const std::size_t before = engine.runs().size();
        std::vector<std::pair<std::shared_ptr<Call>, std::string>> first;
        for (int i = 0; i < 30; ++i) {
            auto call = world.generate();
            first.emplace_back(std::move(call), world.lastId());
        }
        world.run(100ms);
        CPPUNIT_ASSERT(engine.runs().size() > before);
        const int received = engine.received();
        for (int i = 0; i < 20; ++i) {
            const auto later = world.generate();
            const std::string laterRequest = world.lastId();
            world.run(1s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(later->answer),
                                         ForwardingEngine::wholeStream(laterRequest),
                                         later->answer.body);
        }
        for (const auto &[call, request] : first) {
            CPPUNIT_ASSERT_EQUAL(ForwardingEngine::wholeStream(request), call->answer.body);
            CPPUNIT_ASSERT_EQUAL(1, world.runsOf(request));
        }
        CPPUNIT_ASSERT_EQUAL(received, engine.received());
    }

    void aReportOfALeavingEngineIsEnough()
    {
        GatewayWorld world(1, 6);
        world.settle();
        world.engines.front()->setExtraFields(Leaving);
        world.run(2s);
        const int received = world.engines.front()->received();
        for (int i = 0; i < 30; ++i) {
            world.generate();
            world.run(200ms);
        }
        CPPUNIT_ASSERT_EQUAL(received, world.engines.front()->received());
        CPPUNIT_ASSERT(world.engines.front()->runs().empty());
    }

    void aRestartedServerIsUsedAgain()
    {
        GatewayWorld world(2, 6);
        world.settle();
        world.engines.front()->setExtraFields(Leaving);
        world.run(2s);
        world.restartEngine(0);
        world.engines.front()->setExtraFields({});
        const int orders = world.engines.front()->orders();
        world.run(SettleTime);
        CPPUNIT_ASSERT(world.engines.front()->orders() > orders);
        for (int i = 0; i < 100 && world.engines.front()->runs().empty(); ++i) {
            world.generate(i % 2);
            world.run(50ms);
        }
        CPPUNIT_ASSERT(!world.engines.front()->runs().empty());
    }

    /// A registration expires while the store is away, and a copy of the store has old ones.
    void aRegistrationThatComesBackDoesNotEndTheLeaving()
    {
        GatewayWorld world;
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = Leaving;
        readUntilAnnounced(world, 0);
        const int before = world.plain.runs;
        world.store.put("keyed.servers", "p-1", std::nullopt);
        world.run(5s);
        world.registerPlain("p-1", PlainAddress);
        world.run(3s);
        read(world, 0, 20);
        CPPUNIT_ASSERT_EQUAL(before, world.plain.runs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingServersTest);
