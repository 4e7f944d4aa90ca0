#include "engine_profile.h"

#include <dogwoodvalve/layer_planner.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;

class MemoryDivisionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryDivisionTest);
    CPPUNIT_TEST(aLargePoolServesMoreRequestsWithMemoryForContext);
    CPPUNIT_TEST(aSmallPoolHoldsAsManyLayersAsFit);
    CPPUNIT_TEST(aZoneWithFewServersLimitsTheOthers);
    CPPUNIT_TEST(theRoomOfALargePoolGrows);
    CPPUNIT_TEST_SUITE_END();

public:
    MemoryDivisionTest()
        : m_profile(mixedProfile())
    {
        m_profile.stepMsPerSequence = 0.005;
        m_profile.stepMsPerThousandContextTokens = 0.006;
        m_profile.usualPromptTokens = 760;
        m_profile.usualAnswerTokens = 200;
    }

private:
    MemoryDivision division() const { return {m_profile, m_most, 4}; }

    static int copies(const KindCounts &zone, const LayersByKind &layers)
    {
        int held = 0;
        for (const auto &[kind, n] : zone)
            held += n * layers.at(kind);
        return held / 80;
    }

    void aLargePoolServesMoreRequestsWithMemoryForContext()
    {
        const KindCounts zone {{"large", 4}, {"medium", 12}, {"small", 16}};
        const LayersByKind layers = division().divide({{"a", zone}, {"b", zone}, {"c", zone}});
        CPPUNIT_ASSERT(layers != m_most);
        CPPUNIT_ASSERT(division().throughput(zone, layers)
                       > 1.1 * division().throughput(zone, m_most));
        CPPUNIT_ASSERT(copies(zone, layers) >= MemoryDivision::MinCopiesPerZone);
    }

    void aSmallPoolHoldsAsManyLayersAsFit()
    {
        const KindCounts zone {{"large", 1}, {"medium", 4}, {"small", 6}};
        CPPUNIT_ASSERT(division().divide({{"a", zone}, {"b", zone}}) == m_most);
    }

    void aZoneWithFewServersLimitsTheOthers()
    {
        const KindCounts large {{"large", 4}, {"medium", 12}, {"small", 16}};
        const KindCounts small {{"small", 10}};
        CPPUNIT_ASSERT(division().divide({{"a", large}, {"b", small}}) == m_most);
    }

    void theRoomOfALargePoolGrows()
    {
        std::vector<PlannedServer> servers;
        for (const char *zone : {"a", "b", "c"}) {
            for (const auto &[kind, n] : KindCounts {{"large", 4}, {"medium", 12}, {"small", 16}}) {
                for (int i = 0; i < n; ++i)
                    servers.push_back({zone + kind + std::to_string(i), zone, kind, {}});
            }
        }
        const LayerPlanner planner(m_profile);
        for (const LayerAssignment &assignment : planner.assign(servers)) {
            for (PlannedServer &server : servers) {
                if (server.id == assignment.server)
                    server.layers = assignment.layers;
            }
        }
        // With the most layers on each, no division among the blocks has more room than this.
        for (const char *zone : {"a", "b", "c"})
            CPPUNIT_ASSERT(planner.zoneCapacity(servers, zone) > 462'000);
    }

    EngineProfile m_profile;
    LayersByKind m_most {{"large", 24}, {"medium", 16}, {"small", 8}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryDivisionTest);
