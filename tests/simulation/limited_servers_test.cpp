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

/// A host that is frozen, restarted or cut off is not bound until this long afterwards.
constexpr Duration RecoveryTime = 3s;

/// What has happened until the end of a tick.
struct TickRecord
{
    double limit = 0;
    std::size_t arrivals = 0;
    /// Hosts that are disturbed, or were lately.
    std::vector<bool> disturbed;
};

/// Random disturbances of hosts, and changes of the limit that the plain server names.
class DisturbedRun
{
public:
    explicit DisturbedRun(std::uint64_t seed)
        : m_random(seed)
        , m_world(Hosts, 4, seed)
        , m_disturbedUntil(Hosts)
    {
        m_world.addPlainServer(m_other);
        m_world.settle();
    }

    void play(Duration time)
    {
        const TimePoint end = m_world.now() + time;
        while (m_world.now() < end) {
            if (m_random.chance(0.003))
                changeLimit();
            if (m_random.chance(0.003))
                disturbHost(static_cast<int>(m_random.below(Hosts)));
            const int host = static_cast<int>(m_random.below(Hosts));
            m_world.call("GET", "/read/x", {}, host);
            m_hostOf[m_world.lastId()] = host;
            m_world.run(Tick);
            TickRecord record {m_limit, m_world.plain.requests.size(), {}};
            for (const TimePoint until : m_disturbedUntil)
                record.disturbed.push_back(m_world.now() < until);
            m_ticks.push_back(std::move(record));
        }
    }

    /// The highest ratio of arrivals in a window, from hosts that were not disturbed, to what the
    /// limit allows.
    double worstExcess() const
    {
        const auto ticks = static_cast<std::size_t>(Window / Tick);
        const auto notice = static_cast<std::size_t>(NoticeTime / Tick);
        double worst = 0;
        for (std::size_t i = 0; i + notice + ticks < m_ticks.size(); ++i) {
            const std::size_t end = i + notice + ticks;
            const bool steady =
                std::all_of(m_ticks.begin() + static_cast<std::ptrdiff_t>(i),
                            m_ticks.begin() + static_cast<std::ptrdiff_t>(end + 1),
                            [&](const TickRecord &it) { return it.limit == m_ticks[i].limit; });
            if (!steady || m_ticks[i].limit <= 0)
                continue;
            int arrivals = 0;
            for (std::size_t n = m_ticks[i + notice].arrivals; n < m_ticks[end].arrivals; ++n) {
                const auto host = static_cast<std::size_t>(m_hostOf.at(m_world.plain.requests[n]));
                const bool excused =
                    std::any_of(m_ticks.begin() + static_cast<std::ptrdiff_t>(i),
                                m_ticks.begin() + static_cast<std::ptrdiff_t>(end + 1),
                                [host](const TickRecord &it) { return it.disturbed[host]; });
                arrivals += excused ? 0 : 1;
            }
            worst = std::max(worst, arrivals / (1.5 * m_ticks[i].limit * 4 + 5));
        }
        return worst;
    }

private:
    void changeLimit()
    {
        const std::vector<double> limits {0, 1, 2.5, 5.7, 12};
        m_limit = limits[m_random.below(limits.size())];
        m_world.plain.extraFields =
            m_limit > 0 ? serverLimit(std::to_string(m_limit)) : std::vector<HttpField> {};
    }

    void disturbHost(int host)
    {
        const Duration time = 500ms + Duration(2s) * static_cast<int>(m_random.below(3));
        const auto &process = m_world.hosts[static_cast<std::size_t>(host)]->process;
        m_disturbedUntil[static_cast<std::size_t>(host)] = m_world.now() + time + RecoveryTime;
        switch (m_random.below(3)) {
        case 0:
            process->freeze();
            m_world.after(time, [process] { process->thaw(); });
            break;
        case 1:
            m_world.restartHost(host);
            break;
        default:
            setCut(process->name(), true);
            m_world.after(time, [this, name = process->name()] { setCut(name, false); });
        }
    }

    /// Cuts a host off from the others, or ends that.
    void setCut(const std::string &name, bool cut)
    {
        for (int i = 1; i <= Hosts; ++i) {
            const std::string other = "host-" + std::to_string(i);
            if (other == name)
                continue;
            if (cut) {
                m_world.network().cut(name, other);
                m_world.network().cut(other, name);
            } else {
                m_world.network().heal(name, other);
                m_world.network().heal(other, name);
            }
        }
    }

    Random m_random;
    GatewayWorld m_world;
    FakePlainServer m_other;
    double m_limit = 0;
    std::vector<TimePoint> m_disturbedUntil;
    std::vector<TickRecord> m_ticks;
    std::map<std::string, int> m_hostOf;
};

} // namespace

/// Servers that name in their answers how many requests a second they take from all hosts.
class LimitedServersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitedServersTest);
    CPPUNIT_TEST(hostsTogetherStayWithinTheLimitOfAPlainServer);
    CPPUNIT_TEST(hostsTogetherStayWithinTheLimitOfAnEngine);
    CPPUNIT_TEST(aLimitBehindTheFirstEngineCutsNoPaths);
    CPPUNIT_TEST(theLimitIsUsed);
    CPPUNIT_TEST(aServerGetsAllItCanTakeWhenItsLimitEnds);
    CPPUNIT_TEST(aServerThatStartsAgainHasNoLimit);
    CPPUNIT_TEST(requestsAreRefusedInTimeWhenAllServersNameLimits);
    CPPUNIT_TEST(changingLimitsAreKeptBesideDisturbancesOfHosts);
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

    void aLimitBehindTheFirstEngineCutsNoPaths()
    {
        GatewayWorld world;
        world.settle();
        for (const auto &engine : world.engines) {
            if (!engine->layers().contains(0))
                engine->setExtraFields(serverLimit("0"));
        }
        world.run(3s);
        CPPUNIT_ASSERT(limitedServers(world) > 0);
        for (int i = 0; i < 20; ++i) {
            const auto call = world.generate();
            world.run(100ms);
            CPPUNIT_ASSERT_EQUAL(200, call->answer.status);
        }
    }

    /// Requests to the plain server in 4 s, with all hosts sending.
    static int readDuringAWindow(GatewayWorld &world)
    {
        const std::vector<int> counts = arrivalsDuring(
            world, Window, [&](int host) { world.call("GET", "/read/x", {}, host); },
            [&] { return world.plain.runs; });
        return counts.back() - counts.front();
    }

    void theLimitIsUsed()
    {
        GatewayWorld world(Hosts);
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = serverLimit(std::to_string(Limit));
        readDuringAWindow(world);
        CPPUNIT_ASSERT_GREATEREQUAL(static_cast<int>(0.8 * Limit * 4), readDuringAWindow(world));
    }

    void aServerGetsAllItCanTakeWhenItsLimitEnds()
    {
        GatewayWorld world(Hosts);
        FakePlainServer other;
        world.addPlainServer(other);
        world.settle();
        world.plain.extraFields = serverLimit("0");
        readDuringAWindow(world);
        CPPUNIT_ASSERT_LESSEQUAL(5, readDuringAWindow(world));
        world.plain.extraFields = {};
        readDuringAWindow(world);
        CPPUNIT_ASSERT_GREATEREQUAL(Allowed, readDuringAWindow(world));
    }

    void aServerThatStartsAgainHasNoLimit()
    {
        GatewayWorld world(Hosts);
        world.settle();
        const std::string id = world.probeFirstEngine(0);
        testtool::ForwardingEngine &engine = world.engine(id);
        engine.setExtraFields(serverLimit("1"));
        world.generate();
        world.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, limitedServers(world));
        engine.setExtraFields({});
        const LayerSpan layers = engine.layers();
        world.restartEngine(std::stoi(id.substr(2)) - 1);
        engine.setLayers(layers);
        world.run(3s);
        for (const auto &host : world.hosts)
            CPPUNIT_ASSERT(
                host->node.view().acceptsRequest(*host->node.view().registry().find(id)));
    }

    static std::size_t limitedServers(GatewayWorld &world)
    {
        return world.hosts.back()->node.view().rateLimits().limitedServers();
    }

    void requestsAreRefusedInTimeWhenAllServersNameLimits()
    {
        GatewayWorld world;
        world.settle();
        world.plain.extraFields = serverLimit("2");
        world.call("GET", "/read/x");
        world.run(1s);
        const std::size_t before = world.calls.size();
        std::vector<TimePoint> sentAt;
        for (int i = 0; i < 100; ++i) {
            sentAt.push_back(world.now());
            world.call("GET", "/read/x");
            world.run(20ms);
        }
        world.run(5s);
        int served = 0;
        for (std::size_t i = 0; i < sentAt.size(); ++i) {
            const Answer &answer = world.calls[before + i]->answer;
            CPPUNIT_ASSERT(answer.ended);
            CPPUNIT_ASSERT(answer.endedAt - sentAt[i] <= 700ms);
            CPPUNIT_ASSERT(answer.status == 200 || answer.status == 503);
            served += answer.status == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT(served >= 3 && served <= 6);
    }

    void changingLimitsAreKeptBesideDisturbancesOfHosts()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            DisturbedRun run(seed);
            run.play(40s);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), run.worstExcess() <= 1);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedServersTest);
