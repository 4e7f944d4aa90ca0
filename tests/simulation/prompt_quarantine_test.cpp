#include "simulation/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;
using namespace dogwoodvalve::testtool;

namespace {

constexpr int Hosts = 3;
constexpr int Engines = 8;
/// Every how many requests one has the crashing part.
constexpr int CrashingShare = 10;
constexpr Duration RequestInterval = 20ms;
/// Time from the fifth crash after which hardly a request with the part may reach an engine, and
/// that number.
constexpr Duration CrashBound = 3s;
constexpr std::size_t CrashLimit = 5;
constexpr int RequestsBeyondBound = 3;

constexpr const char *SharedPart = "aa01:40";
constexpr const char *CrashingPart = "bad7:30";

std::string soundParts(int i)
{
    return std::string(SharedPart) + ",c" + std::to_string(i % 7) + ":30";
}

std::string crashingParts()
{
    return std::string(SharedPart) + ',' + CrashingPart;
}

} // namespace

/// A part of prompts that crashes each engine that begins to answer a request with it.
class PromptQuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromptQuarantineTest);
    CPPUNIT_TEST(requestsThatCrashEnginesAreStoppedOnAllHosts);
    CPPUNIT_TEST(soundRequestsBesideCrashingOnesAreServed);
    CPPUNIT_TEST_SUITE_END();

    struct Sent
    {
        std::shared_ptr<Call> call;
        std::string id;
        TimePoint at;
    };

    /// What callers send for a while, with and without the crashing part.
    struct Traffic
    {
        std::vector<Sent> sound;
        std::vector<Sent> crashing;

        void play(GatewayWorld &world, Duration time)
        {
            const TimePoint end = world.now() + time;
            for (int i = 0; world.now() < end; ++i) {
                const bool crashes = i % CrashingShare == CrashingShare - 1;
                const std::string parts = crashes ? crashingParts() : soundParts(i);
                const auto call = world.generateWith(parts, i % Hosts);
                (crashes ? crashing : sound).push_back({call, world.lastId(), world.now()});
                world.run(RequestInterval);
            }
        }
    };

    static bool isWhole(const Sent &sent)
    {
        return sent.call->answer.complete
            && sent.call->answer.body == ForwardingEngine::wholeStream(sent.id);
    }

    void requestsThatCrashEnginesAreStoppedOnAllHosts()
    {
        GatewayWorld world(Hosts, Engines);
        world.settle();
        Traffic traffic;
        traffic.play(world, 1s);
        world.setCrashingPart(CrashingPart);
        traffic.crashing.clear();
        traffic.play(world, 15s);
        world.run(5s);
        CPPUNIT_ASSERT_MESSAGE("no engine crashed", !world.crashes.empty());
        const TimePoint bound = world.crashes.size() < CrashLimit
            ? world.crashes.back() + CrashBound
            : world.crashes[CrashLimit - 1] + CrashBound;
        int late = 0;
        for (const Sent &sent : traffic.crashing)
            late += sent.at > bound ? world.runsOf(sent.id) : 0;
        CPPUNIT_ASSERT_LESSEQUAL(RequestsBeyondBound, late);
        CPPUNIT_ASSERT_LESSEQUAL(CrashLimit, world.crashes.size());
    }

    void soundRequestsBesideCrashingOnesAreServed()
    {
        GatewayWorld world(Hosts, Engines);
        world.settle();
        world.setCrashingPart(CrashingPart);
        Traffic traffic;
        traffic.play(world, 15s);
        world.run(5s);
        const TimePoint from = traffic.sound.front().at + 2 * CrashBound;
        int served = 0;
        int asked = 0;
        for (const Sent &sent : traffic.sound) {
            if (sent.at < from)
                continue;
            ++asked;
            served += isWhole(sent) ? 1 : 0;
        }
        CPPUNIT_ASSERT(asked > 0);
        CPPUNIT_ASSERT_EQUAL(asked, served);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptQuarantineTest);
