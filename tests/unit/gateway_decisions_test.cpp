#include <dogwoodvalve/host_table.h>
#include <dogwoodvalve/plain_selector.h>
#include <dogwoodvalve/random.h>
#include <dogwoodvalve/server_health.h>
#include <dogwoodvalve/shared_retry_budget.h>
#include <dogwoodvalve/wait_predictor.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace dogwoodvalve;

namespace {

TimePoint at(Duration sinceStart)
{
    return TimePoint {} + 1h + sinceStart;
}

HostDigest host(const std::string &name, const std::string &zone, std::uint64_t sequence)
{
    HostDigest digest;
    digest.name = name;
    digest.zone = zone;
    digest.callerAddress = name + ":1";
    digest.sequence = sequence;
    digest.ready = true;
    return digest;
}

} // namespace

/// Unit tests of the smaller decisions that an entry host makes for the gateway.
class GatewayDecisionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayDecisionsTest);
    CPPUNIT_TEST(allHostsTogetherStayWithinTheRetryAllowance);
    CPPUNIT_TEST(retriesAreAllowedAgainAfterTheWindow);
    CPPUNIT_TEST(failingServersAreEjectedAndRetried);
    CPPUNIT_TEST(aRestartedServerIsUsable);
    CPPUNIT_TEST(evidenceFromBeforeARestartIsIgnored);
    CPPUNIT_TEST(anUnreachableServerIsNotUsedUntilItsNextHeartbeat);
    CPPUNIT_TEST(olderDigestsAreRejected);
    CPPUNIT_TEST(manyHostsSendDigestsLessOften);
    CPPUNIT_TEST(fiveLiveHostsAreCandidatesForTheLease);
    CPPUNIT_TEST(commitmentsOfDeadHostsExpire);
    CPPUNIT_TEST(totalsFollowEachDigest);
    CPPUNIT_TEST(tasksAreDividedAmongLiveHosts);
    CPPUNIT_TEST(allHostsAgreeOnTheTopRanked);
    CPPUNIT_TEST(aSuccessfulProbeReinstatesAndAFailedOneIsReported);
    CPPUNIT_TEST(aPeerSuspicionEndsWithAHeartbeat);
    CPPUNIT_TEST(reportsOfADisconnectedHostAreIgnored);
    CPPUNIT_TEST(slownessReportsExpire);
    CPPUNIT_TEST(lookupsReturnReadyHostsOfTheZone);
    CPPUNIT_TEST(lookupsAddOtherZonesWhenAZoneHasFewHosts);
    CPPUNIT_TEST(theLeastLoadedServerIsPicked);
    CPPUNIT_TEST(serversWithEqualLoadArePickedInTurn);
    CPPUNIT_TEST(overloadIsRefusedAtOnceWithARetryTime);
    CPPUNIT_TEST_SUITE_END();

    void allHostsTogetherStayWithinTheRetryAllowance()
    {
        const RetryAllowance allowance {10s, 0.2, 70};
        constexpr int Hosts = 7;
        std::vector<SharedRetryBudget> budgets(Hosts, SharedRetryBudget(allowance));
        int requests = 0;
        int retries = 0;
        for (int ms = 0; ms < 10'000; ms += 10) {
            for (SharedRetryBudget &budget : budgets) {
                budget.recordRequest(at(std::chrono::milliseconds(ms)));
                ++requests;
                // Every attempt fails, and each request asks for three retries.
                for (int i = 0; i < 3; ++i)
                    retries += budget.tryAcquire(at(std::chrono::milliseconds(ms)), Hosts) ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(retries <= 0.2 * requests + 70);
        CPPUNIT_ASSERT(retries > 0.1 * requests);
    }

    void retriesAreAllowedAgainAfterTheWindow()
    {
        SharedRetryBudget budget({10s, 0, 10});
        int acquired = 0;
        while (budget.tryAcquire(at(0s), 1))
            ++acquired;
        CPPUNIT_ASSERT_EQUAL(7, acquired);
        CPPUNIT_ASSERT(!budget.tryAcquire(at(9s), 1));
        CPPUNIT_ASSERT(budget.tryAcquire(at(11s), 1));
    }

    void failingServersAreEjectedAndRetried()
    {
        ServerHealth health;
        health.recordEvidence("s", 1, ServerEvidence::Failed, at(0s));
        CPPUNIT_ASSERT(health.usable("s", 1, at(0s)));
        health.recordEvidence("s", 1, ServerEvidence::Failed, at(10ms));
        health.recordEvidence("s", 1, ServerEvidence::Failed, at(20ms));
        health.recordEvidence("s", 1, ServerEvidence::Failed, at(30ms));
        CPPUNIT_ASSERT(!health.usable("s", 1, at(500ms)));
        CPPUNIT_ASSERT(health.usable("s", 1, at(2s)));
        // The second ejection is longer than the first one.
        for (int i = 0; i < 4; ++i)
            health.recordEvidence("s", 1, ServerEvidence::Failed, at(2s));
        CPPUNIT_ASSERT(!health.usable("s", 1, at(3500ms)));
        CPPUNIT_ASSERT(health.usable("t", 1, at(0s)));
    }

    void aRestartedServerIsUsable()
    {
        ServerHealth health;
        health.recordEvidence("s", 1, ServerEvidence::Unreachable, at(0s));
        CPPUNIT_ASSERT(!health.usable("s", 1, at(1ms)));
        CPPUNIT_ASSERT(health.usable("s", 2, at(1ms)));
    }

    void evidenceFromBeforeARestartIsIgnored()
    {
        ServerHealth health;
        health.recordEvidence("s", 2, ServerEvidence::Failed, at(0s));
        health.recordEvidence("s", 1, ServerEvidence::Unreachable, at(1ms));
        CPPUNIT_ASSERT(health.usable("s", 2, at(2ms)));
    }

    void anUnreachableServerIsNotUsedUntilItsNextHeartbeat()
    {
        ServerHealth health;
        health.recordEvidence("s", 1, ServerEvidence::Unreachable, at(0s));
        // This heartbeat may have been written before the server died.
        health.recordHeartbeat("s", 1, at(900ms));
        CPPUNIT_ASSERT(!health.usable("s", 1, at(3s)));
        health.recordHeartbeat("s", 1, at(3s));
        CPPUNIT_ASSERT(health.usable("s", 1, at(3s)));
        // Without any heartbeat, for example while the store is down, it is tried again after a
        // while.
        health.recordEvidence("s", 1, ServerEvidence::Unreachable, at(4s));
        CPPUNIT_ASSERT(!health.usable("s", 1, at(9s)));
        CPPUNIT_ASSERT(health.usable("s", 1, at(11s)));
    }

    void olderDigestsAreRejected()
    {
        HostTable table;
        CPPUNIT_ASSERT(table.applyDigest(host("h", "a", 5), at(0s)));
        CPPUNIT_ASSERT(!table.applyDigest(host("h", "a", 4), at(1s)));
        HostDigest restarted = host("h", "a", 1);
        restarted.startedAtMs = 10;
        CPPUNIT_ASSERT(table.applyDigest(restarted, at(2s)));
        CPPUNIT_ASSERT(!table.applyDigest(host("h", "a", 6), at(3s)));
    }

    /// With 340 hosts, each host sends and receives about as many digests per second as with ten.
    void manyHostsSendDigestsLessOften()
    {
        for (const int hosts : {7, 30, 77, 340}) {
            HostTable table;
            for (int i = 1; i < hosts; ++i)
                table.applyDigest(host("h" + std::to_string(i), "a", 1), at(0s));
            const double perSecond = (hosts - 1) * 1e6 / table.digestInterval().count();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(hosts), perSecond <= 100);
            CPPUNIT_ASSERT(table.liveHosts(at(table.digestInterval() * 5)) == hosts);
            CPPUNIT_ASSERT(table.liveHosts(at(table.digestInterval() * 9)) == 1);
        }
    }

    void fiveLiveHostsAreCandidatesForTheLease()
    {
        const auto candidates = [](int hosts, Duration later) {
            int n = 0;
            for (int self = 0; self < hosts; ++self) {
                HostTable table;
                for (int i = 0; i < hosts; ++i) {
                    if (i != self)
                        table.applyDigest(host("h" + std::to_string(i), "a", 1), at(0s));
                }
                n += table.isTopRanked("h" + std::to_string(self), "t", 5, at(later)) ? 1 : 0;
            }
            return n;
        };
        CPPUNIT_ASSERT_EQUAL(3, candidates(3, 0s));
        CPPUNIT_ASSERT_EQUAL(5, candidates(77, 0s));
        // A host that sees no other live host is a candidate.
        CPPUNIT_ASSERT_EQUAL(77, candidates(77, 60s));
    }

    void commitmentsOfDeadHostsExpire()
    {
        HostTable table;
        HostDigest digest = host("h", "a", 1);
        digest.commitments["s"] = 500;
        digest.inFlight["p"] = 3;
        table.applyDigest(digest, at(0s));
        CPPUNIT_ASSERT_EQUAL(500.0, table.committedByPeers("s", at(100ms)));
        CPPUNIT_ASSERT_EQUAL(3, table.inFlightByPeers("p", at(100ms)));
        CPPUNIT_ASSERT_EQUAL(0.0, table.committedByPeers("s", at(2s)));
        CPPUNIT_ASSERT_EQUAL(1, table.liveHosts(at(2s)));
    }

    void totalsFollowEachDigest()
    {
        HostTable table;
        for (int round = 1; round <= 5; ++round) {
            for (int i = 0; i < 30; ++i) {
                HostDigest digest =
                    host("h" + std::to_string(i), "a", static_cast<std::uint64_t>(round));
                digest.commitments["s" + std::to_string((i + round) % 3)] = 100 + i;
                digest.inFlight["p"] = round;
                table.applyDigest(digest, at(100ms * round));
            }
            double sum = 0;
            for (int s = 0; s < 3; ++s)
                sum += table.committedByPeers("s" + std::to_string(s), at(100ms * round));
            CPPUNIT_ASSERT_DOUBLES_EQUAL(30 * 100.0 + 435, sum, 0.001);
            CPPUNIT_ASSERT_EQUAL(30 * round, table.inFlightByPeers("p", at(100ms * round)));
        }
        table.expire(at(60s));
        CPPUNIT_ASSERT(table.peers().empty());
        CPPUNIT_ASSERT_EQUAL(0, table.inFlightByPeers("p", at(60s)));
    }

    void tasksAreDividedAmongLiveHosts()
    {
        const int hosts = 10;
        std::vector<HostTable> tables(hosts);
        for (int self = 0; self < hosts; ++self) {
            for (int i = 0; i < hosts; ++i) {
                if (i != self)
                    tables[static_cast<std::size_t>(self)].applyDigest(
                        host("h" + std::to_string(i), "a", 1), at(0s));
            }
        }
        for (int task = 0; task < 200; ++task) {
            int owners = 0;
            for (int self = 0; self < hosts; ++self)
                owners += tables[static_cast<std::size_t>(self)]
                              .taskPartition("h" + std::to_string(self), at(0s))
                              .owns("task-" + std::to_string(task))
                    ? 1
                    : 0;
            CPPUNIT_ASSERT_EQUAL(1, owners);
        }
    }

    void allHostsAgreeOnTheTopRanked()
    {
        const int hosts = 12;
        std::set<std::string> first;
        for (int self = 0; self < hosts; ++self) {
            HostTable table;
            for (int i = 0; i < hosts; ++i) {
                if (i != self)
                    table.applyDigest(host("h" + std::to_string(i), "a", 1), at(0s));
            }
            const std::string name = "h" + std::to_string(self);
            std::size_t n = table.isTopRanked(name, "t", 4, at(0s)) ? 1 : 0;
            if (n > 0)
                first.insert(name);
            for (const HostTable::Peer *peer : table.topRankedPeers(name, "t", 4, at(0s))) {
                first.insert(peer->digest.name);
                ++n;
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t {4}, n);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {4}, first.size());
    }

    void aSuccessfulProbeReinstatesAndAFailedOneIsReported()
    {
        ServerHealth health;
        health.recordEvidence("s", 1, ServerEvidence::Unreachable, at(0s));
        CPPUNIT_ASSERT(health.failedProbes(at(1ms)).empty());
        health.recordEvidence("s", 1, ServerEvidence::ProbeFailed, at(10ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, health.failedProbes(at(20ms)).size());
        CPPUNIT_ASSERT(!health.usable("s", 1, at(20ms)));
        health.recordEvidence("s", 1, ServerEvidence::ProbeSucceeded, at(300ms));
        CPPUNIT_ASSERT(health.failedProbes(at(300ms)).empty());
        CPPUNIT_ASSERT(health.usable("s", 1, at(500ms)));
        // A successful probe does not end an ejection for failed requests.
        for (int i = 0; i < 3; ++i)
            health.recordEvidence("s", 1, ServerEvidence::Failed, at(1s));
        health.recordEvidence("s", 1, ServerEvidence::ProbeSucceeded, at(1100ms));
        CPPUNIT_ASSERT(!health.usable("s", 1, at(1200ms)));
    }

    void aPeerSuspicionEndsWithAHeartbeat()
    {
        ServerHealth health;
        health.recordPeerSuspicion("s", 1, at(0s));
        CPPUNIT_ASSERT(!health.usable("s", 1, at(1s)));
        // Suspicions of other hosts are not reported to others as failed probes.
        CPPUNIT_ASSERT(health.failedProbes(at(0s)).empty());
        health.recordHeartbeat("s", 1, at(1s));
        CPPUNIT_ASSERT(!health.usable("s", 1, at(1s)));
        health.recordHeartbeat("s", 1, at(2500ms));
        CPPUNIT_ASSERT(health.usable("s", 1, at(2500ms)));
        CPPUNIT_ASSERT(health.usable("s", 2, at(1ms)));
    }

    void reportsOfADisconnectedHostAreIgnored()
    {
        HostTable table;
        HostDigest reporter = host("h1", "a", 1);
        reporter.failedProbes = {"s"};
        table.applyDigest(reporter, at(0s));
        reporter.name = "h2";
        table.applyDigest(reporter, at(0s));
        CPPUNIT_ASSERT_EQUAL(2, table.hostsReportingFailedProbe("s", at(0s)));
        CPPUNIT_ASSERT_EQUAL(0, table.hostsReportingFailedProbe("s", at(3s)));
        HostDigest disconnected = host("h3", "a", 1);
        for (int i = 0; i < 20; ++i)
            disconnected.failedProbes.push_back("t" + std::to_string(i));
        table.applyDigest(disconnected, at(0s));
        disconnected.name = "h4";
        table.applyDigest(disconnected, at(0s));
        CPPUNIT_ASSERT_EQUAL(0, table.hostsReportingFailedProbe("t1", at(0s)));
    }

    void slownessReportsExpire()
    {
        HostTable table;
        HostDigest digest = host("h", "a", 1);
        digest.slowness["s"] = 4;
        table.applyDigest(digest, at(0s));
        CPPUNIT_ASSERT_EQUAL(4.0, table.reportedSlowness("s", at(1s)));
        CPPUNIT_ASSERT_EQUAL(1.0, table.reportedSlowness("t", at(1s)));
        CPPUNIT_ASSERT_EQUAL(1.0, table.reportedSlowness("s", at(5s)));
    }

    void lookupsReturnReadyHostsOfTheZone()
    {
        HostTable table;
        table.applyDigest(host("near", "a", 1), at(0s));
        table.applyDigest(host("far", "b", 1), at(0s));
        HostDigest leaving = host("leaving", "a", 1);
        leaving.leaving = true;
        table.applyDigest(leaving, at(0s));
        HostDigest starting = host("starting", "a", 1);
        starting.ready = false;
        table.applyDigest(starting, at(0s));
        const auto addresses = chooseCallerAddresses(host("self", "a", 1), table, "a", at(0s));
        CPPUNIT_ASSERT((addresses == std::vector<std::string> {"self:1", "near:1"}));
        const auto later = chooseCallerAddresses(host("self", "a", 1), table, "a", at(2s));
        CPPUNIT_ASSERT((later == std::vector<std::string> {"self:1"}));
    }

    void lookupsAddOtherZonesWhenAZoneHasFewHosts()
    {
        HostTable table;
        table.applyDigest(host("other", "b", 1), at(0s));
        const auto addresses = chooseCallerAddresses(host("self", "a", 1), table, "a", at(0s));
        CPPUNIT_ASSERT((addresses == std::vector<std::string> {"self:1", "other:1"}));
    }

    void theLeastLoadedServerIsPicked()
    {
        std::vector<PlainServer> servers {{6, 3, false, {}}, {6, 1, false, {}}, {2, 0, true, {}}};
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, *pickLeastOutstanding(servers, 0));
        servers[1].inFlight = 6;
        servers[0].inFlight = 6;
        CPPUNIT_ASSERT(!pickLeastOutstanding(servers, 0).has_value());
        CPPUNIT_ASSERT(!pickLeastOutstanding({}, 5).has_value());
    }

    /// A server among equals must not be left out for long by chance.
    void serversWithEqualLoadArePickedInTurn()
    {
        Random random(7);
        std::vector<PlainServer> servers(3, PlainServer {6, 0, false, {}});
        for (int i = 0; i < 300; ++i) {
            const auto picked = *pickLeastOutstanding(servers, random.next());
            for (const PlainServer &server : servers)
                CPPUNIT_ASSERT(server.lastSentAt >= servers[picked].lastSentAt);
            servers[picked].lastSentAt = at(std::chrono::seconds(i + 1));
        }
        servers[0].inFlight = servers[1].inFlight = 1;
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t {2}, *pickLeastOutstanding(servers, random.next()));
    }

    /// Twice the load that a pool serves, for ten seconds: requests that may wait start in time,
    /// the pool stays busy, and the others are refused at once with a retry time within the bounds.
    void overloadIsRefusedAtOnceWithARetryTime()
    {
        constexpr double ServedPerSecond = 50;
        constexpr Duration Useful = 300ms;
        WaitPredictor predictor;
        Random random(5);
        double queue = 0;
        int refused = 0;
        int late = 0;
        int accepted = 0;
        for (int ms = 0; ms < 10'000; ++ms) {
            const TimePoint now = at(std::chrono::milliseconds(ms));
            if (queue > 0 && ms % 20 == 0) {
                queue -= 1;
                predictor.recordCompleted(1, now);
            }
            if (!random.chance(2 * ServedPerSecond / 1000))
                continue;
            const Duration wait = predictor.timeToComplete(queue + 1, now);
            const WaitDecision decision = decideWait(wait, Useful, 20s, random.fraction());
            // A request that finds no queue starts at once.
            if (queue < 1 || decision.wait) {
                queue += 1;
                ++accepted;
                late += queue / ServedPerSecond > 0.45 ? 1 : 0;
            } else {
                ++refused;
                CPPUNIT_ASSERT(decision.retryAfter >= 200ms);
                CPPUNIT_ASSERT(decision.retryAfter <= Duration(20s) / 3);
            }
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(accepted), accepted > 0.9 * ServedPerSecond * 10);
        CPPUNIT_ASSERT(refused > 0.3 * ServedPerSecond * 10);
        CPPUNIT_ASSERT_EQUAL(0, late);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayDecisionsTest);
