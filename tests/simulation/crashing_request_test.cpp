#include "simulation/crashing_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;

namespace {

constexpr int Hosts = CrashingFleet::Hosts;
constexpr int Servers = CrashingFleet::Servers;
constexpr Duration RunTime = CrashingServer::RunTime;
constexpr Duration SoundInterval = 25ms;
/// The caller sends the crashing request again this long after it failed.
constexpr Duration RepeatPause = 40ms;
/// Time from the third crash after which hardly a repeat may reach a server, and that number.
constexpr Duration CrashBound = 3s;
constexpr std::size_t CrashLimit = 3;
constexpr int RepeatsBeyondBound = 3;

/// Time between the repeats of a caller that learns nothing from the answers.
constexpr Duration PatientPause = 4s;
constexpr int PatientRepeats = 14;

} // namespace

/// Requests that crash each server that runs them, and come again at any host.
class CrashingRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashingRequestTest);
    CPPUNIT_TEST(repeatsOfARequestThatCrashesServersAreStoppedOnAllHosts);
    CPPUNIT_TEST(soundRequestsBesideItAreServed);
    CPPUNIT_TEST(repeatsOfAGenerationThatCrashesEnginesAreStopped);
    CPPUNIT_TEST(oneServerIsLeftWhenARequestHasCrashedTwo);
    CPPUNIT_TEST(aStoppedRequestIsRefusedAsNotRun);
    CPPUNIT_TEST(crashesWithoutACommonCauseStopNoRequest);
    CPPUNIT_TEST(aLostAnswerOfALivingServerIsRepeatedAtOnce);
    CPPUNIT_TEST(aRequestThatEndsAtItsDeadlineIsStopped);
    CPPUNIT_TEST(aRequestWhoseCallerLeavesIsStopped);
    CPPUNIT_TEST(aRequestThatGetsAForeignAnswerIsStopped);
    CPPUNIT_TEST(aGenerationWhoseCallerLeavesIsStopped);
    CPPUNIT_TEST(aCrashIsKnownAtOnceThoughNobodyElseSendsRequests);
    CPPUNIT_TEST(requestsGivenUpAtLeavingServersAreNoSuspects);
    CPPUNIT_TEST(crashesBesideCallersThatLeaveStopNoRequest);
    CPPUNIT_TEST_SUITE_END();

    using Fleet = CrashingFleet;

    /// Sends one request to one host after the other, each time that the last one has ended, and
    /// sound ones in between. Returns the sound ones.
    static std::vector<std::shared_ptr<Call>>
    play(GatewayWorld &world, Duration time,
         const std::function<std::shared_ptr<Call>(int host)> &sendCrashing)
    {
        std::vector<std::shared_ptr<Call>> sound;
        std::shared_ptr<Call> crashing = sendCrashing(0);
        const TimePoint end = world.now() + time;
        for (int i = 1; world.now() < end; ++i) {
            sound.push_back(world.call("GET", "/read/" + std::to_string(i), {}, i % Hosts));
            world.run(SoundInterval);
            if (crashing->answer.ended && world.now() - crashing->answer.endedAt >= RepeatPause)
                crashing = sendCrashing(i % Hosts);
        }
        world.run(2s);
        return sound;
    }

    static int countAfter(const std::vector<TimePoint> &times, TimePoint from)
    {
        return static_cast<int>(
            std::count_if(times.begin(), times.end(), [from](TimePoint it) { return it > from; }));
    }

    /// Hardly a run of the crashing request may come long after the crash that is its limit.
    static void expectFewLateRuns(const std::vector<TimePoint> &crashes,
                                  const std::vector<TimePoint> &runs)
    {
        if (crashes.size() >= CrashLimit)
            CPPUNIT_ASSERT_LESSEQUAL(RepeatsBeyondBound,
                                     countAfter(runs, crashes[CrashLimit - 1] + CrashBound));
    }

    static int countServed(const std::vector<std::shared_ptr<Call>> &calls)
    {
        return static_cast<int>(std::count_if(calls.begin(), calls.end(), [](const auto &it) {
            return it->answer.complete && it->answer.status == 200;
        }));
    }

    void repeatsOfARequestThatCrashesServersAreStoppedOnAllHosts()
    {
        Fleet fleet;
        play(fleet.world, 15s, [&](int host) {
            return fleet.world.call("GET", CrashingServer::SafeTarget, {}, host);
        });
        const auto crashes = fleet.collect(&CrashingServer::crashes);
        CPPUNIT_ASSERT(!crashes.empty());
        expectFewLateRuns(crashes, fleet.collect(&CrashingServer::crashingRuns));
    }

    void soundRequestsBesideItAreServed()
    {
        Fleet fleet;
        const auto sound = play(fleet.world, 15s, [&](int host) {
            return fleet.world.call("GET", CrashingServer::SafeTarget, {}, host);
        });
        CPPUNIT_ASSERT_GREATEREQUAL(static_cast<int>(sound.size() * 95 / 100), countServed(sound));
    }

    void repeatsOfAGenerationThatCrashesEnginesAreStopped()
    {
        GatewayWorld world(Hosts, 8);
        world.settle();
        world.setCrashingPart("dead");
        // Only the last part is this request's own, and requests do not share that one.
        const auto send = [&](int host) {
            return world.call("POST", "/gen/crash",
                              {{"X-Token-Usage", "100,60"},
                               {"X-Deadline-Ms", "8000"},
                               {"X-Prompt-Prefix", "aa01:40,dead:20"}},
                              host);
        };
        for (int i = 0; i < 50; ++i) {
            world.generateWith("aa01:40", i % Hosts);
            world.run(20ms);
        }
        play(world, 20s, send);
        CPPUNIT_ASSERT(!world.crashesByPrompt.empty());
        expectFewLateRuns(world.crashesByPrompt, world.crashesByPrompt);
    }

    static std::shared_ptr<Call> sendCrashing(Fleet &fleet, int host)
    {
        return fleet.world.call("GET", CrashingServer::SafeTarget, {}, host);
    }

    void oneServerIsLeftWhenARequestHasCrashedTwo()
    {
        Fleet fleet;
        play(fleet.world, 10s, [&](int host) { return sendCrashing(fleet, host); });
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, fleet.collect(&CrashingServer::crashes).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {Hosts}, fleet.stopped());
    }

    void aStoppedRequestIsRefusedAsNotRun()
    {
        Fleet fleet;
        play(fleet.world, 2s, [&](int host) { return sendCrashing(fleet, host); });
        const std::size_t runs = fleet.collect(&CrashingServer::crashingRuns).size();
        const TimePoint sentAt = fleet.world.now();
        const auto call = sendCrashing(fleet, 2);
        fleet.world.run(1s);
        CPPUNIT_ASSERT_EQUAL(503, call->answer.status);
        CPPUNIT_ASSERT(call->answer.endedAt - sentAt < 20ms);
        CPPUNIT_ASSERT(call->answer.body.find("not_run") != std::string::npos);
        CPPUNIT_ASSERT(call->answer.body.find("this request has crashed servers")
                       != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(runs, fleet.collect(&CrashingServer::crashingRuns).size());
    }

    void crashesWithoutACommonCauseStopNoRequest()
    {
        Fleet fleet;
        std::vector<std::shared_ptr<Call>> calls;
        for (int i = 0; i < 1200; ++i) {
            // One request is sent again and again, as a caller that polls does.
            calls.push_back(fleet.world.call(
                "GET", i % 3 == 0 ? "/read/poll" : "/read/" + std::to_string(i), {}, i % Hosts));
            fleet.world.run(SoundInterval);
            if (i % 100 == 50)
                fleet.servers[static_cast<std::size_t>(i / 100 % Servers)]->crash();
        }
        fleet.world.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {12}, fleet.collect(&CrashingServer::crashes).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.stopped());
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(calls.size()), countServed(calls));
    }

    void aLostAnswerOfALivingServerIsRepeatedAtOnce()
    {
        Fleet fleet;
        for (int i = 0; i < Servers - 1; ++i)
            fleet.servers[static_cast<std::size_t>(i)]->resets = true;
        int slow = 0;
        for (int i = 0; i < 30; ++i) {
            const TimePoint sentAt = fleet.world.now();
            const auto call = fleet.world.call("GET", "/read/" + std::to_string(i), {}, i % Hosts);
            fleet.world.run(1s);
            const bool late =
                call->answer.status == 200 && call->answer.endedAt - sentAt > RunTime + 100ms;
            slow += late ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, slow);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.stopped());
    }

    /// How the attempt of a crashing request ends.
    enum class Ending {
        Deadline,
        CallerLeaves,
        ForeignAnswer,
    };

    /// Plays a request that crashes servers without ending their connections.
    static void expectStopped(Ending ending)
    {
        Fleet fleet;
        for (const auto &server : fleet.servers) {
            server->goesDark = true;
            server->answersForAnother = ending == Ending::ForeignAnswer;
        }
        for (int i = 0; i < PatientRepeats; ++i) {
            const auto call = fleet.world.call("POST", CrashingServer::UnsafeTarget,
                                               {{"X-Deadline-Ms", "1500"}}, i % Hosts);
            if (ending == Ending::CallerLeaves)
                fleet.world.after(300ms, [call] { call->client->close(); });
            fleet.world.run(PatientPause);
        }
        const auto crashes = fleet.collect(&CrashingServer::crashes);
        CPPUNIT_ASSERT(crashes.size() >= 2);
        expectFewLateRuns(crashes, fleet.collect(&CrashingServer::crashingRuns));
        CPPUNIT_ASSERT_EQUAL(std::size_t {Hosts}, fleet.stopped());
    }

    /// Guards against: only a connection that ended led to the question whether the server had
    /// crashed, so that a request at whose deadline the server was dark came again for ever.
    void aRequestThatEndsAtItsDeadlineIsStopped() { expectStopped(Ending::Deadline); }

    void aRequestWhoseCallerLeavesIsStopped() { expectStopped(Ending::CallerLeaves); }

    void aRequestThatGetsAForeignAnswerIsStopped() { expectStopped(Ending::ForeignAnswer); }

    /// No other stream shows that the engine is silent.
    void aGenerationWhoseCallerLeavesIsStopped()
    {
        GatewayWorld world(Hosts, 8);
        world.settle();
        world.setCrashingPart("dead", testtool::CrashMoment::WithoutAnEnd);
        for (int i = 0; i < PatientRepeats; ++i) {
            const auto call = world.call(
                "POST", "/gen/crash",
                {{"X-Token-Usage", "100,60"}, {"X-Prompt-Prefix", "aa01:40,dead:20"}}, i % Hosts);
            world.after(300ms, [call] { call->client->close(); });
            world.run(PatientPause);
        }
        CPPUNIT_ASSERT(world.crashesByPrompt.size() >= 2);
        expectFewLateRuns(world.crashesByPrompt, world.crashesByPrompt);
    }

    /// Guards against: a host that was asked whether a server refuses its connections as well had
    /// connected to no other server lately, so that its links were in doubt until the server had
    /// started again.
    void aCrashIsKnownAtOnceThoughNobodyElseSendsRequests()
    {
        for (int hosts = 1; hosts <= Hosts; ++hosts) {
            // Probes of engines would show that the links are sound.
            Fleet fleet(0);
            for (int i = hosts; i < Hosts; ++i)
                fleet.world.endHost(i);
            fleet.world.run(10s);
            const TimePoint sentAt = fleet.world.now();
            fleet.world.call("POST", CrashingServer::UnsafeTarget);
            fleet.world.run(1s);
            const auto &crashes = fleet.world.hosts[0]->node.view().quarantine();
            CPPUNIT_ASSERT_EQUAL(std::size_t {1}, crashes.reports(fleet.world.now()).size());
            CPPUNIT_ASSERT(crashes.reports(fleet.world.now()).begin()->second.age
                           <= fleet.world.now() - sentAt);
        }
    }

    void requestsGivenUpAtLeavingServersAreNoSuspects()
    {
        Fleet fleet;
        for (int i = 1; i <= Servers; ++i) {
            // All hosts have given up a request to the server when it leaves.
            for (int k = 0; k < Servers * Hosts; ++k) {
                const auto call = fleet.world.call("GET", "/read/poll", {}, k % Hosts);
                fleet.world.run(10ms);
                call->client->close();
            }
            const std::string id = "c-" + std::to_string(i);
            json entry = testtool::plainEntry("web", "10.0.4." + std::to_string(i) + ":80", true);
            entry["born"] = 1;
            fleet.world.registerServer(id, entry);
            fleet.world.run(3s);
            fleet.world.store.put("keyed.servers", id, std::nullopt);
            fleet.world.run(3s);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.stopped());
    }

    void crashesBesideCallersThatLeaveStopNoRequest()
    {
        Fleet fleet;
        for (int i = 0; i < 1200; ++i) {
            const auto call = fleet.world.call(
                "GET", i % 3 == 0 ? "/read/poll" : "/read/" + std::to_string(i), {}, i % Hosts);
            if (i % 2 == 0)
                fleet.world.after(RunTime / 2, [call] { call->client->close(); });
            fleet.world.run(SoundInterval);
            if (i % 100 == 50)
                fleet.servers[static_cast<std::size_t>(i / 100 % Servers)]->crash();
        }
        fleet.world.run(12s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {12}, fleet.collect(&CrashingServer::crashes).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.stopped());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTest);
