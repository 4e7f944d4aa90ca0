#include "engine_profile.h"

#include <dogwoodvalve/layer_planner.h>
#include <dogwoodvalve/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace dogwoodvalve;

namespace {

std::vector<PlannedServer> makeZone(const std::string &zone, int large, int medium, int small)
{
    std::vector<PlannedServer> servers;
    const auto add = [&](const char *kind, int n) {
        for (int i = 0; i < n; ++i)
            servers.push_back({zone + '-' + kind + std::to_string(i), zone, kind, {}});
    };
    add("large", large);
    add("medium", medium);
    add("small", small);
    return servers;
}

void applyAssignments(std::vector<PlannedServer> &servers,
                      const std::vector<LayerAssignment> &assignments)
{
    for (const LayerAssignment &assignment : assignments) {
        const auto it =
            std::find_if(servers.begin(), servers.end(), [&](const PlannedServer &server) {
                return server.id == assignment.server;
            });
        it->layers = assignment.layers;
    }
}

} // namespace

class LayerPlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LayerPlannerTest);
    CPPUNIT_TEST(assignedLayersFitInMemory);
    CPPUNIT_TEST(eachZoneHoldsTheModelAndEachLayerHasThreeHolders);
    CPPUNIT_TEST(heldLayersAreKept);
    CPPUNIT_TEST(aNewServerGetsTheScarcestLayersOfItsZone);
    CPPUNIT_TEST(unknownKindsGetNoLayers);
    CPPUNIT_TEST(randomZonesHoldTheModelIfMemoryAllows);
    CPPUNIT_TEST_SUITE_END();

    const EngineProfile m_profile = mixedProfile();
    const LayerPlanner m_planner {m_profile};

    void assignedLayersFitInMemory()
    {
        Random random(11);
        for (int run = 0; run < 300; ++run) {
            const std::vector<PlannedServer> servers =
                makeZone("a", static_cast<int>(random.below(4)), static_cast<int>(random.below(8)),
                         static_cast<int>(random.below(20)));
            for (const LayerAssignment &assignment : m_planner.assign(servers)) {
                const auto server =
                    std::find_if(servers.begin(), servers.end(), [&](const PlannedServer &it) {
                        return it.id == assignment.server;
                    });
                const AcceleratorKind &kind = *m_profile.findKind(server->kind);
                const int layers = assignment.layers.size();
                CPPUNIT_ASSERT(layers > 0);
                CPPUNIT_ASSERT(layers * m_profile.layerMb < kind.memoryMb * 0.9);
            }
        }
    }

    /// When a server that holds a layer fails, others must hold it too, so that a path with at most
    /// one hop between zones remains. Each zone must have a complete path.
    void eachZoneHoldsTheModelAndEachLayerHasThreeHolders()
    {
        std::vector<PlannedServer> servers = makeZone("a", 1, 3, 8);
        for (const PlannedServer &it : makeZone("b", 1, 6, 5))
            servers.push_back(it);
        for (const PlannedServer &it : makeZone("c", 2, 2, 5))
            servers.push_back(it);
        applyAssignments(servers, m_planner.assign(servers));
        std::vector<int> holders(80, 0);
        for (const PlannedServer &server : servers) {
            for (int layer = server.layers.first; layer < server.layers.end; ++layer)
                ++holders[layer];
        }
        CPPUNIT_ASSERT(*std::min_element(holders.begin(), holders.end()) >= 3);
        // The steady load of a zone: 26 requests per second of 960 tokens, each for 2.5 s.
        for (const char *zone : {"a", "b", "c"})
            CPPUNIT_ASSERT_MESSAGE(zone, m_planner.zoneCapacity(servers, zone) > 26 * 960 * 2.5);
    }

    void heldLayersAreKept()
    {
        std::vector<PlannedServer> servers = makeZone("a", 1, 3, 8);
        applyAssignments(servers, m_planner.assign(servers));
        CPPUNIT_ASSERT(m_planner.assign(servers).empty());
    }

    void aNewServerGetsTheScarcestLayersOfItsZone()
    {
        std::vector<PlannedServer> servers = makeZone("a", 1, 3, 8);
        applyAssignments(servers, m_planner.assign(servers));
        // The server that held the first blocks is replaced by a new one of the same kind.
        const LayerSpan lost = servers.front().layers;
        servers.front() = {"new", "a", "large", {}};
        const std::vector<LayerAssignment> assignments = m_planner.assign(servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, assignments.size());
        CPPUNIT_ASSERT(assignments.front().layers == lost);
    }

    void unknownKindsGetNoLayers()
    {
        std::vector<PlannedServer> servers {{"x", "a", "unheard-of", {}}};
        CPPUNIT_ASSERT(m_planner.assign(servers).empty());
    }

    void randomZonesHoldTheModelIfMemoryAllows()
    {
        Random random(7);
        for (int run = 0; run < 300; ++run) {
            std::vector<PlannedServer> servers =
                makeZone("a", static_cast<int>(random.below(4)), static_cast<int>(random.below(8)),
                         static_cast<int>(random.below(20)));
            applyAssignments(servers, m_planner.assign(servers));
            int held = 0;
            for (const PlannedServer &server : servers) {
                CPPUNIT_ASSERT(server.layers.first >= 0 && server.layers.end <= 80);
                held += server.layers.size();
            }
            // The scarcest blocks are assigned first, so the zone holds the complete model once the
            // servers hold enough layers. The margin of 30 layers allows for overlapping ranges.
            if (held >= 80 + 30)
                CPPUNIT_ASSERT_MESSAGE("run " + std::to_string(run),
                                       m_planner.zoneCapacity(servers, "a") > 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayerPlannerTest);
