#include "net/http_text.h"
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
/// The same where requests without the part must leave engines to crash.
constexpr int RareCrashingShare = 40;
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
    CPPUNIT_TEST(requestsThatCrashEnginesBeforeTheHeadAreStopped);
    CPPUNIT_TEST(requestsThatCrashEnginesLongAfterTheHeadAreStopped);
    CPPUNIT_TEST(requestsThatCrashTheLastEngineOfAPathAreStopped);
    CPPUNIT_TEST(requestsThatCrashEnginesThatAreBackAtOnceAreStopped);
    CPPUNIT_TEST(requestsOfCallersThatLeaveAreStopped);
    CPPUNIT_TEST(aRequestSentAfterASilenceIsASuspectOfTheCrash);
    CPPUNIT_TEST(aCrashingPartFarBackInThePromptIsStopped);
    CPPUNIT_TEST(aCrashingPartWithALongIdIsStopped);
    CPPUNIT_TEST(soundRequestsBesideCrashingOnesAreServed);
    CPPUNIT_TEST(aRequestThatCrashedAnEngineDoesNotCrashAnotherAtOnce);
    CPPUNIT_TEST(twoCrashingPartsAreStopped);
    CPPUNIT_TEST(aRequestWithAQuarantinedPartIsRefusedAsNotRun);
    CPPUNIT_TEST(aHostThatStartsLaterRefusesThePart);
    CPPUNIT_TEST(aStreamThatWentOnIsResumedWhileItsPartIsInDoubt);
    CPPUNIT_TEST(crashesWithoutACommonCauseBlockNoPart);
    CPPUNIT_TEST(brokenAnswersOfLivingEnginesBlockNoPart);
    CPPUNIT_TEST(silentEnginesBlockNoPart);
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
        /// Parts of all prompts, before the others.
        std::string firstParts;
        std::string crashingPart = CrashingPart;
        int crashingShare = CrashingShare;
        /// When callers of crashing requests leave; never if 0.
        Duration patience {};

        void play(GatewayWorld &world, Duration time)
        {
            const TimePoint end = world.now() + time;
            for (int i = 0; world.now() < end; ++i) {
                const bool crashes = i % crashingShare == crashingShare - 1;
                const std::string parts = firstParts
                    + (crashes ? std::string(SharedPart) + ',' + crashingPart : soundParts(i));
                const auto call = world.generateWith(parts, i % Hosts);
                (crashes ? crashing : sound).push_back({call, world.lastId(), world.now()});
                if (crashes && patience > Duration::zero())
                    world.after(patience, [call] { call->client->close(); });
                world.run(RequestInterval);
            }
        }
    };

    static std::size_t blockedParts(GatewayWorld &world)
    {
        std::size_t n = 0;
        for (const auto &host : world.hosts)
            n += host->node.view().quarantine().quarantinedParts();
        return n;
    }

    /// Plays until hosts have quarantined the crashing part, and the engines are back.
    static void quarantinePart(GatewayWorld &world)
    {
        world.settle();
        world.setCrashingPart(CrashingPart);
        Traffic traffic;
        traffic.play(world, 10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {Hosts}, blockedParts(world));
    }

    static bool isWhole(const Sent &sent)
    {
        return sent.call->answer.complete
            && sent.call->answer.body == ForwardingEngine::wholeStream(sent.id);
    }

    /// Plays crashing requests beside sound ones, checks that hardly any runs long after the fifth
    /// crash, and returns the number of crashes.
    static std::size_t checkStopped(Traffic traffic, CrashMoment moment,
                                    Duration downtime = EngineDowntime)
    {
        GatewayWorld world(Hosts, Engines);
        world.engineDowntime = downtime;
        world.settle();
        traffic.play(world, 1s);
        world.setCrashingPart(traffic.crashingPart, moment);
        traffic.crashing.clear();
        traffic.play(world, 25s);
        world.run(5s);
        CPPUNIT_ASSERT_MESSAGE("no engine crashed", !world.crashes.empty());
        const TimePoint bound = world.crashes.size() < CrashLimit
            ? world.crashes.back() + CrashBound
            : world.crashes[CrashLimit - 1] + CrashBound;
        int late = 0;
        for (const Sent &sent : traffic.crashing)
            late += sent.at > bound ? world.runsOf(sent.id) : 0;
        CPPUNIT_ASSERT_LESSEQUAL(RequestsBeyondBound, late);
        return world.crashes.size();
    }

    void requestsThatCrashEnginesAreStoppedOnAllHosts()
    {
        CPPUNIT_ASSERT_LESSEQUAL(CrashLimit, checkStopped({}, CrashMoment::AfterHead));
    }

    static Traffic rareCrashes()
    {
        Traffic traffic;
        traffic.crashingShare = RareCrashingShare;
        return traffic;
    }

    void requestsThatCrashEnginesBeforeTheHeadAreStopped()
    {
        checkStopped(rareCrashes(), CrashMoment::BeforeHead);
    }

    void requestsThatCrashEnginesLongAfterTheHeadAreStopped()
    {
        checkStopped(rareCrashes(), CrashMoment::BeforeFirstEvent);
    }

    void requestsThatCrashTheLastEngineOfAPathAreStopped()
    {
        checkStopped(rareCrashes(), CrashMoment::AtEndOfPath);
    }

    /// The stall check found the engine under its new start, and asked nothing more.
    void requestsThatCrashEnginesThatAreBackAtOnceAreStopped()
    {
        checkStopped(rareCrashes(), CrashMoment::AtEndOfPath, 200ms);
    }

    /// Guards against: an engine that had crashed without ending its connections was not asked
    /// about once the caller had left.
    void requestsOfCallersThatLeaveAreStopped()
    {
        Traffic traffic = rareCrashes();
        traffic.patience = 300ms;
        checkStopped(traffic, CrashMoment::WithoutAnEnd);
    }

    /// Only the end of a connection shows when a server has crashed; one that was silent before may
    /// have been alive.
    void aRequestSentAfterASilenceIsASuspectOfTheCrash()
    {
        GatewayWorld world(1, Engines);
        world.settle();
        GatewayNode &node = world.hosts[0]->node;
        const std::int64_t startedAtMs = node.view().registry().find("e-1")->startedAtMs;
        node.crashes().open("e-1", startedAtMs, {{"early"}, true, {}, world.now()},
                            AnswerLoss::Silent);
        world.run(300ms);
        const TimePoint sentAt = world.now();
        world.run(100ms);
        world.engine("e-1").crash();
        node.crashes().open("e-1", startedAtMs, {{"late"}, true, {}, sentAt},
                            AnswerLoss::ConnectionEnded);
        world.run(1s);
        CPPUNIT_ASSERT(node.view().quarantine().isSuspect("late", sentAt));
    }

    void aCrashingPartFarBackInThePromptIsStopped()
    {
        Traffic traffic = rareCrashes();
        for (int i = 0; i < 60; ++i)
            traffic.firstParts += "turn" + std::to_string(i) + ":20,";
        checkStopped(traffic, CrashMoment::AfterHead);
    }

    void aCrashingPartWithALongIdIsStopped()
    {
        Traffic traffic = rareCrashes();
        traffic.crashingPart = std::string(200, 'b') + ":30";
        checkStopped(traffic, CrashMoment::AfterHead);
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

    void aRequestThatCrashedAnEngineDoesNotCrashAnotherAtOnce()
    {
        GatewayWorld world(Hosts, Engines);
        world.settle();
        world.setCrashingPart(CrashingPart);
        world.generateWith(crashingParts(), 0);
        world.run(70ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, world.crashes.size());
        world.run(800ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, world.crashes.size());
        world.generateWith(crashingParts(), 1);
        world.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, world.crashes.size());
    }

    void twoCrashingPartsAreStopped()
    {
        GatewayWorld world(Hosts, Engines);
        world.settle();
        world.setCrashingPart("bad");
        for (int i = 0; i < 600; ++i) {
            const bool crashes = i % CrashingShare < 2;
            world.generateWith(crashes ? std::string(SharedPart) + ",bad" + std::to_string(i % 2)
                                       : soundParts(i),
                               i % Hosts);
            world.run(RequestInterval);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {2 * Hosts}, blockedParts(world));
        CPPUNIT_ASSERT_LESSEQUAL(2 * CrashLimit, world.crashes.size());
    }

    void aRequestWithAQuarantinedPartIsRefusedAsNotRun()
    {
        GatewayWorld world(Hosts, Engines);
        quarantinePart(world);
        for (int host = 0; host < Hosts; ++host) {
            const auto call = world.generateWith(crashingParts(), host);
            const std::string id = world.lastId();
            world.run(50ms);
            CPPUNIT_ASSERT(call->answer.complete);
            CPPUNIT_ASSERT_EQUAL(503, call->answer.status);
            CPPUNIT_ASSERT(call->answer.body.find("not_run") != std::string::npos);
            CPPUNIT_ASSERT(std::stod(std::string(findField(call->answer.fields, "Retry-After")))
                           > 60);
            CPPUNIT_ASSERT_EQUAL(0, world.runsOf(id));
        }
    }

    void aHostThatStartsLaterRefusesThePart()
    {
        GatewayWorld world(Hosts, Engines);
        quarantinePart(world);
        world.restartHost(0);
        world.run(1s);
        const auto call = world.generateWith(crashingParts(), 0);
        const std::string id = world.lastId();
        world.run(3s);
        CPPUNIT_ASSERT_EQUAL(503, call->answer.status);
        CPPUNIT_ASSERT_EQUAL(0, world.runsOf(id));
    }

    void aStreamThatWentOnIsResumedWhileItsPartIsInDoubt()
    {
        GatewayWorld world(1, Engines);
        world.settle();
        const auto call = world.generateWith(SharedPart);
        const std::string id = world.lastId();
        world.run(200ms);
        const auto setFaults = [&world](EngineFault fault) {
            for (const auto &engine : world.engines)
                engine->setFault(fault);
        };
        setFaults(EngineFault::Silent);
        world.run(300ms);
        setFaults(EngineFault::None);
        world.run(60ms);
        FleetView &view = world.hosts[0]->node.view();
        const std::vector<std::string> parts {"aa01"};
        for (int i = 0; i < 3; ++i)
            view.recordCrash("gone-" + std::to_string(i), 1, parts, true, world.now() + i * 150ms);
        CPPUNIT_ASSERT(view.quarantine().findDoubtful(parts, world.now()));
        for (const auto &engine : world.engines) {
            if (engine->runs().count(id) > 0)
                engine->crash();
        }
        world.run(5s);
        CPPUNIT_ASSERT(isWhole({call, id, {}}));
    }

    void crashesWithoutACommonCauseBlockNoPart()
    {
        GatewayWorld world(Hosts, Engines);
        world.settle();
        world.setCrashingPart(CrashingPart);
        Traffic traffic;
        for (int round = 0; round < 4; ++round) {
            for (int i = round; i < Engines; i += 3)
                world.engines[static_cast<std::size_t>(i)]->crash();
            for (int i = 0; i < 200; ++i) {
                traffic.sound.push_back(
                    {world.generateWith(soundParts(i), i % Hosts), world.lastId(), world.now()});
                world.run(RequestInterval);
            }
        }
        CPPUNIT_ASSERT(!world.crashes.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, blockedParts(world));
    }

    void brokenAnswersOfLivingEnginesBlockNoPart()
    {
        GatewayWorld world(Hosts, Engines);
        world.settle();
        for (const auto &engine : world.engines)
            engine->setFault(EngineFault::BreaksOff);
        for (int i = 0; i < 200; ++i) {
            world.generateWith(soundParts(i), i % Hosts);
            world.run(RequestInterval);
        }
        world.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, blockedParts(world));
    }

    void silentEnginesBlockNoPart()
    {
        GatewayWorld world(Hosts, Engines);
        world.settle();
        for (int round = 0; round < 5; ++round) {
            for (int i = 0; i < 20; ++i) {
                world.generateWith(soundParts(i), i % Hosts);
                world.run(RequestInterval);
            }
            for (const auto &engine : world.engines)
                engine->setFault(EngineFault::Silent);
            world.run(1200ms);
            for (const auto &engine : world.engines)
                engine->setFault(EngineFault::None);
            world.run(500ms);
        }
        world.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, blockedParts(world));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptQuarantineTest);
