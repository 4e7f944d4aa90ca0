#include "simulation/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;

namespace {

/// Longer than the time for which keys are trusted without a confirmation.
constexpr Duration RevocationTime = 6s;

} // namespace

/// Access must stay closed if what should close it is empty, unreadable or lost.
class ClosedAccessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClosedAccessTest);
    CPPUNIT_TEST(noKeyIsAcceptedOnceTheLastWorkspaceIsRemoved);
    CPPUNIT_TEST(unreadableWorkspacesAdmitNobody);
    CPPUNIT_TEST(anEmptyKeyAdmitsNobody);
    CPPUNIT_TEST(aConfigurationWithoutWorkspacesIsOpen);
    CPPUNIT_TEST(anUnreadableRouteIsNotLeftToAShorterPrefix);
    CPPUNIT_TEST(anUnreadableConfigurationEndsTheTrustInKeys);
    CPPUNIT_TEST(aRemovedConfigurationEndsTheTrustInKeys);
    CPPUNIT_TEST_SUITE_END();

    static int statusOf(GatewayWorld &world, const std::string &key, int host = 0,
                        const std::string &target = "/read/x")
    {
        const auto call = world.call("GET", target, {}, host, key);
        world.run(1s);
        return call->answer.status;
    }

    /// Guards against: an empty list of workspaces was taken for a configuration without keys, so
    /// that revoked and unknown keys were accepted.
    void noKeyIsAcceptedOnceTheLastWorkspaceIsRemoved()
    {
        GatewayWorld world(2);
        world.settle();
        CPPUNIT_ASSERT_EQUAL(200, statusOf(world, "good-key"));
        json configuration = GatewayWorld::configurationObject(2, {"good-key"});
        configuration["Tenants"] = json::array();
        world.configure(configuration);
        world.run(RevocationTime);
        for (const int host : {0, 1}) {
            for (const char *key : {"good-key", "never-given", ""})
                CPPUNIT_ASSERT_EQUAL_MESSAGE(key, 401, statusOf(world, key, host));
        }
        CPPUNIT_ASSERT_EQUAL(1, world.plain.runs);
    }

    void unreadableWorkspacesAdmitNobody()
    {
        const char *const unreadable[] {"null",
                                        "\"workspace\"",
                                        "7",
                                        "{}",
                                        R"([{"ApiKeys":["good-key"]}])",
                                        R"([{"Name":3,"ApiKeys":["good-key"]}])",
                                        R"([{"Name":"workspace","ApiKeys":"good-key"}])",
                                        "[null,5]"};
        GatewayWorld world;
        world.settle();
        int version = 1;
        for (const char *tenants : unreadable) {
            json configuration = GatewayWorld::configurationObject(++version, {});
            configuration["Tenants"] = json::parse(tenants);
            world.configure(configuration);
            world.run(1s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(tenants, 401, statusOf(world, "good-key"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(tenants, 401, statusOf(world, ""));
        }
        CPPUNIT_ASSERT_EQUAL(0, world.plain.runs);
    }

    void anEmptyKeyAdmitsNobody()
    {
        GatewayWorld world;
        world.settle();
        world.configure(2, {"", "good-key"});
        world.run(1s);
        CPPUNIT_ASSERT_EQUAL(401, statusOf(world, ""));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(world, "good-key"));
    }

    void aConfigurationWithoutWorkspacesIsOpen()
    {
        GatewayWorld world;
        world.settle();
        json configuration = GatewayWorld::configurationObject(2, {});
        configuration.erase("Tenants");
        world.configure(configuration);
        world.run(1s);
        CPPUNIT_ASSERT_EQUAL(200, statusOf(world, ""));
    }

    /// Guards against: a route whose services could not be read was skipped, so that a route with a
    /// shorter prefix, which needs no key, served its requests.
    void anUnreadableRouteIsNotLeftToAShorterPrefix()
    {
        GatewayWorld world;
        world.settle();
        json configuration = GatewayWorld::configurationObject(2, {"good-key"});
        json open = configuration["Routes"][1];
        open["PathPrefix"] = "/";
        open["NoAuth"] = true;
        configuration["Routes"][1].erase("Service");
        configuration["Routes"].push_back(open);
        world.configure(configuration);
        world.run(1s);
        CPPUNIT_ASSERT_EQUAL(200, statusOf(world, "", 0, "/other/x"));
        CPPUNIT_ASSERT_EQUAL(401, statusOf(world, ""));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(world, "good-key"));
        CPPUNIT_ASSERT_EQUAL(1, world.plain.runs);
    }

    /// Expects that keys are not trusted any longer after this value of the configuration was
    /// written, and that a later readable one restores the trust.
    static void expectKeysUntrustedAfter(const std::optional<std::string> &value)
    {
        GatewayWorld world(2);
        world.settle();
        world.store.put("keyed.op", "config", value);
        world.run(RevocationTime);
        for (const int host : {0, 1})
            CPPUNIT_ASSERT_EQUAL(503, statusOf(world, "good-key", host));
        world.configure(3, {"new-key"});
        world.run(1s);
        CPPUNIT_ASSERT_EQUAL(200, statusOf(world, "new-key"));
        CPPUNIT_ASSERT_EQUAL(401, statusOf(world, "good-key"));
    }

    /// Guards against: the configuration in force was confirmed as the newest one beside a later
    /// one that could not be read, and so keys that the later one had revoked.
    void anUnreadableConfigurationEndsTheTrustInKeys()
    {
        expectKeysUntrustedAfter("{\"Version\":2,\"Tenants\":[");
    }

    void aRemovedConfigurationEndsTheTrustInKeys() { expectKeysUntrustedAfter(std::nullopt); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClosedAccessTest);
