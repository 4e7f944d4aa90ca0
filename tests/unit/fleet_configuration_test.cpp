#include <dogwoodvalve/fleet_configuration.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;

namespace {

RouteRule route(std::string host, std::string prefix)
{
    RouteRule rule;
    rule.name = host + prefix;
    rule.host = std::move(host);
    rule.pathPrefix = std::move(prefix);
    rule.services = {{"s", 1}};
    return rule;
}

} // namespace

class FleetConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetConfigurationTest);
    CPPUNIT_TEST(theLongestPrefixWins);
    CPPUNIT_TEST(unmatchedPathsHaveNoRoute);
    CPPUNIT_TEST(keysIdentifyTheirWorkspace);
    CPPUNIT_TEST(servicesGetRequestsByWeight);
    CPPUNIT_TEST(aWorkspacesPriorityTakesPrecedence);
    CPPUNIT_TEST(theRanksOfAServiceAreThoseOfItsRoutesAndWorkspaces);
    CPPUNIT_TEST_SUITE_END();

    void theLongestPrefixWins()
    {
        const FleetConfiguration configuration(
            1, {route("a", "/x/"), route("a", "/x/y/"), route("b", "/x/"), route("a", "/")}, {});
        CPPUNIT_ASSERT_EQUAL(std::string("a/x/y/"), configuration.findRoute("a", "/x/y/z")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("a/x/"), configuration.findRoute("a", "/x/yz")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("a/x/"), configuration.findRoute("a", "/x/")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("b/x/"), configuration.findRoute("b", "/x/y/z")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("a/"), configuration.findRoute("a", "/other")->name);
    }

    void unmatchedPathsHaveNoRoute()
    {
        const FleetConfiguration configuration(1, {route("a", "/x/")}, {});
        for (const char *path : {"/x", "/", "", "x/", "/X/"})
            CPPUNIT_ASSERT_MESSAGE(path, configuration.findRoute("a", path) == nullptr);
        CPPUNIT_ASSERT(configuration.findRoute("c", "/x/") == nullptr);
    }

    void keysIdentifyTheirWorkspace()
    {
        FleetConfiguration configuration(1, {}, {});
        const std::vector<std::string> keys {"k1", "k2"};
        configuration.addWorkspace({"w", 3}, keys);
        CPPUNIT_ASSERT_EQUAL(std::string("w"), configuration.findWorkspace("k2")->name);
        CPPUNIT_ASSERT_EQUAL(3, *configuration.findWorkspace("k1")->priority);
        CPPUNIT_ASSERT(configuration.findWorkspace("k3") == nullptr);
        CPPUNIT_ASSERT(configuration.findWorkspace("") == nullptr);
    }

    void servicesGetRequestsByWeight()
    {
        RouteRule rule = route("a", "/");
        rule.services = {{"most", 90}, {"few", 10}};
        int few = 0;
        for (int i = 0; i < 100; ++i)
            few += chooseService(rule, i / 100.0)->service == "few" ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(10, few);
        rule.services.clear();
        CPPUNIT_ASSERT(chooseService(rule, 0.5) == nullptr);
    }

    void aWorkspacesPriorityTakesPrecedence()
    {
        CPPUNIT_ASSERT(requestRank(5, 0) < requestRank(0, 1));
        CPPUNIT_ASSERT(requestRank(0, 1) < requestRank(1, 1));
        CPPUNIT_ASSERT_EQUAL(requestRank(2, std::nullopt), requestRank(2, 2));
    }

    void theRanksOfAServiceAreThoseOfItsRoutesAndWorkspaces()
    {
        RouteRule urgent = route("a", "/urgent/");
        urgent.priority = 0;
        RouteRule other = route("a", "/other/");
        other.priority = 2;
        other.services = {{"s", 1}, {"t", 1}};
        FleetConfiguration configuration(1, {urgent, other}, {});
        const std::vector<int> withoutWorkspaces {requestRank(0, std::nullopt),
                                                  requestRank(2, std::nullopt)};
        CPPUNIT_ASSERT(configuration.ranks("s") == withoutWorkspaces);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, configuration.ranks("t").size());
        CPPUNIT_ASSERT(configuration.ranks("unknown").empty());
        configuration.addWorkspace({"w", 1}, {});
        const std::vector<int> inWorkspace {requestRank(0, 1), requestRank(2, 1)};
        CPPUNIT_ASSERT(configuration.ranks("s") == inWorkspace);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetConfigurationTest);
