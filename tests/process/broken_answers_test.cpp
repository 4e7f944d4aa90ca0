#include "net/asio_loop_services.h"
#include "net/endpoint.h"
#include "path_fleet.h"
#include "process/broken_answers.h"
#include "process/gateway_hosts.h"

#include <boost/asio/executor_work_guard.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <map>
#include <mutex>
#include <thread>

using namespace dogwoodvalve;
using namespace dogwoodvalve::process;

namespace {

constexpr int FirstPort = 26'400;
constexpr int Engines = 6;
constexpr int Servers = Engines + testtool::PathFleet::Services;
/// Servers are registered under the ports of the relays before them.
constexpr int RelayShift = 10;
constexpr int HostShift = 20;
/// Offset of a host's peer port.
constexpr int PeerPort = 3;

std::string at(int offset)
{
    return "127.0.0.1:" + std::to_string(FirstPort + offset);
}

/// One gateway host as a real process, and a relay before each server that gives named answers:
/// to each request with an id like "blank.always.1", or only to the first one with "blank.once.1".
class BrokenServers
{
public:
    BrokenServers()
        : m_folder(std::filesystem::temp_directory_path()
                   / ("dogwoodvalve-broken-" + std::to_string(::getpid())))
        , m_services(m_loop)
        , m_platform(m_loop, m_services.timers(), Engines, RelayShift)
        , m_hosts(m_folder, FirstPort + HostShift, {at(0)})
    {
        std::filesystem::create_directories(m_folder);
        m_platform.listen(parseEndpoint(at(0)).value()).value();
        for (int i = 1; i <= Servers; ++i) {
            m_relays.push_back(
                std::make_unique<testtool::Relay>(m_loop, parseEndpoint(at(i)).value()));
            m_relays.back()->listen(parseEndpoint(at(i + RelayShift)).value()).value();
            m_relays.back()->setAnswerer([this](std::string_view head) { return answerTo(head); });
        }
        m_hosts.start(0, "retries: {windowS: 5, ratio: 1, slack: 400}\n");
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~BrokenServers()
    {
        m_hosts.endAll();
        m_loop.stop();
        m_thread.join();
        std::filesystem::remove_all(m_folder);
    }

    BrokenServers(const BrokenServers &) = delete;
    BrokenServers &operator=(const BrokenServers &) = delete;

    /// Sends a request to the host and returns all bytes of the answer.
    static std::string ask(const std::string &target, const std::string &id,
                           std::size_t uploadBytes = 0, int port = 0)
    {
        return rawAnswer(at(HostShift + port),
                         (uploadBytes > 0 ? "POST " : "GET ") + target
                             + " HTTP/1.1\r\nHost: demo\r\nApi-Key: demo-key\r\nX-Request-Id: " + id
                             + "\r\nX-Token-Usage: 100,60\r\n",
                         uploadBytes);
    }

    /// How often a server got the request with this id.
    int arrivals(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals[id];
    }

    /// Sends sound requests until the host uses the servers again.
    static void recover()
    {
        awaitServed("/generate/", 2);
        awaitServed("/read/", 10);
    }

private:
    /// Waits until so many requests in a row were served.
    static void awaitServed(const std::string &target, int times)
    {
        int served = 0;
        Fleet::eventually("the servers are used again", [&target, &served, times] {
            served = startsWith(ask(target, "sound"), "HTTP/1.1 200 ") ? served + 1 : 0;
            return served == times;
        });
    }

    std::optional<testtool::RelayAnswer> answerTo(std::string_view head)
    {
        const std::string id = fieldIn(head, "X-Request-Id");
        const std::lock_guard lock(m_mutex);
        const int arrivals = ++m_arrivals[id];
        if (arrivals > 1 && contains(id, ".once."))
            return std::nullopt;
        return namedAnswer(id);
    }

    std::string m_folder;
    boost::asio::io_context m_loop {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work {
        m_loop.get_executor()};
    AsioLoopServices m_services;
    testtool::PathFleet m_platform;
    std::vector<std::unique_ptr<testtool::Relay>> m_relays;
    GatewayHosts m_hosts;
    std::mutex m_mutex;
    std::map<std::string, int> m_arrivals;
    std::thread m_thread;
};

/// A failure of the host's own that says nothing more than the host knows.
void assertOwnFailure(const std::string &id, const std::string &answer)
{
    CPPUNIT_ASSERT_MESSAGE(id + ": " + answer, startsWith(answer, "HTTP/1.1 502 "));
    CPPUNIT_ASSERT_MESSAGE(id + ": " + answer, !contains(answer, "X-Server-Stamp"));
    CPPUNIT_ASSERT_MESSAGE(id + ": " + answer, contains(answer, "\"outcome\":\"unknown\""));
}

} // namespace

/// Broken answers of servers, before a gateway host as a real process.
class BrokenAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrokenAnswersTest);
    CPPUNIT_TEST(brokenHeadsAreNoAnswers);
    CPPUNIT_TEST(answersThatAreResetDuringTheUploadAreNotWhole);
    CPPUNIT_TEST(earlyAnswersArePassedOn);
    CPPUNIT_TEST(forwardedBrokenAnswersAreLost);
    CPPUNIT_TEST_SUITE_END();

    void brokenHeadsAreNoAnswers()
    {
        BrokenServers servers;
        servers.recover();
        for (const std::string &form : brokenHeads()) {
            const std::string id = form + ".always.";
            for (const auto &[target, arrivals] :
                 {std::pair("/read/", 2), {"/write/", 1}, {"/generate/", 2}, {"/once/", 1}}) {
                assertOwnFailure(id + target, servers.ask(target + form, id + target));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id + target, arrivals, servers.arrivals(id + target));
            }
            servers.recover();
            const std::string once = form + ".once.";
            const std::string read = servers.ask("/read/" + form, once + "read");
            CPPUNIT_ASSERT_MESSAGE(read, startsWith(read, "HTTP/1.1 200 "));
            CPPUNIT_ASSERT_MESSAGE(read, contains(read, "served /read/" + form));
            const std::string stream = servers.ask("/generate/" + form, once + "stream");
            CPPUNIT_ASSERT_MESSAGE(stream,
                                   contains(stream, "/20\n") && contains(stream, LastChunk));
            servers.recover();
        }
    }

    void answersThatAreResetDuringTheUploadAreNotWhole()
    {
        BrokenServers servers;
        servers.recover();
        for (const auto &[target, arrivals] : {std::pair("/read/x", 2), {"/write/x", 1}}) {
            const std::string id = std::string("reset.always.") + target;
            assertOwnFailure(id, servers.ask(target, id, UploadBytes));
            CPPUNIT_ASSERT_EQUAL(arrivals, servers.arrivals(id));
            servers.recover();
        }
        const std::string read = servers.ask("/read/x", "reset.once.read", UploadBytes);
        CPPUNIT_ASSERT_MESSAGE(read, startsWith(read, "HTTP/1.1 200 "));
        const std::string resumed = servers.ask("/generate/x", "events.once.1", UploadBytes);
        CPPUNIT_ASSERT_MESSAGE(resumed, contains(resumed, "events.once.1/2\n"));
        CPPUNIT_ASSERT_MESSAGE(
            resumed, contains(resumed, "events.once.1/20\n") && contains(resumed, LastChunk));
        const std::string cut = servers.ask("/once/x", "events.once.2", UploadBytes);
        CPPUNIT_ASSERT_MESSAGE(cut, contains(cut, "events.once.2/2\n"));
        CPPUNIT_ASSERT_MESSAGE(cut, !contains(cut, LastChunk));
        CPPUNIT_ASSERT_EQUAL(1, servers.arrivals("events.once.2"));
    }

    void earlyAnswersArePassedOn()
    {
        BrokenServers servers;
        servers.recover();
        for (const std::string &form : earlyAnswers()) {
            const std::string early = servers.ask("/write/x", form + ".always.1", UploadBytes);
            CPPUNIT_ASSERT_MESSAGE(early, startsWith(early, "HTTP/1.1 200 "));
            CPPUNIT_ASSERT_MESSAGE(early, contains(early, "X-Server-Stamp: s\r\n"));
            CPPUNIT_ASSERT_MESSAGE(early, contains(early, "\r\n\r\nwhole"));
        }
    }

    /// The host reads these answers for another one.
    void forwardedBrokenAnswersAreLost()
    {
        BrokenServers servers;
        servers.recover();
        const std::string target = "/forward/service-1/0/read/x";
        const std::string sound = servers.ask(target, "sound", 0, PeerPort);
        CPPUNIT_ASSERT_MESSAGE(sound, contains(sound, "Forward-Outcome: answered"));
        for (const std::string &form : brokenHeads()) {
            const std::string lost = servers.ask(target, form + ".always.1", 0, PeerPort);
            CPPUNIT_ASSERT_MESSAGE(lost, startsWith(lost, "HTTP/1.1 502 "));
            CPPUNIT_ASSERT_MESSAGE(lost, contains(lost, "Forward-Outcome: lost"));
            CPPUNIT_ASSERT_MESSAGE(lost, !contains(lost, "X-Server-Stamp"));
        }
        const std::string cut = servers.ask(target, "reset.always.1", UploadBytes, PeerPort);
        CPPUNIT_ASSERT_MESSAGE(cut, contains(cut, "part") && !contains(cut, LastChunk));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswersTest);
