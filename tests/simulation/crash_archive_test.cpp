#include "simulation/crashing_server.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;

namespace {

constexpr int Hosts = CrashingFleet::Hosts;
constexpr const char *ArchiveTopic = "keyed.dogwoodvalve-crashes";
/// Time in which the evidence on a crash must be in the store, if the store can be reached.
constexpr Duration ArchivingTime = 1500ms;
/// A host that was started is ready by then.
constexpr Duration StartTime = 1s;
constexpr Duration SoundInterval = 25ms;
/// Records of each crash, with those by which evidence is cleared or completed.
constexpr std::size_t MaxRecordsPerCrash = 8;
/// Records are useless after ten minutes and are removed some minutes later.
constexpr Duration RemovalTime = 18min;

} // namespace

/// Evidence against requests that crash servers outlasts the hosts that have found it.
class CrashArchiveTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashArchiveTest);
    CPPUNIT_TEST(aStoppedRequestStaysStoppedWhenAllHostsAreKilled);
    CPPUNIT_TEST(oneCrashIsRememberedWhenAllHostsAreKilled);
    CPPUNIT_TEST(evidenceIsArchivedOnceTheStoreIsBack);
    CPPUNIT_TEST(hostsThatStartWithoutTheStoreReadTheArchiveLater);
    CPPUNIT_TEST(evidenceIsWrittenAgainToAStoreThatLostIt);
    CPPUNIT_TEST(whatClearsARequestIsArchivedToo);
    CPPUNIT_TEST(aHostWithoutTheStoreLeavesTheWritingToAnother);
    CPPUNIT_TEST(unreadableRecordsAreLeftOut);
    CPPUNIT_TEST(recordsOfManyCrashesAreFew);
    CPPUNIT_TEST(oldRecordsAreRemoved);
    CPPUNIT_TEST_SUITE_END();

    /// Lets time pass in which callers of other requests are served.
    static void serve(CrashingFleet &fleet, Duration time)
    {
        const TimePoint end = fleet.world.now() + time;
        for (int i = 0; fleet.world.now() < end; ++i) {
            fleet.world.call("GET", "/read/" + std::to_string(fleet.world.calls.size()), {},
                             i % Hosts);
            fleet.world.run(SoundInterval);
        }
    }

    /// Sends the crashing request until it has crashed so many servers.
    static void crashServers(CrashingFleet &fleet, std::size_t crashes)
    {
        for (int i = 0; fleet.collect(&CrashingServer::crashes).size() < crashes; ++i) {
            CPPUNIT_ASSERT(i < 20);
            fleet.world.call("POST", CrashingServer::UnsafeTarget, {}, i % Hosts);
            serve(fleet, 700ms);
        }
    }

    static void killAllHosts(CrashingFleet &fleet)
    {
        for (int i = 0; i < Hosts; ++i)
            fleet.world.restartHost(i);
        fleet.world.run(StartTime);
    }

    /// Sends the crashing request to each host, and expects that none sends it to a server.
    static void expectStopped(CrashingFleet &fleet)
    {
        const std::size_t runs = fleet.collect(&CrashingServer::crashingRuns).size();
        for (int host = 0; host < Hosts; ++host) {
            const auto call = fleet.world.call("POST", CrashingServer::UnsafeTarget, {}, host);
            fleet.world.run(500ms);
            CPPUNIT_ASSERT_EQUAL(503, call->answer.status);
        }
        CPPUNIT_ASSERT_EQUAL(runs, fleet.collect(&CrashingServer::crashingRuns).size());
    }

    static void refuseCalls(CrashingFleet &fleet, bool refuse)
    {
        testtool::LogStoreFaults faults;
        faults.refuseWith = refuse ? 503 : 0;
        fleet.world.store.setFaults(faults);
    }

    /// Guards against: the evidence was in the memory of the hosts only, so that a request that had
    /// been stopped crashed servers again after each loss of all hosts.
    void aStoppedRequestStaysStoppedWhenAllHostsAreKilled()
    {
        CrashingFleet fleet;
        crashServers(fleet, 2);
        serve(fleet, ArchivingTime);
        for (int i = 0; i < 3; ++i) {
            killAllHosts(fleet);
            fleet.world.run(3s);
            expectStopped(fleet);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, fleet.collect(&CrashingServer::crashes).size());
    }

    void oneCrashIsRememberedWhenAllHostsAreKilled()
    {
        CrashingFleet fleet;
        for (std::size_t crashes = 1; crashes <= 2; ++crashes) {
            crashServers(fleet, crashes);
            serve(fleet, ArchivingTime);
            killAllHosts(fleet);
        }
        expectStopped(fleet);
    }

    void evidenceIsArchivedOnceTheStoreIsBack()
    {
        CrashingFleet fleet;
        refuseCalls(fleet, true);
        crashServers(fleet, 2);
        fleet.world.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.world.store.keysOf(ArchiveTopic));
        expectStopped(fleet);
        refuseCalls(fleet, false);
        fleet.world.run(10s);
        killAllHosts(fleet);
        expectStopped(fleet);
    }

    void hostsThatStartWithoutTheStoreReadTheArchiveLater()
    {
        CrashingFleet fleet;
        crashServers(fleet, 2);
        fleet.world.run(5s);
        refuseCalls(fleet, true);
        killAllHosts(fleet);
        fleet.world.run(5s);
        refuseCalls(fleet, false);
        fleet.world.run(9s);
        expectStopped(fleet);
    }

    void evidenceIsWrittenAgainToAStoreThatLostIt()
    {
        CrashingFleet fleet;
        crashServers(fleet, 2);
        serve(fleet, ArchivingTime);
        fleet.world.store.restoreFromCopy(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.world.store.keysOf(ArchiveTopic));
        fleet.world.run(5s);
        killAllHosts(fleet);
        expectStopped(fleet);
    }

    /// A request that many callers send is on each server that crashes, and is served again.
    void whatClearsARequestIsArchivedToo()
    {
        CrashingFleet fleet;
        for (int i = 0; i < 600; ++i) {
            fleet.world.call("GET", "/read/poll", {}, i % Hosts);
            fleet.world.run(SoundInterval);
            if (i % 150 == 50)
                fleet.servers[static_cast<std::size_t>(i / 150 % CrashingFleet::Servers)]->crash();
        }
        fleet.world.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {4}, fleet.collect(&CrashingServer::crashes).size());
        killAllHosts(fleet);
        fleet.world.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.stopped());
        const auto call = fleet.world.call("GET", "/read/poll", {}, 0);
        fleet.world.run(1s);
        CPPUNIT_ASSERT_EQUAL(200, call->answer.status);
    }

    void aHostWithoutTheStoreLeavesTheWritingToAnother()
    {
        for (int cut = 0; cut < Hosts; ++cut) {
            CrashingFleet fleet;
            fleet.world.disconnectFromStore(cut);
            crashServers(fleet, 2);
            fleet.world.run(5s);
            killAllHosts(fleet);
            fleet.world.run(3s);
            CPPUNIT_ASSERT_EQUAL(std::size_t {Hosts}, fleet.stopped());
        }
    }

    void unreadableRecordsAreLeftOut()
    {
        CrashingFleet fleet;
        for (const char *value :
             {"", "{", "null", "[1]", R"({"crash":5})", R"({"crash":"a:1","crashedAtMs":1e300})",
              R"({"crash":"a:1","crashedAtMs":0,"parts":{"p":1}})",
              R"({"crash":"a:1","crashedAtMs":0,"parts":{"p":["x",0,true]}})"})
            fleet.world.store.put(ArchiveTopic, value, value);
        crashServers(fleet, 2);
        serve(fleet, ArchivingTime);
        killAllHosts(fleet);
        expectStopped(fleet);
    }

    void recordsOfManyCrashesAreFew()
    {
        constexpr std::size_t Crashes = 12;
        CrashingFleet fleet;
        for (std::size_t i = 0; i < Crashes * 80; ++i) {
            fleet.world.call("GET", "/read/" + std::to_string(i), {}, static_cast<int>(i % Hosts));
            fleet.world.run(SoundInterval);
            if (i % 80 == 40)
                fleet.servers[i / 80 % CrashingFleet::Servers]->crash();
        }
        fleet.world.run(5s);
        CPPUNIT_ASSERT_EQUAL(Crashes, fleet.collect(&CrashingServer::crashes).size());
        CPPUNIT_ASSERT_LESSEQUAL(Crashes * MaxRecordsPerCrash,
                                 fleet.world.store.recordsOf(ArchiveTopic));
    }

    void oldRecordsAreRemoved()
    {
        CrashingFleet fleet;
        crashServers(fleet, 2);
        serve(fleet, ArchivingTime);
        CPPUNIT_ASSERT(fleet.world.store.keysOf(ArchiveTopic) > 0);
        // Those that wrote the records can't remove them.
        killAllHosts(fleet);
        fleet.world.run(RemovalTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.world.store.keysOf(ArchiveTopic));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashArchiveTest);
