#include "process/broken_answers.h"
#include "process/crowd_check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace dogwoodvalve;
using namespace dogwoodvalve::process;

namespace {

constexpr int FleetIndex = 13;
constexpr std::size_t EntryBodyBytes = 8U << 20;
const std::string Fields = " HTTP/1.1\r\nHost: demo\r\nAuthorization: Bearer demo-key\r\n";
const std::string CompletionRequest = "POST /v1/completions" + Fields;
const std::string ServiceRequest = "POST /services/forms/x" + Fields;

/// An entry host on a small machine.
class SmallEntry : public CrowdTarget
{
public:
    SmallEntry()
        : m_fleet(FleetIndex, 1)
    {
        m_fleet.entryLimits = "memoryMb: " + std::to_string(MachineMegabytes)
            + ", descriptors: " + std::to_string(MachineDescriptors);
        m_fleet.startAll();
        limitDescriptors(m_fleet.entry(0).pid(), MachineDescriptors);
    }

    ChildProcess &process() override { return m_fleet.entry(0); }
    std::vector<std::string> doors() const override { return {m_fleet.callerAddress(0)}; }
    std::string ask() override
    {
        return rawAnswer(m_fleet.callerAddress(0), "GET /services/forms/x" + Fields, 0);
    }

private:
    Fleet m_fleet;
};

} // namespace

/// Clients that send more than they may, or that stop and keep their connections, before an entry
/// host as a real process on a machine of lowered size.
class EntryMisbehavingClientsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryMisbehavingClientsTest);
    CPPUNIT_TEST(trailersWithoutEnd);
    CPPUNIT_TEST(bodiesThatStopShort);
    CPPUNIT_TEST(bodiesOfServicesThatStopShort);
    CPPUNIT_TEST(headsOfManyFields);
    CPPUNIT_TEST(nestedLists);
    CPPUNIT_TEST(idleConnections);
    CPPUNIT_TEST_SUITE_END();

    static void play(int clients, const CrowdScript &script)
    {
        SmallEntry entry;
        assertWithstands(entry, entry.doors().front(), clients, script);
    }

    void trailersWithoutEnd() { play(8, endlessTrailers(CompletionRequest)); }
    void bodiesThatStopShort() { play(16, bodyThatStopsShort(CompletionRequest, EntryBodyBytes)); }
    void bodiesOfServicesThatStopShort()
    {
        play(16, bodyThatStopsShort(ServiceRequest, EntryBodyBytes));
    }
    void headsOfManyFields() { play(200, manyFields(ServiceRequest, 15 * 1024)); }
    void nestedLists()
    {
        CrowdScript script = wholeBody(CompletionRequest, EntryBodyBytes);
        std::fill(script.piece.begin(), script.piece.end(), '[');
        play(4, script);
    }
    void idleConnections() { play(MoreThanDescriptors, {}); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryMisbehavingClientsTest);
