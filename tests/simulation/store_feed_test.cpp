#include "gateway/fleet/fleet_view.h"
#include "platform/store_feed.h"
#include "simulation/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;

namespace {

constexpr Duration KeyRevocation = 5s;
constexpr Duration ServerDrain = 2s;

} // namespace

/// The feed of a host that other hosts keep up to date, against the pretended store.
class StoreFeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreFeedTest);
    CPPUNIT_TEST(aDependentHostReadsNothingThatOthersDeliver);
    CPPUNIT_TEST(aDependentHostThatNobodyTellsReadsTheStore);
    CPPUNIT_TEST(aSubstituteReadsWhatOthersHaveNotDelivered);
    CPPUNIT_TEST(aPartOfTheRecordsConfirmsNoConfiguration);
    CPPUNIT_TEST(aReaderThatFellBehindTakesTheNewestConfiguration);
    CPPUNIT_TEST_SUITE_END();

    /// A feed with its view, in the world's network.
    struct Host
    {
        Host(GatewayWorld &world, FeedRole role)
            : process(world.process("dependent"))
            , services(world.network(), process)
            , view(process->timers(), HostDigest {}, KeyRevocation)
            , feed(std::make_shared<platform::LogStore>(services, StoreAddress), ServerDrain)
        {
            feed.setRole(role);
            feed.start(view);
        }

        std::shared_ptr<SimProcess> process;
        SimLoopServices services;
        FleetView view;
        platform::StoreFeed feed;
    };

    /// Gives a host the state of the world's host, as of now.
    static void deliver(GatewayWorld &world, Host &host)
    {
        const FleetView &from = world.hosts[0]->node.view();
        host.view.onConfiguration(from.configuration(), from.configurationDocument());
        host.view.onConfigurationConfirmed(world.now());
        host.view.adoptRegistrations(from.registrationsSince({}), world.now());
    }

    void aDependentHostReadsNothingThatOthersDeliver()
    {
        GatewayWorld world;
        world.settle();
        Host host(world, FeedRole::Dependent);
        world.endHost(0);
        const int before = world.store.calls();
        world.run(300ms);
        deliver(world, host);
        world.run(20s);
        CPPUNIT_ASSERT_EQUAL(before, world.store.calls());
        CPPUNIT_ASSERT(host.view.ready());
    }

    void aDependentHostThatNobodyTellsReadsTheStore()
    {
        GatewayWorld world;
        world.settle();
        Host host(world, FeedRole::Dependent);
        world.run(1s);
        CPPUNIT_ASSERT(host.view.ready());
        CPPUNIT_ASSERT(host.view.keysFresh());
    }

    void aSubstituteReadsWhatOthersHaveNotDelivered()
    {
        GatewayWorld world;
        world.settle();
        Host host(world, FeedRole::Dependent);
        deliver(world, host);
        world.run(5s);
        CPPUNIT_ASSERT(!host.view.keysFresh());
        world.configure(2, {"other-key"});
        world.store.put("keyed.servers", "p-1", std::nullopt);
        host.feed.setRole(FeedRole::Substitute);
        world.run(1s);
        CPPUNIT_ASSERT(host.view.keysFresh());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, host.view.configuration()->version());
        CPPUNIT_ASSERT(!host.view.registry().find("p-1"));
    }

    /// Expects that a host that begins to read after many changes knows the newest one at once.
    static void expectNewestAfterTakeOver(GatewayWorld &world, Host &host, FeedRole role)
    {
        constexpr std::uint64_t Newest = 9;
        for (std::uint64_t version = host.view.configuration()->version() + 1; version <= Newest;
             ++version)
            world.configure(static_cast<int>(version), {"other-key"});
        const Duration age = host.view.configurationAge();
        host.feed.setRole(role);
        constexpr Duration TakeOverTime = 4s;
        constexpr Duration Step = 10ms;
        for (Duration time {}; time < TakeOverTime; time += Step) {
            world.run(Step);
            if (host.view.configurationAge() <= age)
                CPPUNIT_ASSERT_EQUAL(Newest, host.view.configuration()->version());
        }
        CPPUNIT_ASSERT_EQUAL(Newest, host.view.configuration()->version());
    }

    /// A member that became its zone's reader asked for all records from the first on, and took the
    /// first part of them, all older than its own, for a confirmation.
    void aPartOfTheRecordsConfirmsNoConfiguration()
    {
        GatewayWorld world;
        world.store.setMaxReadBytes(1);
        world.settle();
        Host host(world, FeedRole::Dependent);
        deliver(world, host);
        world.run(200ms);
        expectNewestAfterTakeOver(world, host, FeedRole::Reader);
    }

    void aReaderThatFellBehindTakesTheNewestConfiguration()
    {
        GatewayWorld world;
        world.store.setMaxReadBytes(1);
        world.settle();
        Host host(world, FeedRole::Reader);
        world.run(1s);
        host.feed.setRole(FeedRole::Dependent);
        // The read that waits ends with the next change.
        world.configure(2, {"other-key"});
        world.run(1s);
        expectNewestAfterTakeOver(world, host, FeedRole::Substitute);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFeedTest);
