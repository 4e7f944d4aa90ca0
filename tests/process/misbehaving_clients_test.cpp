#include "process/broken_answers.h"
#include "process/crowd.h"
#include "process/crowd_check.h"
#include "process/relayed_host.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;
using namespace dogwoodvalve::process;

namespace {

constexpr int FirstPort = 26'600;
/// Length of an answer to a request with an id that begins with "large".
constexpr std::size_t LargeAnswerBytes = 7U << 20;
const std::string ForwardPrefix = "/forward/service-1/0";

std::string answerText(const std::string &id, std::size_t bytes)
{
    return "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: " + id
        + "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'a');
}

/// Answers requests for large answers, and those with a body that the stand-ins don't take.
std::optional<testtool::RelayAnswer> answerTo(std::string_view head)
{
    const std::string id = fieldIn(head, "X-Request-Id");
    if (startsWith(id, "large"))
        return testtool::RelayAnswer {answerText(id, LargeAnswerBytes), false};
    if (startsWith(id, "whole"))
        return testtool::RelayAnswer {answerText(id, 5), false};
    return std::nullopt;
}

/// A gateway host on a small machine.
class SmallHost : public CrowdTarget
{
public:
    SmallHost()
        : m_host("crowd", FirstPort, answerTo, machineSettings())
    {
        limitDescriptors(m_host.process().pid(), MachineDescriptors);
        m_host.awaitServed("/generate/", 1);
        m_host.awaitServed("/read/", 4);
    }

    ChildProcess &process() override { return m_host.process(); }
    std::vector<std::string> doors() const override
    {
        return {m_host.front(), m_host.lookup(), m_host.peer()};
    }
    std::string ask() override
    {
        return rawAnswer(m_host.front(), platformRequest("GET", "/read/x", "ordinary"), 0);
    }

    const RelayedHost &host() const { return m_host; }

private:
    RelayedHost m_host;
};

} // namespace

/// Clients that send more than they may, or that stop and keep their connections, before a gateway
/// host as a real process on a machine of lowered size.
class MisbehavingClientsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MisbehavingClientsTest);
    CPPUNIT_TEST(trailersWithoutEnd);
    CPPUNIT_TEST(chunkExtensionsWithoutEnd);
    CPPUNIT_TEST(chunkSizesWithoutEnd);
    CPPUNIT_TEST(chunksWithoutEnd);
    CPPUNIT_TEST(bodiesThatStopShort);
    CPPUNIT_TEST(bodiesInChunksThatStopShort);
    CPPUNIT_TEST(smallerBodiesThatStopShort);
    CPPUNIT_TEST(wholeBodies);
    CPPUNIT_TEST(bodiesOverTheLimit);
    CPPUNIT_TEST(headsOfManyFields);
    CPPUNIT_TEST(headsThatStopShort);
    CPPUNIT_TEST(answersThatAreNotRead);
    CPPUNIT_TEST(pipelinesThatAreNotRead);
    CPPUNIT_TEST(idleConnections);
    CPPUNIT_TEST(idleConnectionsAtTheLookUp);
    CPPUNIT_TEST(trailersWithoutEndAtTheLookUp);
    CPPUNIT_TEST(forwardedBodiesThatStopShort);
    CPPUNIT_TEST(wholeForwardedBodies);
    CPPUNIT_TEST(forwardedTrailersWithoutEnd);
    CPPUNIT_TEST(oneLargeRequestInCalm);
    CPPUNIT_TEST_SUITE_END();

    /// Plays the crowd at the callers' port.
    static void play(int clients, const CrowdScript &script)
    {
        SmallHost host;
        assertWithstands(host, host.host().front(), clients, script);
    }
    static void playAtPeerPort(int clients, const CrowdScript &script)
    {
        SmallHost host;
        assertWithstands(host, host.host().peer(), clients, script);
    }
    static std::string writeRequest(const std::string &prefix = "")
    {
        return platformRequest("POST", prefix + "/write/x", "crowd");
    }

    void trailersWithoutEnd() { play(8, endlessTrailers(writeRequest())); }
    void chunkExtensionsWithoutEnd() { play(8, endlessChunkExtension(writeRequest())); }
    void chunkSizesWithoutEnd() { play(8, endlessChunkSize(writeRequest())); }
    void chunksWithoutEnd() { play(8, endlessChunks(writeRequest())); }
    void bodiesThatStopShort() { play(12, bodyThatStopsShort(writeRequest(), LargeBodyBytes)); }
    void bodiesInChunksThatStopShort()
    {
        play(12, chunkedBodyThatStopsShort(writeRequest(), LargeBodyBytes));
    }
    void smallerBodiesThatStopShort()
    {
        play(150, bodyThatStopsShort(writeRequest(), SmallerBodyBytes));
    }
    void wholeBodies() { play(12, wholeBody(writeRequest(), LargeBodyBytes)); }
    void bodiesOverTheLimit() { play(12, bodyThatStopsShort(writeRequest(), 2U << 30)); }
    void headsOfManyFields() { play(80, manyFields(writeRequest(), 60 * 1024)); }
    void headsThatStopShort()
    {
        SmallHost host;
        assertWithstands(host, host.host().front(), MoreThanDescriptors, {"GET /read/x HTT", {}});
    }
    void answersThatAreNotRead()
    {
        play(30, {platformRequest("GET", "/read/x", "large") + "\r\n", {}});
    }
    void pipelinesThatAreNotRead()
    {
        const std::string target = "/read/" + std::string(4096, 'x');
        play(40, {{}, platformRequest("GET", target, "pipelined") + "\r\n", 4000});
    }
    void idleConnections() { play(MoreThanDescriptors, {}); }
    void idleConnectionsAtTheLookUp()
    {
        SmallHost host;
        assertWithstands(host, host.host().lookup(), MoreThanDescriptors, {});
    }
    void trailersWithoutEndAtTheLookUp()
    {
        SmallHost host;
        assertWithstands(host, host.host().lookup(), 8,
                         endlessTrailers("POST /v1/resolve?Name=demo HTTP/1.1\r\nHost: demo\r\n"));
    }
    void forwardedBodiesThatStopShort()
    {
        playAtPeerPort(12, bodyThatStopsShort(writeRequest(ForwardPrefix), LargeBodyBytes));
    }
    void wholeForwardedBodies()
    {
        playAtPeerPort(12, wholeBody(writeRequest(ForwardPrefix), LargeBodyBytes));
    }
    void forwardedTrailersWithoutEnd()
    {
        playAtPeerPort(8, endlessTrailers(writeRequest(ForwardPrefix)));
    }

    void oneLargeRequestInCalm()
    {
        SmallHost host;
        const std::string answer = rawAnswer(
            host.host().front(), platformRequest("POST", "/write/x", "whole"), LargeBodyBytes);
        CPPUNIT_ASSERT_MESSAGE(answer, startsWith(answer, "HTTP/1.1 200 "));
        const std::string large =
            rawAnswer(host.host().front(), platformRequest("GET", "/read/x", "large"), 0);
        CPPUNIT_ASSERT(startsWith(large, "HTTP/1.1 200 ") && large.size() > LargeAnswerBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MisbehavingClientsTest);
