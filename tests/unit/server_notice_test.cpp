#include "gateway/fleet/fleet_view.h"
#include "gateway/peers/host_digest_codec.h"
#include "platform/header_dialect.h"

#include <dogwoodvalve/server_health.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace dogwoodvalve;

namespace {

constexpr int StatusMisdirected = 421;
constexpr Duration KeyRevocation = 5s;

TimePoint at(Duration sinceStart)
{
    return TimePoint {} + 1h + sinceStart;
}

bool never(const std::string &)
{
    return false;
}

HostDigest identity(const char *name)
{
    HostDigest digest;
    digest.name = name;
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

} // namespace

/// Unit tests of what servers say in their answers about further requests.
class ServerNoticeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerNoticeTest);
    CPPUNIT_TEST(leavingIsDecodedFromAnyAnswerOfTheServerAsked);
    CPPUNIT_TEST(leavingHoldsForThisLifeOnly);
    CPPUNIT_TEST(aLateAnswerOfAnEarlierLifeSaysNothingOfTheNewOne);
    CPPUNIT_TEST(leavingOutlastsTheRegistration);
    CPPUNIT_TEST(digestsCarryLeavingServers);
    CPPUNIT_TEST(aDigestWithoutLeavingServersIsReadable);
    CPPUNIT_TEST(aRelayPassesLeavingServersOn);
    CPPUNIT_TEST(aPauseIsReadInWholeAndFractionalSeconds);
    CPPUNIT_TEST(unreadablePausesAreTold);
    CPPUNIT_TEST(onlyARefusalAsksForAPause);
    CPPUNIT_TEST(aHugePauseIsBounded);
    CPPUNIT_TEST(aPauseOfTenMinutesIsGranted);
    CPPUNIT_TEST(aPauseHoldsForThisLifeOnly);
    CPPUNIT_TEST(afterAPauseOneRequestIsSentUntilItIsAccepted);
    CPPUNIT_TEST(aServiceIsServedAgainAtTheEarliestEnd);
    CPPUNIT_TEST_SUITE_END();

    static ServerNotice noticeOf(const char *retryAfter, int status = 503)
    {
        const std::vector<HttpField> fields {{"Retry-After", retryAfter}};
        return platform::decodeNotice(status, fields);
    }

    void aPauseIsReadInWholeAndFractionalSeconds()
    {
        CPPUNIT_ASSERT(*noticeOf("2").pause == 2s);
        CPPUNIT_ASSERT(*noticeOf("0.25").pause == 250ms);
        CPPUNIT_ASSERT(*noticeOf("0").pause == 0s);
        CPPUNIT_ASSERT(*noticeOf("1e3000").pause >= 0s || noticeOf("1e3000").pauseUnreadable);
        for (const std::string &huge :
             {std::string("99999999999999999999"), std::string(500, '9')}) {
            CPPUNIT_ASSERT(noticeOf(huge.c_str()).pause);
            CPPUNIT_ASSERT(*noticeOf(huge.c_str()).pause > 24h);
        }
    }

    void unreadablePausesAreTold()
    {
        for (const char *value : {"soon", "-1", "-0.5", "nan", "inf", "-inf", "3s", "1 2", "+1",
                                  "Fri, 04 Dec 2026 08:00:00 GMT"}) {
            CPPUNIT_ASSERT_MESSAGE(value, noticeOf(value).pauseUnreadable);
            CPPUNIT_ASSERT_MESSAGE(value, !noticeOf(value).pause);
        }
    }

    void onlyARefusalAsksForAPause()
    {
        for (const int status : {200, 202, 421, 429, 500})
            CPPUNIT_ASSERT(!noticeOf("2", status).asksForPause());
        CPPUNIT_ASSERT(!platform::decodeNotice(503, {}).asksForPause());
    }

    void aHugePauseIsBounded()
    {
        ServerHealth health;
        CPPUNIT_ASSERT(health.recordPause("s", 5, noticeOf("1000000000").pause, at(0s)) <= 10min);
        CPPUNIT_ASSERT(health.pausedUntil("s", 5, at(1min)));
        CPPUNIT_ASSERT(!health.pausedUntil("s", 5, at(11min)));
        CPPUNIT_ASSERT(health.recordPause("t", 5, Duration(-5s), at(0s)) == 0s);
        CPPUNIT_ASSERT(health.recordPause("u", 5, std::nullopt, at(0s)) > 0s);
        CPPUNIT_ASSERT(health.recordPause("v", 5, Duration::max(), at(0s)) <= 10min);
    }

    void aPauseOfTenMinutesIsGranted()
    {
        ServerHealth health;
        health.recordPause("s", 5, noticeOf("600").pause, at(0s));
        CPPUNIT_ASSERT(health.pausedUntil("s", 5, at(599s)));
        CPPUNIT_ASSERT(!health.pausedUntil("s", 5, at(600s)));
    }

    void aPauseHoldsForThisLifeOnly()
    {
        ServerHealth health;
        health.recordPause("s", 5, 3s, at(0s));
        health.retain(never, at(1s));
        CPPUNIT_ASSERT(!health.usable("s", 5, at(2s)));
        CPPUNIT_ASSERT(!health.acceptsCalls("s", 5, at(2s)));
        CPPUNIT_ASSERT(health.usable("s", 6, at(2s)));
        health.recordPause("s", 6, 1s, at(2s));
        health.recordPause("s", 5, 60s, at(2s));
        CPPUNIT_ASSERT(health.usable("s", 6, at(4s)));
    }

    void afterAPauseOneRequestIsSentUntilItIsAccepted()
    {
        ServerHealth health;
        health.recordPause("s", 5, 3s, at(0s));
        // The answer to a request from before the pause.
        health.recordAccepted("s", 5, at(1s));
        CPPUNIT_ASSERT(!health.usable("s", 5, at(2999ms)));
        CPPUNIT_ASSERT(health.usable("s", 5, at(3s)));
        health.recordDispatch("s", 5, at(3s));
        CPPUNIT_ASSERT(!health.usable("s", 5, at(3100ms)));
        CPPUNIT_ASSERT(health.acceptsCalls("s", 5, at(3100ms)));
        health.recordAccepted("s", 5, at(3200ms));
        CPPUNIT_ASSERT(health.usable("s", 5, at(3200ms)));
        health.recordDispatch("s", 5, at(3200ms));
        CPPUNIT_ASSERT(health.usable("s", 5, at(3201ms)));
        // A trial without an answer does not block the server.
        health.recordPause("s", 5, 1s, at(4s));
        health.recordDispatch("s", 5, at(5s));
        CPPUNIT_ASSERT(!health.usable("s", 5, at(5500ms)));
        CPPUNIT_ASSERT(health.usable("s", 5, at(7s)));
    }

    void aServiceIsServedAgainAtTheEarliestEnd()
    {
        FleetView view(m_timers, identity("a"), KeyRevocation);
        ServiceRule service;
        service.name = "web";
        CPPUNIT_ASSERT(!view.servesAgainAt(service));
        ServerRegistration other = registration(5);
        other.id = "t";
        view.onServer(registration(5), LogPosition {0, 1});
        view.onServer(other, LogPosition {0, 2});
        view.recordNotice("s", 5, {false, Duration(3s), false});
        CPPUNIT_ASSERT(!view.servesAgainAt(service));
        view.recordNotice("t", 5, {false, Duration(2s), false});
        CPPUNIT_ASSERT(view.servesAgainAt(service) == m_timers.now() + 2s);
        view.recordNotice("t", 5, {true, std::nullopt, false});
        CPPUNIT_ASSERT(view.servesAgainAt(service) == m_timers.now() + 3s);
    }

    void leavingIsDecodedFromAnyAnswerOfTheServerAsked()
    {
        const std::vector<HttpField> fields {{"server-leaving", "1"}};
        for (const int status : {200, 202, 409, 500, 503})
            CPPUNIT_ASSERT(platform::decodeNotice(status, fields).leaving);
        CPPUNIT_ASSERT(!platform::decodeNotice(StatusMisdirected, fields).leaving);
        CPPUNIT_ASSERT(!platform::decodeNotice(200, {}).leaving);
        const std::vector<HttpField> no {{"Server-Leaving", "0"}};
        CPPUNIT_ASSERT(!platform::decodeNotice(200, no).leaving);
        CPPUNIT_ASSERT(platform::HeaderDialect().decodeAnswer(503, fields, "r").notice.leaving);
    }

    void leavingHoldsForThisLifeOnly()
    {
        ServerHealth health;
        CPPUNIT_ASSERT(health.recordLeaving("s", 5, at(0s)));
        CPPUNIT_ASSERT(!health.recordLeaving("s", 5, at(1s)));
        CPPUNIT_ASSERT(!health.usable("s", 5, at(1h)));
        CPPUNIT_ASSERT(!health.usable("s", 4, at(1s)));
        CPPUNIT_ASSERT(health.usable("s", 6, at(1s)));
        CPPUNIT_ASSERT(health.usable("t", 5, at(1s)));
        // Neither success nor heartbeats end it.
        health.recordEvidence("s", 5, ServerEvidence::Served, at(1s));
        health.recordEvidence("s", 5, ServerEvidence::ProbeSucceeded, at(1s));
        health.recordHeartbeat("s", 5, at(5s));
        CPPUNIT_ASSERT(!health.usable("s", 5, at(5s)));
    }

    void aLateAnswerOfAnEarlierLifeSaysNothingOfTheNewOne()
    {
        ServerHealth health;
        health.recordLeaving("s", 5, at(0s));
        health.recordLeaving("s", 7, at(1s));
        CPPUNIT_ASSERT(!health.recordLeaving("s", 6, at(2s)));
        CPPUNIT_ASSERT(!health.usable("s", 7, at(2s)));
        CPPUNIT_ASSERT(health.usable("s", 8, at(2s)));
    }

    void leavingOutlastsTheRegistration()
    {
        ServerHealth health;
        health.recordLeaving("s", 5, at(0s));
        health.retain(never, at(1min));
        CPPUNIT_ASSERT(!health.usable("s", 5, at(1min)));
        health.retain(never, at(1h));
        CPPUNIT_ASSERT(health.usable("s", 5, at(1h)));
    }

    void digestsCarryLeavingServers()
    {
        FleetView view(m_timers, identity("a"), KeyRevocation);
        view.onServer(registration(5), LogPosition {0, 1});
        view.recordNotice("s", 5, {true, std::nullopt, false});
        CPPUNIT_ASSERT(view.hasUrgentUpdate());
        const auto decoded = decodeDigest(encodeDigest(view.nextDigest()));
        CPPUNIT_ASSERT(decoded);
        FleetView other(m_timers, identity("b"), KeyRevocation);
        other.onServer(registration(5), LogPosition {0, 1});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, other.availableServers("web").size());
        other.applyDigest(std::get<HostDigest>(decoded.value()));
        CPPUNIT_ASSERT(other.availableServers("web").empty());
        other.onServer(registration(6), LogPosition {0, 2});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, other.availableServers("web").size());
        CPPUNIT_ASSERT(other.nextDigest().leavingServers.empty());
    }

    void aDigestWithoutLeavingServersIsReadable()
    {
        nlohmann::json value = nlohmann::json::from_cbor(encodeDigest(identity("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, value.erase("l"));
        CPPUNIT_ASSERT(decodeDigest(nlohmann::json::to_cbor(value)));
    }

    void aRelayPassesLeavingServersOn()
    {
        FleetView relay(m_timers, identity("relay"), KeyRevocation);
        relay.onServer(registration(5), LogPosition {0, 1});
        HostDigest member = identity("member");
        member.sequence = 1;
        member.leavingServers = {{"s", 5}};
        relay.hosts().setExchangeMode(ExchangeMode::Relay);
        relay.applyDigest(member);
        CPPUNIT_ASSERT(relay.hosts().takeChanges());
        const auto decoded = decodeDigest(encodeRelayDigest(
            relay.hosts().makeRelayDigest(relay.nextDigest(), true, {}, m_timers.now())));
        CPPUNIT_ASSERT(decoded);
        FleetView other(m_timers, identity("other"), KeyRevocation);
        other.onServer(registration(5), LogPosition {0, 1});
        other.applyRelayDigest(std::get<RelayDigest>(decoded.value()));
        CPPUNIT_ASSERT(other.availableServers("web").empty());
    }

    ManualTimerService m_timers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerNoticeTest);
