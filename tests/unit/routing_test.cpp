#include "test_objects.h"

#include <dogwoodvalve/pipeline_capacity.h>
#include <dogwoodvalve/routing.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace dogwoodvalve;
using namespace dogwoodvalve::testing;

/// Tests the filters, scores and policies of the router.
class RoutingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingTest);
    CPPUNIT_TEST(leavingServersAreNotChosen);
    CPPUNIT_TEST(failingServersAreEjectedAndProbedOnce);
    CPPUNIT_TEST(scoreWeighsLoadSpeedAndLinks);
    CPPUNIT_TEST(serversWithoutRecentStepTimesAreTried);
    CPPUNIT_TEST(prefixCreditShrinksUnderLoad);
    CPPUNIT_TEST(everyPolicyChoosesACandidate);
    CPPUNIT_TEST(loadReportsCountLessWithAge);
    CPPUNIT_TEST(prefixIndexIsBounded);
    CPPUNIT_TEST(smallestStageLimitsCapacity);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        (void)m_state.apply(m_state.nextOffset(), smallFleet());
        m_configuration = Configuration::compile(m_state, m_registry, "host");
        m_now = TimePoint(1000s);
    }

    void tearDown() override { m_state = ConfigurationState(); }

private:
    Router router(const char *policy = "score")
    {
        return Router(makeRoutingPolicy(policy).value(), 1);
    }

    RoutingQuery query(std::size_t stage = 0, const char *workspace = "plain")
    {
        RoutingQuery query;
        query.pipeline = m_configuration->pipeline("chat");
        query.stage = stage;
        query.placementClass = m_configuration->workspaceByName(workspace)->placementClass;
        query.entryZone = m_configuration->zoneIndex("near");
        query.now = m_now;
        return query;
    }

    BackendServer &server(const std::string &name)
    {
        for (const ConfiguredServer &it : m_configuration->servers()) {
            if (it.name == name)
                return *it.state;
        }
        throw std::runtime_error("no server " + name);
    }

    std::string choose(Router &router, const RoutingQuery &query)
    {
        const auto choice = router.choose(*m_configuration, query);
        return choice ? choice.value().candidate.server->name : "none";
    }

    void leavingServersAreNotChosen()
    {
        Router router = this->router();
        server("a-fast").setLeaving(true);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("a-slow"), choose(router, query()));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), choose(router, query(0, "bound")));
        server("a-fast").setLeaving(false);
        CPPUNIT_ASSERT_EQUAL(std::string("a-fast"), choose(router, query(0, "bound")));
    }

    void failingServersAreEjectedAndProbedOnce()
    {
        Router router = this->router();
        server("a-fast").recordFailure(m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("a-slow"), choose(router, query()));
        m_now += 600ms;
        CPPUNIT_ASSERT_EQUAL(std::string("a-fast"), choose(router, query()));
        CPPUNIT_ASSERT_EQUAL(std::string("a-slow"), choose(router, query()));
        server("a-fast").recordSuccess();
        CPPUNIT_ASSERT_EQUAL(std::string("a-fast"), choose(router, query()));
        for (int i = 0; i < 3; ++i)
            server("a-fast").recordFailure(m_now);
        CPPUNIT_ASSERT(server("a-fast").ejected(m_now + 1900ms));
        CPPUNIT_ASSERT(!server("a-fast").ejected(m_now + 2100ms));
    }

    void scoreWeighsLoadSpeedAndLinks()
    {
        Router router = this->router();
        CPPUNIT_ASSERT_EQUAL(std::string("a-fast"), choose(router, query()));
        RoutingQuery far = query();
        far.entryZone = m_configuration->zoneIndex("far");
        CPPUNIT_ASSERT_EQUAL(std::string("a-slow"), choose(router, far));
        server("a-fast").addInFlight(100);
        CPPUNIT_ASSERT_EQUAL(std::string("a-slow"), choose(router, query()));
        server("a-fast").addInFlight(-100);
        server("a-slow").recordStepTime(1ms, false, m_now);
        server("a-fast").recordStepTime(500ms, false, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("a-slow"), choose(router, query()));
    }

    void serversWithoutRecentStepTimesAreTried()
    {
        Router router = this->router();
        RoutingQuery query = this->query();
        query.entryZone = UnknownZone;
        server("a-fast").recordStepTime(5ms, false, m_now);
        server("a-fast").addInFlight(1);
        CPPUNIT_ASSERT_EQUAL(std::string("a-slow"), choose(router, query));
        server("a-slow").recordStepTime(50ms, false, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("a-fast"), choose(router, query));
        // A step time that is more than a minute old is ignored.
        query.now += 61s;
        server("a-fast").recordStepTime(5ms, false, query.now);
        CPPUNIT_ASSERT_EQUAL(std::string("a-slow"), choose(router, query));
    }

    void prefixCreditShrinksUnderLoad()
    {
        Router router = this->router();
        const auto blocks = PrefixIndex::blockHashes(std::string(2000, 'x'), 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), blocks.size());
        server("a-slow").recordStepTime(800ms, true, m_now);
        server("a-slow").recordStepTime(120ms, false, m_now);
        router.prefixIndex().record(blocks, &server("a-slow"));
        RoutingQuery query = this->query();
        query.prefixBlocks = blocks;
        FilterCounts filtered;
        for (const Candidate &candidate : router.candidates(*m_configuration, query, filtered))
            CPPUNIT_ASSERT_EQUAL(candidate.server->name == "a-slow", candidate.prefixCredit > 0);
        CPPUNIT_ASSERT_EQUAL(std::string("a-slow"), choose(router, query));
        server("a-slow").addInFlight(80);
        CPPUNIT_ASSERT_EQUAL(std::string("a-fast"), choose(router, query));
    }

    void everyPolicyChoosesACandidate()
    {
        for (const std::string_view name : routingPolicyNames()) {
            Router router = this->router(std::string(name).c_str());
            std::map<std::string, int> chosen;
            for (int i = 0; i < 50; ++i)
                ++chosen[choose(router, query())];
            CPPUNIT_ASSERT(chosen.count("none") == 0);
            if (name == "round-robin")
                CPPUNIT_ASSERT_EQUAL(25, chosen["a-fast"]);
        }
        CPPUNIT_ASSERT(!makeRoutingPolicy("best"));
    }

    void loadReportsCountLessWithAge()
    {
        BackendServer &subject = server("b-fast");
        subject.addInFlight(2);
        subject.recordLoadReport(10, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, subject.estimatedLoad(m_now), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, subject.estimatedLoad(m_now + 2s), 0.01);
        subject.addInFlight(3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(13.0, subject.estimatedLoad(m_now), 0.01);
    }

    void prefixIndexIsBounded()
    {
        PrefixIndex index(10);
        for (std::uint64_t i = 0; i < 100; ++i)
            index.record(std::vector<std::uint64_t> {i}, &server("a-fast"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), index.size());
        const std::vector<std::uint64_t> last {99};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), index.matchedBlocks(last, &server("a-fast")));
        index.removeHolder(99, &server("a-fast"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), index.matchedBlocks(last, &server("a-fast")));
    }

    void smallestStageLimitsCapacity()
    {
        std::size_t hosts = 1;
        PipelineCapacity capacity(
            "far", [this] { return m_configuration; }, [this] { return m_now; },
            [&hosts] { return hosts; });
        const auto slots = [&] {
            m_now += 201ms;
            return capacity.slots("chat");
        };
        for (const char *name : {"a-slow", "b-slow"}) {
            server(name).recordStepTime(10ms, false, m_now);
            server(name).recordCycleTime(20ms);
        }
        server("a-fast").setLeaving(true);
        server("b-fast").setLeaving(true);
        // A batch of 4, times a cycle of two steps, times the slack.
        CPPUNIT_ASSERT_EQUAL(19, slots());
        hosts = 7;
        CPPUNIT_ASSERT_EQUAL(2, slots());
        server("b-slow").recordLoadReport(14, m_now + 201ms);
        CPPUNIT_ASSERT(slots() <= 1);
        CPPUNIT_ASSERT_EQUAL(0, capacity.slots("none"));
    }

    ConfigurationState m_state;
    BackendServerRegistry m_registry;
    std::shared_ptr<const Configuration> m_configuration;
    TimePoint m_now {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);
