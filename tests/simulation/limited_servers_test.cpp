#include "simulation/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;

namespace {

constexpr int Hosts = 7;
constexpr Duration Tick = 10ms;
/// Time after which all hosts must keep to a limit, and the window in which it holds.
constexpr Duration NoticeTime = 3s;
constexpr Duration Window = 4s;
constexpr double Limit = 5.7;
/// Requests that a server with this limit may get in any window.
constexpr int Allowed = static_cast<int>(1.5 * Limit * 4 + 5);

std::vector<HttpField> serverLimit(const std::string &value)
{
    return {{"Server-Limit", value}};
}

} // namespace

/// Servers that name in their answers how many requests a second they take from all hosts.
class LimitedServersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitedServersTest);
    CPPUNIT_TEST(hostsTogetherStayWithinTheLimitOfAPlainServer);
    CPPUNIT_TEST(hostsTogetherStayWithinTheLimitOfAnEngine);
    CPPUNIT_TEST_SUITE_END();

    /// Calls `send` with each host in turn in every tick for a time, and returns how many requests
    /// had reached the server at the end of each tick.
    static std::vector<int> arrivalsDuring(GatewayWorld &world, Duration time,
                                           const std::function<void(int host)> &send,
                                           const std::function<int()> &received)
    {
        std::vector<int> counts;
        const int hosts = static_cast<int>(world.hosts.size());
        int n = 0;
        for (Duration elapsed {}; elapsed < time; elapsed += Tick) {
            send(n++ % hosts);
            world.run(Tick);
            counts.push_back(received());
        }
        return counts;
    }

    /// The most arrivals in any window that begins after the given time.
    static int mostInAWindow(const std::vector<int> &counts, Duration from)
    {
        const auto ticks = static_cast<std::size_t>(Window / Tick);
        int most = 0;
        for (auto i = static_cast<std::size_t>(from / Tick); i + ticks < counts.size(); ++i)
            most = std::max(most, counts[i + ticks] - counts[i]);
        return most;
    }

    void hostsTogetherStayWithinTheLimitOfAPlainServer()
    {
        GatewayWorld world(Hosts);
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = serverLimit(std::to_string(Limit));
        const std::vector<int> counts = arrivalsDuring(
            world, 12s, [&](int host) { world.call("GET", "/read/x", {}, host); },
            [&] { return world.plain.runs; });
        CPPUNIT_ASSERT_LESSEQUAL(Allowed, mostInAWindow(counts, NoticeTime));
    }

    void hostsTogetherStayWithinTheLimitOfAnEngine()
    {
        GatewayWorld world(Hosts);
        world.settle();
        testtool::ForwardingEngine &engine = world.engine(world.probeFirstEngine(0));
        engine.setExtraFields(serverLimit(std::to_string(Limit)));
        const std::vector<int> counts = arrivalsDuring(
            world, 12s, [&](int host) { world.generate(host); }, [&] { return engine.received(); });
        CPPUNIT_ASSERT_LESSEQUAL(Allowed, mostInAWindow(counts, NoticeTime));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedServersTest);
