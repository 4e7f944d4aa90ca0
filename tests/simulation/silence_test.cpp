#include "simulation/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;
using namespace dogwoodvalve::testtool;

namespace {

/// Longer than the gateway waits before it suspects a lost engine, shorter than callers wait for an
/// event.
constexpr Duration Silence = 1200ms;
constexpr Duration CallerPatience = 2s;

std::string describe(const Answer &answer)
{
    return std::to_string(answer.status) + ' ' + answer.error + ' ' + answer.body.substr(0, 200);
}

} // namespace

/// Engines that fall silent for a moment and go on: what they have accepted must not be given up.
class SilenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilenceTest);
    CPPUNIT_TEST(aStreamOfSilentEnginesGoesOn);
    CPPUNIT_TEST(aStreamThatMayNotBeResumedGoesOn);
    CPPUNIT_TEST(aSilenceBeforeTheFirstEventIsWaitedFor);
    CPPUNIT_TEST(aSecondSilenceIsWaitedForWhenTheAttemptsAreUsedUp);
    CPPUNIT_TEST(aRequestThatIsOpenAtTheExitGetsAnAnswer);
    CPPUNIT_TEST(aSilenceIsWaitedForWhenTheRetryBudgetIsSpent);
    CPPUNIT_TEST(noAnswerIsCutBesideAChangeOfTheConfiguration);
    CPPUNIT_TEST_SUITE_END();

    static void setFaults(GatewayWorld &world, EngineFault fault)
    {
        for (const auto &engine : world.engines)
            engine->setFault(fault);
    }

    static void beSilent(GatewayWorld &world)
    {
        setFaults(world, EngineFault::Silent);
        world.run(Silence);
        setFaults(world, EngineFault::None);
    }

    static void expectWhole(const Call &call, const std::string &id)
    {
        CPPUNIT_ASSERT_MESSAGE(describe(call.answer), call.answer.complete);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(call.answer), 200, call.answer.status);
        CPPUNIT_ASSERT_EQUAL(ForwardingEngine::wholeStream(id), call.answer.body);
    }

    void aStreamOfSilentEnginesGoesOn()
    {
        GatewayWorld world;
        world.settle();
        const auto call = world.generate();
        const std::string id = world.lastId();
        world.run(150ms);
        beSilent(world);
        world.run(3s);
        expectWhole(*call, id);
    }

    void aStreamThatMayNotBeResumedGoesOn()
    {
        GatewayWorld world;
        world.configure(2, {"good-key"}, false);
        world.settle();
        const auto call = world.generate();
        const std::string id = world.lastId();
        world.run(150ms);
        beSilent(world);
        world.run(3s);
        expectWhole(*call, id);
        CPPUNIT_ASSERT_EQUAL(1, world.runsOf(id));
    }

    void aSilenceBeforeTheFirstEventIsWaitedFor()
    {
        GatewayWorld world;
        world.settle();
        setFaults(world, EngineFault::Silent);
        const auto call = world.generate();
        const std::string id = world.lastId();
        world.run(Silence);
        setFaults(world, EngineFault::None);
        world.run(3s);
        expectWhole(*call, id);
    }

    void aSecondSilenceIsWaitedForWhenTheAttemptsAreUsedUp()
    {
        GatewayWorld world(1, 6);
        world.settle();
        const auto call = world.generate();
        const std::string id = world.lastId();
        for (int i = 0; i < 3; ++i) {
            world.run(100ms);
            beSilent(world);
        }
        world.run(5s);
        expectWhole(*call, id);
        CPPUNIT_ASSERT_LESSEQUAL(2, world.runsOf(id));
    }

    void aRequestThatIsOpenAtTheExitGetsAnAnswer()
    {
        GatewayWorld world;
        world.settle();
        setFaults(world, EngineFault::Silent);
        const auto sent = world.generate();
        world.run(100ms);
        world.hosts[0]->node.endSessionsAtExit();
        world.run(100ms);
        CPPUNIT_ASSERT(sent->answer.complete);
        CPPUNIT_ASSERT_EQUAL(502, sent->answer.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, world.hosts[0]->node.openSessions());
    }

    void aSilenceIsWaitedForWhenTheRetryBudgetIsSpent()
    {
        GatewayWorld world(1, 6);
        world.settle();
        std::vector<std::pair<std::shared_ptr<Call>, std::string>> calls;
        for (int i = 0; i < 60; ++i) {
            auto call = world.generate();
            calls.emplace_back(std::move(call), world.lastId());
        }
        world.run(150ms);
        beSilent(world);
        world.run(5s);
        for (const auto &[call, id] : calls)
            expectWhole(*call, id);
    }

    void noAnswerIsCutBesideAChangeOfTheConfiguration()
    {
        GatewayWorld world(3, 6);
        world.settle();
        std::vector<std::pair<std::shared_ptr<Call>, std::string>> calls;
        for (int i = 0; i < 40; ++i) {
            auto call = world.generate(i % 3);
            calls.emplace_back(std::move(call), world.lastId());
            world.run(10ms);
        }
        world.configure(2, {"good-key", "new-key"});
        beSilent(world);
        world.configure(3, {"good-key"});
        world.run(CallerPatience + 3s);
        for (const auto &[call, id] : calls) {
            const bool refused =
                call->answer.complete && call->answer.status == 503 && world.runsOf(id) == 0;
            if (!refused)
                expectWhole(*call, id);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceTest);
