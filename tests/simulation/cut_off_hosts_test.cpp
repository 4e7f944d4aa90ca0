#include "simulation/link_loss.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace dogwoodvalve;
using namespace dogwoodvalve::simulation;
using namespace dogwoodvalve::testtool;

namespace {

constexpr int Hosts = 7;
constexpr int Engines = 6;
constexpr int CutHosts = 4;
/// Time after the begin of a cut from which its hosts must serve again.
constexpr Duration NoticeTime = 3s;
constexpr Duration CallInterval = 50ms;
constexpr Duration LongestCall = 9s;

/// First tries at some hosts.
struct Tally
{
    int sent = 0;
    int served = 0;
};

/// A server that answers nothing.
class HoldingServer : public HttpHandler
{
public:
    void handle(const std::shared_ptr<HttpExchange> &exchange) override
    {
        if (exchange->target() == HealthPath)
            return exchange->respond(200, {}, "");
        ++runs;
        m_held.push_back(exchange);
        exchange->onClosed([this] { ++closed; });
    }

    int runs = 0;
    /// Requests whose connection was closed before their answer.
    int closed = 0;

private:
    std::vector<std::shared_ptr<HttpExchange>> m_held;
};

/// Hosts, engines and two plain servers, with ways to cut hosts off from all servers.
class CutOffWorld : public GatewayWorld
{
public:
    CutOffWorld()
        : GatewayWorld(Hosts, Engines)
    {
        addPlainServer(m_secondPlain);
        settle();
    }

    /// Replaces both plain servers.
    void holdPlainRequests(HoldingServer &holding)
    {
        serveHttp(network(), PlainAddress, process("plain"), holding);
        serveHttp(network(), SecondPlainAddress, process("plain-2"), holding);
    }

    /// The host that has an open request of another host to forward, or -1.
    int forwardingHost(int firstCandidate) const
    {
        for (int i = firstCandidate; i < Hosts; ++i) {
            if (hosts[static_cast<std::size_t>(i)]->forwarding())
                return i;
        }
        return -1;
    }

    void cutOff(int host, LinkLoss loss) { loseServerLinks(*this, host, loss); }

    void cutOff(int first, int end, LinkLoss loss)
    {
        for (int host = first; host < end; ++host)
            cutOff(host, loss);
    }

    /// Sends requests of all kinds to all hosts in turn.
    void callFor(Duration time)
    {
        const TimePoint end = now() + time;
        for (; now() < end; run(CallInterval))
            callOnce();
    }

    /// Counts the first tries that callFor() has sent from the given time on.
    Tally tally(bool atCutHosts, TimePoint from) const
    {
        Tally tally;
        for (const Sent &sent : m_sent) {
            if (sent.at < from || (sent.host < CutHosts) != atCutHosts)
                continue;
            ++tally.sent;
            tally.served += isServed(sent) ? 1 : 0;
        }
        return tally;
    }

    int writesRunTwice() const
    {
        return static_cast<int>(
            std::count_if(m_sent.begin(), m_sent.end(), [this](const Sent &sent) {
                return sent.kind == 'w'
                    && plain.runsOf(sent.id) + m_secondPlain.runsOf(sent.id) > 1;
            }));
    }

    std::size_t quarantinedParts() const
    {
        std::size_t n = 0;
        for (const auto &host : hosts)
            n = std::max(n, host->node.view().quarantine().quarantinedParts());
        return n;
    }

private:
    struct Sent
    {
        char kind = 'g';
        int host = 0;
        std::string id;
        TimePoint at {};
        std::shared_ptr<Call> call;
    };

    void callOnce()
    {
        Sent sent;
        sent.host = static_cast<int>(m_sent.size() % Hosts);
        sent.kind = "ggrw"[m_sent.size() / Hosts % 4];
        sent.at = now();
        if (sent.kind == 'g')
            sent.call = generateWith("aa:40", sent.host);
        else
            sent.call = call(sent.kind == 'r' ? "GET" : "POST",
                             sent.kind == 'r' ? "/read/x" : "/write/x", {}, sent.host);
        sent.id = lastId();
        m_sent.push_back(std::move(sent));
    }

    static bool isServed(const Sent &sent)
    {
        const Answer &answer = sent.call->answer;
        const std::string whole =
            sent.kind == 'g' ? ForwardingEngine::wholeStream(sent.id) : std::string("done");
        return answer.complete && answer.status == 200 && answer.body == whole;
    }

    FakePlainServer m_secondPlain;
    std::vector<Sent> m_sent;
};

} // namespace

/// Hosts that callers, the store and the other hosts reach, and that reach no server.
class CutOffHostsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CutOffHostsTest);
    CPPUNIT_TEST(callersAreServedByHostsWhoseLinksHang);
    CPPUNIT_TEST(callersAreServedByHostsWhoseLinksAreReset);
    CPPUNIT_TEST(callersAreServedByHostsWhoseNewConnectionsAreRefused);
    CPPUNIT_TEST(lookUpsLeaveOutCutOffHosts);
    CPPUNIT_TEST(requestsAreRefusedAtOnceWhenAllHostsAreCutOff);
    CPPUNIT_TEST(cutOffHostsServeSoonAfterTheFirstHostHasItsLinksBack);
    CPPUNIT_TEST(hostsServeSoonAfterTheirLinksAreBack);
    CPPUNIT_TEST(crashedServersAreNotTakenForLostLinks);
    CPPUNIT_TEST(aStreamGoesOnWhenItsForwarderIsKilled);
    CPPUNIT_TEST(anUnsafeRequestRunsOnceWhenItsForwarderIsKilled);
    CPPUNIT_TEST(aServerIsToldWhenTheCallerOfAForwardedRequestLeaves);
    CPPUNIT_TEST(requestsAreForwardedOnceOnly);
    CPPUNIT_TEST(callersCanNotHaveRequestsForwarded);
    CPPUNIT_TEST(enginesGetTheirLayersWhileTheHolderOfTheLeaseIsCutOff);
    CPPUNIT_TEST_SUITE_END();

    static std::string describe(const Tally &cut, const Tally &others)
    {
        return std::to_string(cut.served) + " of " + std::to_string(cut.sent) + " served, "
            + std::to_string(others.served) + " of " + std::to_string(others.sent) + " elsewhere";
    }

    static void expectServed(LinkLoss loss)
    {
        CutOffWorld world;
        world.callFor(2s);
        const TimePoint cutAt = world.now();
        world.cutOff(0, CutHosts, loss);
        world.callFor(10s);
        world.run(LongestCall);
        const Tally cut = world.tally(true, cutAt + NoticeTime);
        const Tally others = world.tally(false, cutAt + NoticeTime);
        const std::string text = describe(cut, others);
        CPPUNIT_ASSERT_MESSAGE(text, others.served > 0 && cut.sent > 0);
        CPPUNIT_ASSERT_MESSAGE(text, cut.served * others.sent * 3 >= others.served * cut.sent * 2);
        CPPUNIT_ASSERT_EQUAL(0, world.writesRunTwice());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.quarantinedParts());
    }

    void callersAreServedByHostsWhoseLinksHang() { expectServed(LinkLoss::Hang); }
    void callersAreServedByHostsWhoseLinksAreReset() { expectServed(LinkLoss::Reset); }
    void callersAreServedByHostsWhoseNewConnectionsAreRefused() { expectServed(LinkLoss::Refuse); }

    /// The number of hosts among the given ones that the answer to a look-up names.
    static int named(CutOffWorld &world, int askedHost, int first, int end)
    {
        const auto call = world.lookUp(askedHost);
        world.run(100ms);
        int n = 0;
        for (int host = first; host < end; ++host) {
            const std::string address = "10.0.3." + std::to_string(host + 1) + ":80";
            n += call->answer.body.find(address) != std::string::npos ? 1 : 0;
        }
        return n;
    }

    void lookUpsLeaveOutCutOffHosts()
    {
        CutOffWorld world;
        world.cutOff(0, CutHosts, LinkLoss::Hang);
        world.callFor(NoticeTime);
        for (const int asked : {0, Hosts - 1}) {
            CPPUNIT_ASSERT_EQUAL(0, named(world, asked, 0, CutHosts));
            CPPUNIT_ASSERT_EQUAL(Hosts - CutHosts, named(world, asked, CutHosts, Hosts));
        }
        world.network().healAll();
        world.callFor(2s);
        for (const int asked : {0, Hosts - 1})
            CPPUNIT_ASSERT_EQUAL(Hosts, named(world, asked, 0, Hosts));
    }

    void requestsAreRefusedAtOnceWhenAllHostsAreCutOff()
    {
        CutOffWorld world;
        world.cutOff(0, Hosts, LinkLoss::Refuse);
        world.callFor(NoticeTime);
        const TimePoint sentAt = world.now();
        const auto call = world.generate();
        world.run(2s);
        CPPUNIT_ASSERT_EQUAL(503, call->answer.status);
        CPPUNIT_ASSERT(call->answer.endedAt - sentAt < 500ms);
        CPPUNIT_ASSERT_EQUAL(Hosts, named(world, 0, 0, Hosts));
    }

    static void expectServedAfterTotalCut(int firstRestored)
    {
        CutOffWorld world;
        world.cutOff(0, Hosts, LinkLoss::Refuse);
        world.callFor(10s);
        for (int host = firstRestored; host < Hosts; ++host)
            restoreServerLinks(world, host);
        world.callFor(1500ms);
        const TimePoint from = world.now();
        world.callFor(3s);
        world.run(LongestCall);
        const Tally tally = world.tally(true, from);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(tally, world.tally(false, from)), tally.sent,
                                     tally.served);
    }

    void cutOffHostsServeSoonAfterTheFirstHostHasItsLinksBack()
    {
        expectServedAfterTotalCut(Hosts - 1);
    }

    void hostsServeSoonAfterTheirLinksAreBack() { expectServedAfterTotalCut(0); }

    void crashedServersAreNotTakenForLostLinks()
    {
        CutOffWorld world;
        for (int i = 0; i < Engines / 2; ++i)
            world.engines[static_cast<std::size_t>(i)]->setFault(EngineFault::Dark);
        world.network().stopListening(PlainAddress);
        world.network().stopListening(SecondPlainAddress);
        for (int i = 0; i < 20; ++i) {
            world.callFor(200ms);
            CPPUNIT_ASSERT_EQUAL(Hosts, named(world, Hosts - 1, 0, Hosts));
        }
    }

    void aStreamGoesOnWhenItsForwarderIsKilled()
    {
        CutOffWorld world;
        world.cutOff(0, LinkLoss::Refuse);
        world.callFor(NoticeTime);
        world.run(LongestCall);
        const auto call = world.generate(0);
        const std::string id = world.lastId();
        world.run(200ms);
        const int forwarder = world.forwardingHost(1);
        CPPUNIT_ASSERT(forwarder > 0);
        world.endHost(forwarder);
        world.run(LongestCall);
        CPPUNIT_ASSERT_EQUAL(200, call->answer.status);
        CPPUNIT_ASSERT_EQUAL(ForwardingEngine::wholeStream(id), call->answer.body);
    }

    void anUnsafeRequestRunsOnceWhenItsForwarderIsKilled()
    {
        CutOffWorld world;
        HoldingServer holding;
        world.holdPlainRequests(holding);
        world.cutOff(0, LinkLoss::Refuse);
        world.callFor(NoticeTime);
        world.run(LongestCall);
        const int before = holding.runs;
        const auto call = world.call("POST", "/write/x", {{"X-Deadline-Ms", "3000"}}, 0);
        world.run(100ms);
        CPPUNIT_ASSERT_EQUAL(before + 1, holding.runs);
        world.endHost(world.forwardingHost(1));
        world.run(4s);
        CPPUNIT_ASSERT_EQUAL(502, call->answer.status);
        CPPUNIT_ASSERT_EQUAL(before + 1, holding.runs);
    }

    void aServerIsToldWhenTheCallerOfAForwardedRequestLeaves()
    {
        CutOffWorld world;
        HoldingServer holding;
        world.holdPlainRequests(holding);
        world.cutOff(0, LinkLoss::Refuse);
        const auto call = world.call("POST", "/write/x", {}, 0);
        world.run(300ms);
        CPPUNIT_ASSERT_EQUAL(1, holding.runs);
        call->client->close();
        world.run(300ms);
        CPPUNIT_ASSERT_EQUAL(1, holding.closed);
    }

    void requestsAreForwardedOnceOnly()
    {
        CutOffWorld world;
        world.cutOff(0, 2, LinkLoss::Refuse);
        // The other hosts reach the server.
        const auto forwarded = world.forwardThrough(1, "/forward/p-1/0/read/x", "82");
        world.run(1s);
        CPPUNIT_ASSERT_EQUAL(502, forwarded->answer.status);
        CPPUNIT_ASSERT_EQUAL(0, world.plain.runs);
    }

    void callersCanNotHaveRequestsForwarded()
    {
        CutOffWorld world;
        for (const char *port : {"80", "81"}) {
            const auto call = world.forwardThrough(1, "/forward/p-1/0/read/x", port);
            world.run(1s);
            CPPUNIT_ASSERT(call->answer.ended && call->answer.status >= 400);
        }
        CPPUNIT_ASSERT_EQUAL(0, world.plain.runs);
        const auto call = world.forwardThrough(1, "/forward/p-1/0/read/x", "82");
        world.run(1s);
        CPPUNIT_ASSERT_EQUAL(200, call->answer.status);
        CPPUNIT_ASSERT_EQUAL(1, world.plain.runs);
    }

    void enginesGetTheirLayersWhileTheHolderOfTheLeaseIsCutOff()
    {
        CutOffWorld world;
        for (int host = 0; host < Hosts - 1; ++host)
            world.cutOff(host, LinkLoss::Refuse);
        world.callFor(2s);
        world.restartEngine(0);
        world.callFor(8s);
        CPPUNIT_ASSERT(!world.engines[0]->layers().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutOffHostsTest);
