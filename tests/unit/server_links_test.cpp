#include <dogwoodvalve/server_health.h>
#include <dogwoodvalve/server_links.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;

/// When a host takes its own links for lost, and when for restored.
class ServerLinksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerLinksTest);
    CPPUNIT_TEST(oneBypassedServerIsNoCut);
    CPPUNIT_TEST(severalBypassedServersAreACut);
    CPPUNIT_TEST(aConnectionInBetweenIsNoCut);
    CPPUNIT_TEST(oneConnectionDoesNotEndACut);
    CPPUNIT_TEST(serversThatFailForOtherHostsTooAreNoDoubt);
    CPPUNIT_TEST(aBypassedServerIsConnectedToAgainLater);
    CPPUNIT_TEST(evidenceOfLostLinksIsWithdrawn);
    CPPUNIT_TEST_SUITE_END();

    void oneBypassedServerIsNoCut()
    {
        ServerLinks links;
        links.recordBypassed("a", m_now);
        links.recordBypassed("a", m_now);
        CPPUNIT_ASSERT(!links.cutOff());
        CPPUNIT_ASSERT(!links.connectsDirectly("a", m_now));
        CPPUNIT_ASSERT(links.connectsDirectly("b", m_now));
    }

    void severalBypassedServersAreACut()
    {
        ServerLinks links;
        links.recordBypassed("a", m_now);
        links.recordBypassed("b", m_now);
        CPPUNIT_ASSERT(links.cutOff());
        CPPUNIT_ASSERT(!links.connectsDirectly("c", m_now + 1h));
    }

    void aConnectionInBetweenIsNoCut()
    {
        ServerLinks links;
        links.recordBypassed("a", m_now);
        links.recordConnected("c", m_now);
        links.recordBypassed("b", m_now);
        CPPUNIT_ASSERT(!links.cutOff());
    }

    void oneConnectionDoesNotEndACut()
    {
        ServerLinks links;
        links.recordBypassed("a", m_now);
        links.recordBypassed("b", m_now);
        links.recordConnected("c", m_now);
        links.recordFailed("c");
        links.recordConnected("c", m_now);
        CPPUNIT_ASSERT(links.cutOff());
        links.recordConnected("c", m_now);
        CPPUNIT_ASSERT(!links.cutOff());
        CPPUNIT_ASSERT(links.connectsDirectly("a", m_now));
    }

    void serversThatFailForOtherHostsTooAreNoDoubt()
    {
        ServerLinks links;
        links.recordFailed("a");
        links.recordUnreachable("a");
        links.recordFailed("b");
        CPPUNIT_ASSERT(!links.doubtful());
        links.recordFailed("c");
        CPPUNIT_ASSERT(links.doubtful());
        CPPUNIT_ASSERT(!links.cutOff());
        links.recordConnected("d", m_now);
        CPPUNIT_ASSERT(!links.doubtful());
    }

    void aBypassedServerIsConnectedToAgainLater()
    {
        ServerLinks links;
        links.recordBypassed("a", m_now);
        links.recordBypassed("a", m_now + 1s);
        CPPUNIT_ASSERT(!links.connectsDirectly("a", m_now + 1s));
        CPPUNIT_ASSERT(links.connectsDirectly("a", m_now + 2500ms));
    }

    void evidenceOfLostLinksIsWithdrawn()
    {
        ServerHealth health;
        health.recordEvidence("old", 0, ServerEvidence::Unreachable, m_now);
        const TimePoint later = m_now + 3s;
        health.recordEvidence("new", 0, ServerEvidence::ProbeFailed, later);
        health.withdrawUnreachable(later, later + 100ms);
        CPPUNIT_ASSERT(!health.usable("old", 0, later + 100ms));
        CPPUNIT_ASSERT(health.usable("new", 0, later + 100ms));
        CPPUNIT_ASSERT(health.failedProbes(later + 100ms).empty());
    }

    const TimePoint m_now = TimePoint {} + 100s;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLinksTest);
