#include "simulation/relay_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;

namespace {

constexpr int Zones = 4;
constexpr int HostsPerZone = 30;
constexpr int Hosts = Zones * HostsPerZone;
/// Time until hosts that start together know one another.
constexpr Duration StartTime = 4s;
/// A stream lives about 2 s. Load that is known later than this is outdated.
constexpr Duration MaxLoadAge = 1s;
/// Look-ups must not name a dead host for longer.
constexpr Duration MaxDeadHostAge = 3s;
/// A configuration that has been replaced must not be used for longer.
constexpr Duration ConfigurationBound = 4s;
/// KV cache that each host of a test reserves on a server, in tokens x layers.
constexpr double LoadPerHost = 1'000;

/// One of the hosts that relay for a zone.
RelayHost &relayOf(RelayWorld &world, const std::string &zone)
{
    const auto relays = world.relaysOf(zone);
    CPPUNIT_ASSERT(!relays.empty());
    return *relays.front();
}

} // namespace

/// The exchange of digests in a fleet that is large enough to use relays.
class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(eachZoneHasTwoRelaysWithFastLinks);
    CPPUNIT_TEST(everyHostKnowsTheLoadOfTheFleet);
    CPPUNIT_TEST(newLoadIsKnownToAllWithinASecond);
    CPPUNIT_TEST(aKilledHostIsNoLongerNamed);
    CPPUNIT_TEST(aLeavingHostIsNoLongerNamedAtOnce);
    CPPUNIT_TEST(relaysThatAreKilledTogetherAreReplaced);
    CPPUNIT_TEST(aRestartedRelayRelaysAgain);
    CPPUNIT_TEST(aHostThatIsCutOffFromItsRelaysUsesAnotherOne);
    CPPUNIT_TEST(aHostThatIsCutOffFromAllKeepsItsView);
    CPPUNIT_TEST(hostsWithPartOfTheRecordsFindTheOthers);
    CPPUNIT_TEST(aFailedProbeIsKnownToAllWithinASecond);
    CPPUNIT_TEST(aCrashingPartIsKnownToAllWithinASecond);
    CPPUNIT_TEST(trafficPerHostIsBounded);
    CPPUNIT_TEST(aFleetThatShrinksALittleKeepsItsRelays);
    CPPUNIT_TEST(smallFleetsExchangeDigestsDirectly);
    CPPUNIT_TEST(hostsThatCannotFetchTheConfigurationReadTheStore);
    CPPUNIT_TEST(aFetchedConfigurationIsAsOldAsItsConfirmation);
    CPPUNIT_TEST_SUITE_END();

    void eachZoneHasTwoRelaysWithFastLinks()
    {
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        world.run(StartTime);
        for (int zone = 0; zone < Zones; ++zone) {
            const auto relays = world.relaysOf("zone-" + std::to_string(zone));
            CPPUNIT_ASSERT_EQUAL(std::size_t {2}, relays.size());
            for (const RelayHost *relay : relays)
                CPPUNIT_ASSERT_EQUAL(RelayWorld::FastLink, relay->node->settings().linkMbps);
        }
    }

    void everyHostKnowsTheLoadOfTheFleet()
    {
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        for (const auto &host : world.hosts) {
            host->node->view().load("engine")->committed = LoadPerHost;
            host->node->view().load("engine")->inFlight = 1;
        }
        world.run(StartTime);
        for (const auto &host : world.hosts) {
            CPPUNIT_ASSERT_DOUBLES_EQUAL((Hosts - 1) * LoadPerHost,
                                         world.committedByPeers(*host, "engine"), Hosts);
            CPPUNIT_ASSERT_EQUAL(Hosts - 1, host->hosts().inFlightByPeers("engine", world.now()));
            CPPUNIT_ASSERT_EQUAL(Hosts, host->hosts().liveHosts(world.now()));
        }
    }

    void newLoadIsKnownToAllWithinASecond()
    {
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        world.run(StartTime);
        world.hosts.back()->node->view().load("engine")->committed = LoadPerHost;
        world.run(MaxLoadAge);
        for (const auto &host : world.hosts) {
            if (host != world.hosts.back())
                CPPUNIT_ASSERT_DOUBLES_EQUAL(LoadPerHost, world.committedByPeers(*host, "engine"),
                                             1);
        }
        world.hosts.back()->node->view().load("engine")->committed = 0;
        world.run(MaxLoadAge);
        for (const auto &host : world.hosts)
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0, world.committedByPeers(*host, "engine"), 1);
    }

    /// With digests from each host to each other one, look-ups named a dead host for 20 s.
    void aKilledHostIsNoLongerNamed()
    {
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        world.run(StartTime);
        RelayHost &killed = world.host("zone-1-host-20");
        RelayHost &killedRelay = relayOf(world, "zone-1");
        RelayHost &other = world.host("zone-1-host-9");
        CPPUNIT_ASSERT(world.names(other, killed));
        CPPUNIT_ASSERT(world.names(other, killedRelay));
        world.kill(killed);
        world.kill(killedRelay);
        world.run(MaxDeadHostAge);
        for (const auto &host : world.hosts) {
            if (!host->runs() || host->node->settings().zone != "zone-1")
                continue;
            CPPUNIT_ASSERT(!world.names(*host, killed));
            CPPUNIT_ASSERT(!world.names(*host, killedRelay));
            CPPUNIT_ASSERT(world.names(*host, other));
        }
    }

    void aLeavingHostIsNoLongerNamedAtOnce()
    {
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        world.run(StartTime);
        RelayHost &leaving = world.host("zone-2-host-20");
        leaving.node->view().setLeaving();
        world.run(MaxLoadAge);
        for (const auto &host : world.hosts) {
            if (host->node->settings().zone == "zone-2")
                CPPUNIT_ASSERT(!world.names(*host, leaving));
        }
    }

    void relaysThatAreKilledTogetherAreReplaced()
    {
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        world.run(StartTime);
        for (RelayHost *relay : world.relaysOf("zone-0"))
            world.kill(*relay);
        // The relays must be found dead first.
        world.run(MaxDeadHostAge);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, world.relaysOf("zone-0").size());
        world.host("zone-0-host-20").node->view().load("engine")->committed = LoadPerHost;
        world.run(MaxLoadAge);
        for (const auto &host : world.hosts) {
            if (host->runs() && host.get() != &world.host("zone-0-host-20"))
                CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(host->node->settings().name, LoadPerHost,
                                                     world.committedByPeers(*host, "engine"), 1);
        }
    }

    void aRestartedRelayRelaysAgain()
    {
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        world.run(StartTime);
        RelayHost &relay = relayOf(world, "zone-3");
        world.restart(relay);
        world.host("zone-3-host-20").node->view().load("engine")->committed = LoadPerHost;
        world.run(StartTime);
        CPPUNIT_ASSERT(relay.router->mode() == ExchangeMode::Relay);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, world.relaysOf("zone-3").size());
        for (const auto &host : world.hosts) {
            if (host.get() != &world.host("zone-3-host-20"))
                CPPUNIT_ASSERT_DOUBLES_EQUAL(LoadPerHost, world.committedByPeers(*host, "engine"),
                                             1);
        }
    }

    void aHostThatIsCutOffFromItsRelaysUsesAnotherOne()
    {
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        world.run(StartTime);
        RelayHost &host = world.host("zone-0-host-20");
        for (RelayHost *relay : world.relaysOf("zone-0"))
            world.cut(host, *relay);
        world.host("zone-3-host-20").node->view().load("engine")->committed = LoadPerHost;
        world.run(StartTime);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(LoadPerHost, world.committedByPeers(host, "engine"), 1);
        CPPUNIT_ASSERT(host.hosts().liveHosts(world.now()) > Hosts - 5);
    }

    /// Many hosts may be cut off at once while they still reach callers and engines. If each
    /// believed that it is alone, it would take all probes and retries for itself, and see no load.
    void aHostThatIsCutOffFromAllKeepsItsView()
    {
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        world.host("zone-1-host-20").node->view().load("engine")->committed = LoadPerHost;
        world.run(StartTime);
        RelayHost &relay = relayOf(world, "zone-0");
        RelayHost &member = world.host("zone-0-host-20");
        for (RelayHost *cut : {&relay, &member}) {
            for (const auto &other : world.hosts) {
                if (other.get() != cut)
                    world.cut(*cut, *other);
            }
        }
        constexpr Duration CutTime = 10s;
        constexpr int Dead = 3;
        for (Duration time {}; time < CutTime; time += 1s) {
            world.run(1s);
            for (RelayHost *cut : {&relay, &member}) {
                CPPUNIT_ASSERT(cut->hosts().liveHosts(world.now()) >= Hosts - Dead);
                CPPUNIT_ASSERT(
                    cut->hosts().taskPartition(cut->node->settings().name, world.now()).count
                    >= Hosts - Dead);
                CPPUNIT_ASSERT_DOUBLES_EQUAL(LoadPerHost, world.committedByPeers(*cut, "engine"),
                                             1);
            }
        }
        // The others notice that the two are gone.
        CPPUNIT_ASSERT_EQUAL(Hosts - 2, world.host("zone-0-host-9").hosts().liveHosts(world.now()));
        world.healAll();
        for (Duration time {}; time < StartTime; time += 100ms) {
            world.run(100ms);
            for (RelayHost *cut : {&relay, &member})
                CPPUNIT_ASSERT(cut->hosts().liveHosts(world.now()) >= Hosts - Dead);
        }
        CPPUNIT_ASSERT_EQUAL(Hosts, world.host("zone-0-host-9").hosts().liveHosts(world.now()));
    }

    /// Hosts that start at the same time read the records before all have written theirs.
    void hostsWithPartOfTheRecordsFindTheOthers()
    {
        RelayWorld world(Zones, HostsPerZone);
        const std::vector<HostRecord> all = world.records();
        world.start();
        for (std::size_t i = 0; i < world.hosts.size(); ++i) {
            RelayHost &host = *world.hosts[i];
            if (host.router->mode() != ExchangeMode::Relay) {
                world.restart(host);
                host.router->setRecords(std::span(all).first(i + 1));
            }
        }
        world.run(StartTime);
        for (const auto &host : world.hosts) {
            CPPUNIT_ASSERT(host->router->relays());
            CPPUNIT_ASSERT_EQUAL(Hosts, host->hosts().liveHosts(world.now()));
        }
    }

    void aFailedProbeIsKnownToAllWithinASecond()
    {
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        world.run(StartTime);
        ServerRegistration engine;
        engine.id = "engine";
        for (const char *name : {"zone-0-host-20", "zone-2-host-7"})
            world.host(name).node->view().recordProbeFailure(engine);
        world.run(MaxLoadAge);
        for (const auto &host : world.hosts)
            CPPUNIT_ASSERT(host->hosts().hostsReportingFailedProbe("engine", world.now())
                           >= (host->node->settings().name == "zone-0-host-20"
                                       || host->node->settings().name == "zone-2-host-7"
                                   ? 1
                                   : 2));
        // Relays must not keep an old report alive among themselves.
        world.run(ServerHealth::FailedProbeMaxAge * 2);
        for (const auto &host : world.hosts)
            CPPUNIT_ASSERT_EQUAL(0, host->hosts().hostsReportingFailedProbe("engine", world.now()));
    }

    /// A host without a fast link must carry the exchange beside its requests.
    void aCrashingPartIsKnownToAllWithinASecond()
    {
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        world.run(StartTime);
        const std::vector<std::string> parts {"bad"};
        const auto crash = [&](const std::string &host, const std::string &server,
                               const std::string &tried) {
            FleetView &view = world.host(host).node->view();
            view.recordCrash(server, 1, parts, true, world.now(), tried);
        };
        crash("zone-0-host-20", "engine-1", "");
        world.run(100ms);
        crash("zone-3-host-21", "engine-2", parts.front());
        world.run(1s);
        for (const auto &host : world.hosts)
            CPPUNIT_ASSERT_EQUAL(std::size_t {1},
                                 host->node->view().quarantine().quarantinedParts());
    }

    void trafficPerHostIsBounded()
    {
        constexpr double MaxMemberDatagramsPerSecond = 10;
        constexpr double MaxMemberBitsPerSecond = 1e6;
        RelayWorld world(Zones, HostsPerZone);
        world.start();
        world.run(StartTime);
        for (const auto &host : world.hosts) {
            host->datagramsSent = 0;
            host->bytesSent = 0;
            host->bytesReceived = 0;
        }
        constexpr Duration Time = 5s;
        world.run(Time);
        const double seconds = 5;
        for (const auto &host : world.hosts) {
            if (host->router->mode() != ExchangeMode::Member)
                continue;
            CPPUNIT_ASSERT(static_cast<double>(host->datagramsSent) / seconds
                           <= MaxMemberDatagramsPerSecond);
            CPPUNIT_ASSERT(static_cast<double>(host->bytesSent + host->bytesReceived) * 8 / seconds
                           <= MaxMemberBitsPerSecond);
        }
    }

    /// Hosts that disagree on whether the fleet uses relays would not learn one another's load.
    void aFleetThatShrinksALittleKeepsItsRelays()
    {
        constexpr int Gone = 6;
        RelayWorld world(Zones, static_cast<int>(DigestRouter::MinHostsForRelays) / Zones);
        world.start();
        world.run(StartTime);
        std::vector<HostRecord> remaining = world.records();
        for (int i = 0; i < Gone; ++i) {
            const std::string name = "zone-1-host-" + std::to_string(10 + i);
            world.kill(world.host(name));
            std::erase_if(remaining, [&name](const HostRecord &it) { return it.name == name; });
        }
        // Until all hosts have forgotten the dead ones.
        world.run(HostTable::PeerExpiryTimeout + MaxDeadHostAge);
        // A restarted host and the relays read the records of the remaining hosts.
        RelayHost &restarted = world.host("zone-2-host-20");
        world.restart(restarted, remaining);
        for (RelayHost *relay : world.relaysOf("zone-2"))
            relay->router->setRecords(remaining);
        world.host("zone-3-host-20").node->view().load("engine")->committed = LoadPerHost;
        world.run(StartTime);
        for (const auto &host : world.hosts) {
            if (!host->runs() || host.get() == &world.host("zone-3-host-20"))
                continue;
            CPPUNIT_ASSERT_MESSAGE(host->node->settings().name, host->router->relays());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(LoadPerHost, world.committedByPeers(*host, "engine"), 1);
        }
    }

    void smallFleetsExchangeDigestsDirectly()
    {
        RelayWorld world(3, 3);
        world.start();
        for (const auto &host : world.hosts)
            host->node->view().load("engine")->committed = LoadPerHost;
        world.run(MaxLoadAge);
        for (const auto &host : world.hosts) {
            CPPUNIT_ASSERT(host->router->mode() == ExchangeMode::Direct);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(8 * LoadPerHost, world.committedByPeers(*host, "engine"),
                                         1);
        }
    }

    /// Members that were told of a newer configuration waited for their turn to read the store, one
    /// in thirty each 0.4 s, until their own was too old.
    void hostsThatCannotFetchTheConfigurationReadTheStore()
    {
        RelayWorld world(Zones, HostsPerZone, StoreAccess::Answers);
        world.start();
        world.run(StartTime);
        world.refuseFetches();
        world.configure(2);
        world.run(ConfigurationBound);
        for (const auto &host : world.hosts)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, host->node->view().configuration()->version());
    }

    /// The age that its holder had told, perhaps a second ago, was taken for the age at the time of
    /// the fetch, so that keys were trusted for longer than they may be.
    void aFetchedConfigurationIsAsOldAsItsConfirmation()
    {
        constexpr Duration LongestRelaying = 300ms;
        RelayWorld world(Zones, HostsPerZone, StoreAccess::Answers);
        world.start();
        world.run(StartTime);
        std::vector<RelayHost *> late;
        for (std::size_t i = 0; i < world.hosts.size(); i += 4) {
            if (world.hosts[i]->router->mode() == ExchangeMode::Member)
                late.push_back(world.hosts[i].get());
        }
        for (const RelayHost *host : late)
            world.setFetching(*host, false);
        world.configure(2);
        world.run(1s);
        world.stopStore();
        const TimePoint stoppedAt = world.now();
        world.run(1s);
        for (RelayHost *host : late) {
            world.setFetching(*host, true);
            world.run(50ms);
        }
        world.run(500ms);
        for (const RelayHost *host : late) {
            const FleetView &view = host->node->view();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, view.configurationVersion());
            CPPUNIT_ASSERT(view.configurationAge() > world.now() - stoppedAt - LongestRelaying);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);
