#include "gateway/peers/host_digest_codec.h"

#include <dogwoodvalve/host_table.h>
#include <dogwoodvalve/shared_retry_budget.h>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace dogwoodvalve;

namespace {

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

HostDigest host(const std::string &name, const std::string &zone, std::uint64_t sequence)
{
    HostDigest digest;
    digest.name = name;
    digest.zone = zone;
    digest.sequence = sequence;
    return digest;
}

/// Takes all retries that the budget allows now.
int takeAll(SharedRetryBudget &budget, const RetrySharers &sharers)
{
    int retries = 0;
    while (budget.tryAcquire(at(1s), sharers))
        ++retries;
    return retries;
}

} // namespace

/// The share of the retries that each host takes, and which hosts share them.
class SharedRetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedRetryBudgetTest);
    CPPUNIT_TEST(processesThatAreRestartedTogetherStayWithinTheRetryAllowance);
    CPPUNIT_TEST(silentHostsKeepTheirShareOfTheSlack);
    CPPUNIT_TEST(hostsThatHaveLeftGiveTheirShareBack);
    CPPUNIT_TEST(retriesThatWaitForLongAreNotGrantedAgain);
    CPPUNIT_TEST(aHostThatRestartsAloneKeepsItsShareOfTheRetries);
    CPPUNIT_TEST(someHostsThatRestartTwiceStayWithinTheRetryAllowance);
    CPPUNIT_TEST(hostsTellHowLongTheyRun);
    CPPUNIT_TEST_SUITE_END();

    void processesThatAreRestartedTogetherStayWithinTheRetryAllowance()
    {
        const RetryAllowance allowance {10s, 0.2, 70};
        constexpr int Hosts = 7;
        std::vector<SharedRetryBudget> budgets(Hosts, SharedRetryBudget(allowance));
        int requests = 0;
        int retries = 0;
        for (int ms = 0; ms < 20'000; ms += 10) {
            // All retries in the second half of the time are in one window.
            retries = ms == 10'000 ? 0 : retries;
            if (ms > 10'000 && ms % 2'000 == 0)
                budgets.assign(Hosts,
                               SharedRetryBudget(allowance, at(std::chrono::milliseconds(ms))));
            for (SharedRetryBudget &budget : budgets) {
                budget.recordRequest(at(std::chrono::milliseconds(ms)));
                requests += ms < 10'000 ? 1 : 0;
                retries += budget.tryAcquire(at(std::chrono::milliseconds(ms)), Hosts) ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(retries <= 0.2 * requests + 70);
    }

    void silentHostsKeepTheirShareOfTheSlack()
    {
        HostTable table;
        for (int i = 0; i < 6; ++i)
            table.applyDigest(host("h" + std::to_string(i), "a", 1), at(0s));
        table.expire(at(60s));
        CPPUNIT_ASSERT_EQUAL(1, table.liveHosts(at(60s)));
        CPPUNIT_ASSERT_EQUAL(7, table.knownHosts(at(60s)));
        table.expire(at(3600s));
        CPPUNIT_ASSERT_EQUAL(1, table.knownHosts(at(3600s)));
    }

    void hostsThatHaveLeftGiveTheirShareBack()
    {
        HostTable table;
        table.applyDigest(host("h1", "a", 1), at(0s));
        HostDigest leaving = host("h1", "a", 2);
        leaving.leaving = true;
        table.applyDigest(leaving, at(1s));
        CPPUNIT_ASSERT_EQUAL(2, table.knownHosts(at(10s)));
        CPPUNIT_ASSERT_EQUAL(1, table.knownHosts(at(60s)));
        HostDigest returned = host("h1", "a", 1);
        returned.startedAtMs = leaving.startedAtMs + 1;
        table.applyDigest(returned, at(60s));
        CPPUNIT_ASSERT_EQUAL(2, table.knownHosts(at(120s)));
    }

    void retriesThatWaitForLongAreNotGrantedAgain()
    {
        SharedRetryBudget budget({10s, 0, 10});
        int reserved = 0;
        while (budget.tryReserve(at(0s), 1))
            ++reserved;
        CPPUNIT_ASSERT_EQUAL(7, reserved);
        CPPUNIT_ASSERT(!budget.tryReserve(at(15s), 1));
        for (int i = 0; i < reserved - 1; ++i)
            budget.recordSent(at(16s));
        budget.release();
        CPPUNIT_ASSERT(budget.tryReserve(at(17s), 1));
        CPPUNIT_ASSERT(!budget.tryReserve(at(25s), 1));
        CPPUNIT_ASSERT(budget.tryReserve(at(27s), 1));
    }

    void aHostThatRestartsAloneKeepsItsShareOfTheRetries()
    {
        const RetryAllowance allowance {10s, 0, 700};
        SharedRetryBudget running(allowance);
        SharedRetryBudget restarted(allowance, at(0s));
        CPPUNIT_ASSERT_EQUAL(takeAll(running, {7}), takeAll(restarted, {7, 1, true}));
    }

    void someHostsThatRestartTwiceStayWithinTheRetryAllowance()
    {
        const RetryAllowance allowance {10s, 0, 700};
        for (int started = 1; started < 7; ++started) {
            int retries = 0;
            for (int i = 0; i < 7; ++i) {
                SharedRetryBudget running(allowance);
                retries += takeAll(running, {7});
            }
            for (int i = 0; i < 2 * started; ++i) {
                SharedRetryBudget restarted(allowance, at(0s));
                retries += takeAll(restarted, {7, started, true});
            }
            CPPUNIT_ASSERT_LESSEQUAL(700, retries);
        }
    }

    void hostsTellHowLongTheyRun()
    {
        HostTable table;
        HostDigest digest = host("h1", "a", 1);
        digest.uptime = 8s;
        const auto decoded = decodeDigest(encodeDigest(digest));
        table.applyDigest(std::get<HostDigest>(decoded.value()), at(0s));
        CPPUNIT_ASSERT_EQUAL(0, table.peersUpFor(10s, at(0s)));
        CPPUNIT_ASSERT_EQUAL(1, table.peersUpFor(8s, at(0s)));
        CPPUNIT_ASSERT_EQUAL(0, table.peersUpFor(8s, at(60s)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedRetryBudgetTest);
