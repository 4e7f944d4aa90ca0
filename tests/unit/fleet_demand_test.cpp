#include "engine_profile.h"
#include "gateway/fleet/fleet_view.h"
#include "gateway/peers/host_digest_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace dogwoodvalve;

namespace {

constexpr Duration KeyRevocation = 5s;
constexpr int Slots = 10;

HostDigest identity(const char *name, const char *zone = "a")
{
    HostDigest digest;
    digest.name = name;
    digest.zone = zone;
    digest.startedAtMs = 1;
    return digest;
}

DemandKey keyOf(int rank)
{
    return {"llm", rank, "workspace"};
}

} // namespace

/// Tests what hosts tell one another about the demand, and about the requests that engines receive.
class FleetDemandTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetDemandTest);
    CPPUNIT_TEST(theDemandOfAllHostsIsAddedUp);
    CPPUNIT_TEST(ratesDecayAfterTheLastRequest);
    CPPUNIT_TEST(theSmallestOfManyWorkspacesAreAddedUp);
    CPPUNIT_TEST(aHostOfAnEarlierVersionLeavesTheDemandUnknown);
    CPPUNIT_TEST(relaysReportTheDemandOfTheirZone);
    CPPUNIT_TEST(aMemberCountsItsOwnDemandOnce);
    CPPUNIT_TEST(aRelayOfAnEarlierVersionLeavesTheDemandUnknown);
    CPPUNIT_TEST(anEngineWithoutAFreeSlotBeginsNoPath);
    CPPUNIT_TEST_SUITE_END();

    /// Sends the host's digest to the others, as bytes.
    static void tell(FleetView &from, std::initializer_list<FleetView *> others)
    {
        const auto decoded = decodeDigest(encodeDigest(from.nextDigest()));
        CPPUNIT_ASSERT(decoded);
        for (FleetView *other : others)
            other->applyDigest(std::get<HostDigest>(decoded.value()));
    }

    /// The digest as a host of an earlier version would send it.
    static HostDigest withoutDemand(FleetView &from)
    {
        nlohmann::json value = nlohmann::json::from_cbor(encodeDigest(from.nextDigest()));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, value.erase("d"));
        const auto decoded = decodeDigest(nlohmann::json::to_cbor(value));
        CPPUNIT_ASSERT(decoded);
        return std::get<HostDigest>(decoded.value());
    }

    void theDemandOfAllHostsIsAddedUp()
    {
        FleetView a(m_timers, identity("a"), KeyRevocation);
        FleetView b(m_timers, identity("b"), KeyRevocation);
        FleetView c(m_timers, identity("c"), KeyRevocation);
        a.demand().recordStarted(keyOf(0), 1000);
        b.demand().recordStarted(keyOf(0), 500);
        b.demand().recordAsked(keyOf(2), 800, m_timers.now());
        tell(a, {&c});
        tell(b, {&c});
        const auto demand = c.fleetDemand();
        CPPUNIT_ASSERT(demand);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1500, demand->at(keyOf(0)).held, 1);
        CPPUNIT_ASSERT(demand->at(keyOf(2)).askedPerSecond > 0);
        // A later digest replaces the earlier one.
        a.demand().recordEnded(keyOf(0), 1000);
        tell(a, {&c});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500, c.fleetDemand()->at(keyOf(0)).held, 1);
    }

    void ratesDecayAfterTheLastRequest()
    {
        DemandMeter meter;
        meter.recordAsked(keyOf(0), 1000, m_timers.now());
        const double before = meter.demand(m_timers.now()).at(keyOf(0)).askedPerSecond;
        m_timers.advanceTo(m_timers.now() + 1s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(before / 2,
                                     meter.demand(m_timers.now()).at(keyOf(0)).askedPerSecond, 1);
        m_timers.advanceTo(m_timers.now() + 20s);
        CPPUNIT_ASSERT(meter.demand(m_timers.now()).empty());
    }

    void theSmallestOfManyWorkspacesAreAddedUp()
    {
        DemandMeter meter;
        double total = 0;
        for (int i = 1; i <= 1000; ++i) {
            meter.recordStarted({"llm", 0, "w" + std::to_string(i)}, i * 10);
            total += i * 10;
        }
        const DemandTotals demand = meter.demand(m_timers.now());
        CPPUNIT_ASSERT(demand.size() <= DemandMeter::MaxEntries + 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10'000, demand.at({"llm", 0, "w1000"}).held, 1);
        double held = 0;
        for (const auto &[key, it] : demand)
            held += it.held;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(total, held, 1);
    }

    void aHostOfAnEarlierVersionLeavesTheDemandUnknown()
    {
        FleetView newer(m_timers, identity("newer"), KeyRevocation);
        FleetView earlier(m_timers, identity("earlier"), KeyRevocation);
        CPPUNIT_ASSERT(newer.fleetDemand());
        newer.applyDigest(withoutDemand(earlier));
        CPPUNIT_ASSERT(!newer.fleetDemand());
        // The host is replaced by one of this version.
        tell(earlier, {&newer});
        CPPUNIT_ASSERT(newer.fleetDemand());
    }

    /// The digest of a relay that has heard one host with demand.
    RelayDigest relayed(FleetView &relay, FleetView &member)
    {
        relay.hosts().setExchangeMode(ExchangeMode::Relay);
        tell(member, {&relay});
        const auto decoded = decodeDigest(encodeRelayDigest(
            relay.hosts().makeRelayDigest(relay.nextDigest(), true, {}, m_timers.now())));
        CPPUNIT_ASSERT(decoded);
        return std::get<RelayDigest>(decoded.value());
    }

    void relaysReportTheDemandOfTheirZone()
    {
        FleetView relay(m_timers, identity("relay"), KeyRevocation);
        FleetView member(m_timers, identity("member"), KeyRevocation);
        FleetView other(m_timers, identity("other"), KeyRevocation);
        member.demand().recordStarted(keyOf(1), 700);
        other.hosts().setExchangeMode(ExchangeMode::Member);
        other.applyRelayDigest(relayed(relay, member));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(700, other.fleetDemand()->at(keyOf(1)).held, 1);
    }

    void aMemberCountsItsOwnDemandOnce()
    {
        FleetView relay(m_timers, identity("relay"), KeyRevocation);
        FleetView member(m_timers, identity("member"), KeyRevocation);
        member.demand().recordStarted(keyOf(1), 700);
        member.hosts().setExchangeMode(ExchangeMode::Member);
        member.hosts().setOwnDigest(member.nextDigest());
        member.applyRelayDigest(relayed(relay, member));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(700, member.fleetDemand()->at(keyOf(1)).held, 1);
    }

    void aRelayOfAnEarlierVersionLeavesTheDemandUnknown()
    {
        FleetView relay(m_timers, identity("relay"), KeyRevocation);
        FleetView member(m_timers, identity("member"), KeyRevocation);
        FleetView other(m_timers, identity("other"), KeyRevocation);
        other.hosts().setExchangeMode(ExchangeMode::Member);
        RelayDigest digest = relayed(relay, member);
        digest.demand = {};
        other.applyRelayDigest(digest);
        CPPUNIT_ASSERT(!other.fleetDemand());
    }

    // The load: more streams than an engine runs at the same time ask for its layers. Those beyond
    // its slots would wait in it without an answer.
    void anEngineWithoutAFreeSlotBeginsNoPath()
    {
        FleetView view(m_timers, identity("a"), KeyRevocation);
        ServerRegistration engine;
        engine.id = "e";
        engine.service = "llm";
        engine.kind = "large";
        engine.startedAtMs = 1;
        engine.slots = Slots;
        engine.layers = {0, 24};
        view.onServer(engine, LogPosition {0, 1});
        const ServiceRule service {"llm", "/healthz", mixedProfile()};
        CPPUNIT_ASSERT(view.pathServers(service).front().acceptsRequests);
        HostDigest other = identity("b");
        other.sequence = 1;
        other.inFlight["e"] = Slots - 1;
        view.applyDigest(other);
        const std::vector<PathServer> servers = view.pathServers(service);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, servers.size());
        CPPUNIT_ASSERT(!servers.front().acceptsRequests);
    }

    ManualTimerService m_timers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetDemandTest);
