#include "gateway/fleet/fleet_view.h"
#include "gateway/peers/host_digest_codec.h"
#include "platform/header_dialect.h"

#include <dogwoodvalve/server_rate_limits.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <string>
#include <vector>

using namespace dogwoodvalve;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusMisdirected = 421;
constexpr double Tolerance = 1e-9;

TimePoint at(Duration sinceStart)
{
    return TimePoint {} + 1h + sinceStart;
}

HostDigest identity(int host)
{
    HostDigest digest;
    digest.name = "host-" + std::to_string(host);
    digest.zone = "a";
    digest.startedAtMs = 1;
    return digest;
}

ServerRegistration registration(std::int64_t startedAtMs)
{
    ServerRegistration server;
    server.id = "s";
    server.service = "web";
    server.startedAtMs = startedAtMs;
    return server;
}

ServerNotice noticeOf(const char *limit, int status = StatusOk)
{
    const std::vector<HttpField> fields {{"Server-Limit", limit}};
    return platform::decodeNotice(status, fields);
}

double wholeLimit(std::string_view, int)
{
    return 1;
}

/// Limits of which this host has the whole of one.
ServerRateLimits limitedTo(double perSecond)
{
    ServerRateLimits limits;
    limits.recordAnswer("s", 5, perSecond, at(0s), at(1s));
    limits.updateShares(wholeLimit);
    return limits;
}

} // namespace

/// Unit tests of the request rates that servers name in their answers.
class RateLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateLimitTest);
    CPPUNIT_TEST(aLimitIsReadAsADecimalNumber);
    CPPUNIT_TEST(unreadableLimitsAreTold);
    CPPUNIT_TEST(onlyAStampedAnswerEndsALimit);
    CPPUNIT_TEST(aLimitHoldsForThisLifeOnly);
    CPPUNIT_TEST(anOvertakenAnswerDoesNotEndALimit);
    CPPUNIT_TEST(aServerThatTakesNothingIsAskedAtTimes);
    CPPUNIT_TEST(aHostThatLearnsOfALimitSavesUpNothing);
    CPPUNIT_TEST(hostsShareALimitWithoutExceedingIt);
    CPPUNIT_TEST(silentHostsKeepTheirShareForAWhile);
    CPPUNIT_TEST(digestsCarryLimits);
    CPPUNIT_TEST(aHostKeepsToALimitThatAnotherHostWasTold);
    CPPUNIT_TEST(theEndOfALimitReachesOtherHosts);
    CPPUNIT_TEST(reportedLimitsAreBounded);
    CPPUNIT_TEST_SUITE_END();

    void aLimitIsReadAsADecimalNumber()
    {
        for (const auto &[text, value] : std::vector<std::pair<const char *, double>> {
                 {"5.7", 5.7}, {"0", 0}, {"12", 12}, {"0.04", 0.04}}) {
            CPPUNIT_ASSERT(noticeOf(text).rate == RateNotice::Limited);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(value, noticeOf(text).requestsPerSecond, Tolerance);
        }
        CPPUNIT_ASSERT(noticeOf(std::string(500, '9').c_str()).rate == RateNotice::Limited);
        CPPUNIT_ASSERT(platform::decodeNotice(StatusOk, {}).rate == RateNotice::Unlimited);
        CPPUNIT_ASSERT(noticeOf("5.7", StatusMisdirected).rate == RateNotice::Unknown);
    }

    void unreadableLimitsAreTold()
    {
        for (const char *text : {"-1", "-0.5", "nan", "inf", "few", "5/s", "1 2", "+1"})
            CPPUNIT_ASSERT_MESSAGE(text, noticeOf(text).rate == RateNotice::Unreadable);
    }

    void onlyAStampedAnswerEndsALimit()
    {
        const platform::HeaderDialect dialect;
        const std::vector<HttpField> stamped {{"X-Server-Stamp", "s"}};
        CPPUNIT_ASSERT(dialect.decodeAnswer(StatusOk, stamped, "r").notice.rate
                       == RateNotice::Unlimited);
        CPPUNIT_ASSERT(dialect.decodeAnswer(503, {}, "r").notice.rate == RateNotice::Unknown);
    }

    void aLimitHoldsForThisLifeOnly()
    {
        ServerRateLimits limits = limitedTo(2);
        CPPUNIT_ASSERT(limits.limit("s", 5));
        CPPUNIT_ASSERT(!limits.limit("s", 6));
        limits.recordAnswer("s", 6, std::nullopt, at(2s), at(2s));
        CPPUNIT_ASSERT(!limits.recordAnswer("s", 5, 3, at(3s), at(3s)));
        CPPUNIT_ASSERT(!limits.limit("s", 5));
    }

    void anOvertakenAnswerDoesNotEndALimit()
    {
        ServerRateLimits limits = limitedTo(2);
        CPPUNIT_ASSERT(!limits.recordAnswer("s", 5, std::nullopt, at(900ms), at(2s)));
        CPPUNIT_ASSERT(limits.limit("s", 5));
        CPPUNIT_ASSERT(limits.recordAnswer("s", 5, std::nullopt, at(2s), at(3s)));
        CPPUNIT_ASSERT(!limits.limit("s", 5));
    }

    void aServerThatTakesNothingIsAskedAtTimes()
    {
        ServerRateLimits limits = limitedTo(0);
        const auto next = limits.acceptsAt("s", 5, at(1s));
        CPPUNIT_ASSERT(next && *next > at(1s) && *next <= at(6s));
    }

    void aHostThatLearnsOfALimitSavesUpNothing()
    {
        ServerRateLimits limits = limitedTo(2);
        CPPUNIT_ASSERT(*limits.acceptsAt("s", 5, at(1s)) == at(1500ms));
        int sent = 0;
        for (TimePoint now = at(1s); now < at(5s); now += 10ms) {
            if (*limits.acceptsAt("s", 5, now) > now)
                continue;
            limits.recordRequest("s", 5, now);
            ++sent;
        }
        CPPUNIT_ASSERT(sent >= 6 && sent <= 8);
    }

    void hostsShareALimitWithoutExceedingIt()
    {
        for (const int hosts : {1, 7, 72, 295}) {
            for (const double perSecond : {0.25, 1.0, 5.7, 40.0, 1000.0}) {
                const int most = ServerRateLimits::maxSharingHosts(perSecond);
                double sum = 0;
                for (int self = 0; self < hosts; ++self) {
                    HostTable table("a");
                    for (int peer = 0; peer < hosts; ++peer) {
                        if (peer != self)
                            table.applyDigest(identity(peer), at(0s));
                    }
                    const double share = table.shareOf(identity(self).name, "s", most, at(0s));
                    sum += share;
                    CPPUNIT_ASSERT(share == 0 || hosts == 1 || most == 1
                                   || share * perSecond >= ServerRateLimits::MinRatePerHost - 0.01);
                }
                CPPUNIT_ASSERT_DOUBLES_EQUAL(1, sum, Tolerance);
            }
        }
    }

    void silentHostsKeepTheirShareForAWhile()
    {
        HostTable table("a");
        table.applyDigest(identity(2), at(0s));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, table.shareOf("host-1", "s", 2, at(9s)), Tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, table.shareOf("host-1", "s", 2, at(11s)), Tolerance);
    }

    void digestsCarryLimits()
    {
        HostDigest digest = identity(1);
        digest.rateLimits["s"] = {5, 5.7, 1500ms};
        digest.rateLimits["t"] = {6, std::nullopt, 2s};
        const auto decoded = decodeDigest(encodeDigest(digest));
        const RateLimitReports &limits = std::get<HostDigest>(decoded.value()).rateLimits;
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, limits.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.7, *limits.at("s").perSecond, Tolerance);
        CPPUNIT_ASSERT(limits.at("s").startedAtMs == 5 && limits.at("s").age == 1500ms);
        CPPUNIT_ASSERT(!limits.at("t").perSecond);
        RelayDigest relayed;
        relayed.relay = identity(2);
        relayed.rateLimits = digest.rateLimits;
        const auto decodedRelay = decodeDigest(encodeRelayDigest(relayed));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2},
                             std::get<RelayDigest>(decodedRelay.value()).rateLimits.size());
    }

    void aHostKeepsToALimitThatAnotherHostWasTold()
    {
        ManualTimerService timers;
        timers.advanceTo(at(0s));
        FleetView told(timers, identity(1), 5s);
        FleetView other(timers, identity(2), 5s);
        for (FleetView *view : {&told, &other})
            view->onServer(registration(5), {0, 1});
        told.recordRateNotice("s", 5, noticeOf("1"), at(0s));
        CPPUNIT_ASSERT(told.hasUrgentUpdate());
        CPPUNIT_ASSERT(other.acceptsRequest(registration(5)));
        other.applyDigest(told.nextDigest());
        CPPUNIT_ASSERT(!other.acceptsRequest(registration(5)));
    }

    void theEndOfALimitReachesOtherHosts()
    {
        ServerRateLimits told = limitedTo(2);
        ServerRateLimits other;
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, other.merge(told.reports(at(1s)), at(1s)).size());
        CPPUNIT_ASSERT(other.limit("s", 5));
        const RateLimitReports old = told.reports(at(1s));
        told.recordAnswer("s", 5, std::nullopt, at(2s), at(2s));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, other.merge(told.reports(at(2s)), at(2s)).size());
        CPPUNIT_ASSERT(!other.limit("s", 5));
        RateLimitReports late = old;
        late["s"].age = 5s;
        CPPUNIT_ASSERT(other.merge(late, at(6s)).empty());
    }

    void reportedLimitsAreBounded()
    {
        for (const double perSecond : {-1.0, 0.0, 1e300, HUGE_VAL}) {
            ServerRateLimits limits;
            limits.merge({{"s", {5, perSecond, 0s}}}, at(1s));
            limits.updateShares(wholeLimit);
            CPPUNIT_ASSERT(limits.ownRate("s", 5) >= ServerRateLimits::MinLimit);
            CPPUNIT_ASSERT(limits.ownRate("s", 5) <= ServerRateLimits::MaxLimit);
            CPPUNIT_ASSERT(*limits.acceptsAt("s", 5, at(1s)) <= at(6s));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTest);
