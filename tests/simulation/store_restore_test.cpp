#include "platform/log_store.h"
#include "platform/store_coordination.h"
#include "simulation/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;

namespace {

constexpr Duration CopyAge = 3s;
/// The operator's and the servers' records must be known to all hosts within this time.
constexpr Duration ChangeBound = 2s;
constexpr Duration OperatorDelay = 2s;
constexpr Duration KeyRevocation = 5s;
/// With so many hosts, some get the registrations from others.
constexpr int HostsWithFollowers = 7;

} // namespace

/// A store that comes back from a copy some seconds old.
class StoreRestoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreRestoreTest);
    CPPUNIT_TEST(theLogIsReadThoughItsEndWentBack);
    CPPUNIT_TEST(theLogIsReadThoughTheStoreSendsNoEra);
    CPPUNIT_TEST(recordsUnderUsedOffsetsAreRead);
    CPPUNIT_TEST(registrationsWrittenAfterTheReturnReachAllHosts);
    CPPUNIT_TEST(aSecondReturnWithinSecondsIsNoticed);
    CPPUNIT_TEST(lateAnswersOfAnEarlierEraAreDiscarded);
    CPPUNIT_TEST(anOlderVersionInTheStoreConfirmsNothing);
    CPPUNIT_TEST(keysAreTrustedUntilTheOperatorWritesAgain);
    CPPUNIT_TEST(revokedKeysStayDeadOnAllHosts);
    CPPUNIT_TEST(aHostBehindOthersIsNotConfirmedByTheStore);
    CPPUNIT_TEST(serversOfAfterTheCopyStayUntilTheyRegisterAgain);
    CPPUNIT_TEST(serversThatDoNotRegisterAgainAreGone);
    CPPUNIT_TEST(aServerThatLeftIsNotUsedOnTheStrengthOfTheCopy);
    CPPUNIT_TEST(aDrainingServerStaysSoThoughTheCopyShowsItReady);
    CPPUNIT_TEST(ordersAreNotFencedByThoseOfAnEarlierEra);
    CPPUNIT_TEST_SUITE_END();

    static std::uint64_t versionOf(GatewayWorld &world, int host)
    {
        return world.hosts[static_cast<std::size_t>(host)]->node.view().configuration()->version();
    }

    void theLogIsReadThoughItsEndWentBack()
    {
        GatewayWorld world;
        world.settle();
        world.configure(2, {"good-key"});
        world.configure(3, {"good-key"});
        world.run(500ms);
        world.store.restoreFromCopy(CopyAge);
        world.run(1s);
        world.configure(5, {"new-key"});
        world.run(ChangeBound);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {5}, versionOf(world, 0));
    }

    void theLogIsReadThoughTheStoreSendsNoEra()
    {
        GatewayWorld world;
        world.store.omitEra();
        world.settle();
        world.configure(2, {"good-key"});
        world.run(ChangeBound);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, versionOf(world, 0));
        CPPUNIT_ASSERT_EQUAL(0, world.hosts[0]->node.view().storeRestores());
    }

    void recordsUnderUsedOffsetsAreRead()
    {
        GatewayWorld world;
        world.settle();
        world.configure(2, {"good-key"});
        world.run(500ms);
        world.store.restoreFromCopy(CopyAge);
        world.configure(3, {"new-key"});
        world.run(ChangeBound);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {3}, versionOf(world, 0));
        const auto call = world.call("GET", "/read/x");
        world.run(1s);
        CPPUNIT_ASSERT_EQUAL(401, call->answer.status);
        CPPUNIT_ASSERT_EQUAL(1, world.hosts[0]->node.view().storeRestores());
    }

    void registrationsWrittenAfterTheReturnReachAllHosts()
    {
        GatewayWorld world(HostsWithFollowers);
        world.settle();
        world.run(CopyAge);
        world.store.restoreFromCopy(CopyAge);
        world.registerPlain("p-1", PlainAddress, true);
        world.run(ChangeBound);
        for (const auto &host : world.hosts)
            CPPUNIT_ASSERT(host->node.view().registry().find("p-1")->draining);
    }

    void aSecondReturnWithinSecondsIsNoticed()
    {
        GatewayWorld world;
        world.settle();
        world.configure(2, {"good-key"});
        world.run(500ms);
        world.store.restoreFromCopy(CopyAge);
        world.configure(3, {"good-key"});
        world.run(1s);
        world.store.restoreFromCopy(CopyAge);
        world.configure(4, {"new-key"});
        world.run(ChangeBound);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {4}, versionOf(world, 0));
        CPPUNIT_ASSERT_EQUAL(2, world.hosts[0]->node.view().storeRestores());
    }

    void lateAnswersOfAnEarlierEraAreDiscarded()
    {
        GatewayWorld world;
        const auto process = world.process("reader");
        SimLoopServices services(world.network(), process);
        platform::LogStore store(services, StoreAddress);
        std::optional<bool> late;
        std::optional<bool> early;
        world.store.setFaults({0, false, 500ms});
        store.readNewest("keyed.op", "", [&](const auto &page) { late = page.has_value(); });
        world.run(100ms);
        world.store.setFaults({});
        world.store.restoreFromCopy(CopyAge);
        store.readNewest("keyed.servers", "", [&](const auto &page) { early = page.has_value(); });
        world.run(100ms);
        CPPUNIT_ASSERT(early.value());
        CPPUNIT_ASSERT(!late);
        world.run(1s);
        CPPUNIT_ASSERT(!late.value());
    }

    void anOlderVersionInTheStoreConfirmsNothing()
    {
        GatewayWorld world(2);
        world.settle();
        world.configure(2, {"good-key"});
        world.run(500ms);
        world.store.restoreFromCopy(CopyAge);
        world.run(KeyRevocation);
        for (const auto &host : world.hosts) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, host->node.view().configurationVersion());
            CPPUNIT_ASSERT(!host->node.view().keysFresh());
        }
        world.configure(2, {"good-key"});
        world.run(1s);
        for (const auto &host : world.hosts)
            CPPUNIT_ASSERT(host->node.view().keysFresh());
    }

    void keysAreTrustedUntilTheOperatorWritesAgain()
    {
        GatewayWorld world(HostsWithFollowers);
        world.settle();
        world.configure(2, {"good-key"});
        world.run(500ms);
        world.store.restoreFromCopy(CopyAge);
        world.after(OperatorDelay, [&world] { world.configure(2, {"good-key"}); });
        for (int i = 0; i < 30; ++i) {
            world.run(200ms);
            for (const auto &host : world.hosts)
                CPPUNIT_ASSERT(host->node.view().keysFresh());
        }
    }

    void revokedKeysStayDeadOnAllHosts()
    {
        GatewayWorld world(3);
        world.configure(2, {"good-key", "revoked-key"});
        world.settle();
        world.configure(3, {"good-key"});
        world.run(500ms);
        world.store.restoreFromCopy(CopyAge);
        world.after(OperatorDelay, [&world] { world.configure(3, {"good-key"}); });
        world.restartHost(2);
        world.run(500ms);
        for (int i = 0; i < 10; ++i) {
            for (int host = 0; host < 3; ++host) {
                const auto call = world.call("GET", "/read/x", {}, host, "revoked-key");
                world.run(200ms);
                CPPUNIT_ASSERT_EQUAL(401, call->answer.status);
            }
        }
    }

    void serversOfAfterTheCopyStayUntilTheyRegisterAgain()
    {
        GatewayWorld world(HostsWithFollowers);
        world.settle();
        world.registerPlain("p-2", SecondPlainAddress);
        world.run(ChangeBound);
        world.store.restoreFromCopy(CopyAge);
        world.after(OperatorDelay, [&world] { world.registerPlain("p-2", SecondPlainAddress); });
        for (int i = 0; i < 30; ++i) {
            world.run(200ms);
            for (const auto &host : world.hosts)
                CPPUNIT_ASSERT(host->node.view().registry().find("p-2"));
        }
    }

    void serversThatDoNotRegisterAgainAreGone()
    {
        GatewayWorld world(HostsWithFollowers);
        world.settle();
        world.registerPlain("p-2", SecondPlainAddress);
        world.run(ChangeBound);
        world.store.restoreFromCopy(CopyAge);
        world.run(6s);
        for (const auto &host : world.hosts)
            CPPUNIT_ASSERT(!host->node.view().registry().find("p-2"));
    }

    void aServerThatLeftIsNotUsedOnTheStrengthOfTheCopy()
    {
        GatewayWorld world(HostsWithFollowers);
        world.registerPlain("p-2", SecondPlainAddress);
        world.settle();
        world.store.put("keyed.servers", "p-2", std::nullopt);
        world.run(ChangeBound);
        world.store.restoreFromCopy(CopyAge);
        for (int i = 0; i < 20; ++i) {
            world.run(200ms);
            for (const auto &host : world.hosts)
                CPPUNIT_ASSERT(!host->node.view().registry().find("p-2"));
        }
        world.registerPlain("p-2", SecondPlainAddress);
        world.run(ChangeBound);
        for (const auto &host : world.hosts)
            CPPUNIT_ASSERT(host->node.view().registry().find("p-2"));
    }

    void aDrainingServerStaysSoThoughTheCopyShowsItReady()
    {
        GatewayWorld world(HostsWithFollowers);
        world.settle();
        world.registerPlain("p-1", PlainAddress, true);
        world.run(ChangeBound);
        world.store.restoreFromCopy(CopyAge);
        for (int i = 0; i < 20; ++i) {
            world.run(200ms);
            for (const auto &host : world.hosts)
                CPPUNIT_ASSERT(host->node.view().registry().find("p-1")->draining);
        }
    }

    void ordersAreNotFencedByThoseOfAnEarlierEra()
    {
        GatewayWorld world(0);
        SimLoopServices services(world.network(), world.process("candidate"));
        platform::StoreCoordination coordination(
            std::make_shared<platform::LogStore>(services, StoreAddress));
        PlacementLease lease;
        const auto renew = [&] {
            coordination.renewLease("candidate", [&lease](const auto &it) { lease = it.value(); });
            world.run(100ms);
        };
        renew();
        world.run(CopyAge);
        for (int i = 0; i < 5; ++i) {
            coordination.releaseLease("candidate");
            world.run(100ms);
            renew();
        }
        const std::uint64_t token = lease.fencingToken;
        world.store.restoreFromCopy(CopyAge);
        renew();
        CPPUNIT_ASSERT(lease.held);
        CPPUNIT_ASSERT(lease.fencingToken > token);
    }

    /// It hears of the later version, and gets it neither from the store nor from the other host.
    void aHostBehindOthersIsNotConfirmedByTheStore()
    {
        GatewayWorld world;
        world.settle();
        FleetView &view = world.hosts[0]->node.view();
        HostDigest digest;
        digest.name = "ahead";
        digest.sequence = 1;
        digest.configurationVersion = 2;
        view.applyDigest(digest);
        world.run(1s);
        CPPUNIT_ASSERT(view.keysFresh());
        world.run(ChangeBound);
        CPPUNIT_ASSERT(!view.keysFresh());
        world.configure(2, {"good-key"});
        world.run(1s);
        CPPUNIT_ASSERT(view.keysFresh());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRestoreTest);
