#include <dogwoodvalve/path_selector.h>
#include <dogwoodvalve/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace dogwoodvalve;

namespace {

constexpr int Layers = 80;
constexpr SequenceSize TypicalRequest {800, 200};

PathServer server(std::string_view id, std::string_view zone, int first, int end, double stepMs)
{
    return {id, zone, {first, end}, stepMs / Layers, 0.01 / Layers, 1e6, 0};
}

std::vector<std::string> idsOf(std::span<const PathServer> servers, const EnginePath &path)
{
    std::vector<std::string> ids;
    for (const PathPart &part : path.parts)
        ids.emplace_back(servers[part.server].id);
    return ids;
}

} // namespace

class PathSelectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PathSelectorTest);
    CPPUNIT_TEST(everyLayerIsRunOnceAndInOrder);
    CPPUNIT_TEST(aPathStaysInOneZoneIfPossible);
    CPPUNIT_TEST(fasterServersArePreferredUntilTheyAreBusy);
    CPPUNIT_TEST(aPrefillBacklogDivertsRequests);
    CPPUNIT_TEST(kvCacheIsNotOvercommitted);
    CPPUNIT_TEST(aMissingLayerMeansNoPath);
    CPPUNIT_TEST(aServerAppearsOnce);
    CPPUNIT_TEST(theStepTimeIsTheSumOfPartsAndHops);
    CPPUNIT_TEST_SUITE_END();

    const PathSelector m_selector {Layers, 3, HopCosts {}};

    void everyLayerIsRunOnceAndInOrder()
    {
        Random random(3);
        int found = 0;
        for (int run = 0; run < 500; ++run) {
            std::vector<std::string> ids;
            ids.reserve(20);
            for (int i = 0; i < 20; ++i)
                ids.push_back("s" + std::to_string(i));
            std::vector<PathServer> servers;
            for (int i = 0; i < 20; ++i) {
                const int first = static_cast<int>(random.below(70));
                const int end = first + 5 + static_cast<int>(random.below(35));
                servers.push_back(server(ids[i], random.chance(0.5) ? "a" : "b", first,
                                         std::min(end, Layers), 1 + random.fraction() * 15));
            }
            servers.push_back(server("first", "a", 0, 20, 4));
            servers.push_back(server("last", "a", 70, 80, 4));
            const auto path = m_selector.select(servers, TypicalRequest);
            if (!path)
                continue;
            ++found;
            int next = 0;
            std::set<std::size_t> used;
            for (const PathPart &part : path->parts) {
                CPPUNIT_ASSERT_EQUAL(next, part.layers.first);
                CPPUNIT_ASSERT(!part.layers.empty());
                const LayerSpan held = servers[part.server].layers;
                CPPUNIT_ASSERT(held.first <= part.layers.first && part.layers.end <= held.end);
                CPPUNIT_ASSERT(used.insert(part.server).second);
                next = part.layers.end;
            }
            CPPUNIT_ASSERT_EQUAL(Layers, next);
        }
        CPPUNIT_ASSERT(found > 250);
    }

    void aPathStaysInOneZoneIfPossible()
    {
        const std::vector<PathServer> servers {
            server("a1", "a", 0, 40, 5), server("a2", "a", 40, 80, 5), server("b1", "b", 0, 40, 5),
            server("b2", "b", 40, 80, 4.9)};
        const auto ids = idsOf(servers, *m_selector.select(servers, TypicalRequest));
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), ids[0]);
        CPPUNIT_ASSERT_EQUAL(std::string("b2"), ids[1]);
    }

    void fasterServersArePreferredUntilTheyAreBusy()
    {
        std::vector<PathServer> servers {server("fast", "a", 0, 80, 5),
                                         server("slow", "a", 0, 80, 9)};
        CPPUNIT_ASSERT_EQUAL(std::string("fast"),
                             idsOf(servers, *m_selector.select(servers, TypicalRequest))[0]);
        servers[0].committed = 0.8 * servers[0].capacity;
        CPPUNIT_ASSERT_EQUAL(std::string("slow"),
                             idsOf(servers, *m_selector.select(servers, TypicalRequest))[0]);
    }

    void aPrefillBacklogDivertsRequests()
    {
        std::vector<PathServer> servers {server("fast", "a", 0, 80, 3),
                                         server("slow", "a", 0, 80, 6)};
        CPPUNIT_ASSERT(idsOf(servers, *m_selector.select(servers, TypicalRequest))
                       == std::vector<std::string> {"fast"});
        servers[0].backlogMs = 400;
        const auto path = m_selector.select(servers, TypicalRequest);
        CPPUNIT_ASSERT(idsOf(servers, *path) == std::vector<std::string> {"slow"});
        // The expected time until the first event includes the backlog.
        servers.pop_back();
        CPPUNIT_ASSERT(m_selector.select(servers, TypicalRequest)->timeToFirstEvent > 400ms);
    }

    void kvCacheIsNotOvercommitted()
    {
        std::vector<PathServer> servers {server("one", "a", 0, 40, 5),
                                         server("two", "a", 40, 80, 5)};
        int admitted = 0;
        while (const auto path = m_selector.select(servers, TypicalRequest)) {
            for (const PathPart &part : path->parts)
                servers[part.server].committed += TypicalRequest.total() * part.layers.size();
            ++admitted;
        }
        CPPUNIT_ASSERT_EQUAL(22, admitted);
        for (const PathServer &it : servers)
            CPPUNIT_ASSERT(it.committed <= it.capacity * PathSelector::MaxCommittedShare);
    }

    void aMissingLayerMeansNoPath()
    {
        const std::vector<PathServer> servers {server("one", "a", 0, 39, 5),
                                               server("two", "a", 40, 80, 5)};
        CPPUNIT_ASSERT(!m_selector.select(servers, TypicalRequest));
        CPPUNIT_ASSERT(!m_selector.select({}, TypicalRequest));
    }

    void aServerAppearsOnce()
    {
        // The cheapest way would leave the server with all layers for the fast middle and return.
        const std::vector<PathServer> servers {server("long", "a", 0, 80, 40),
                                               server("middle", "a", 20, 60, 1)};
        const auto path = m_selector.select(servers, TypicalRequest);
        CPPUNIT_ASSERT(path.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, path->parts.size());
    }

    void theStepTimeIsTheSumOfPartsAndHops()
    {
        const std::vector<PathServer> servers {server("a1", "a", 0, 40, 8),
                                               server("b1", "b", 40, 80, 8)};
        const auto path = m_selector.select(servers, TypicalRequest);
        CPPUNIT_ASSERT_EQUAL(Duration(8'750).count(), path->stepTime.count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathSelectorTest);
