#include "net/endpoint.h"
#include "process/broken_answers.h"
#include "process/fleet.h"

#include <boost/asio/executor_work_guard.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <thread>

using namespace dogwoodvalve;
using namespace dogwoodvalve::process;

namespace {

constexpr int FleetIndex = 12;
constexpr const char *ServerAddress = "127.0.32.1:16400";

/// One entry host as a real process, and a plain server that gives named answers.
class BrokenService
{
public:
    BrokenService()
        : m_relay(m_loop, parseEndpoint(ServerAddress).value())
        , m_fleet(FleetIndex, 1)
    {
        m_relay.listen(parseEndpoint(ServerAddress).value()).value();
        m_relay.setAnswerer([](std::string_view head) {
            const auto answer = namedAnswer(fieldIn(head, "X-Request-Id"));
            return answer ? answer : testtool::RelayAnswer {"HTTP/1.1 200 OK\r\n\r\nsound", false};
        });
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~BrokenService()
    {
        m_loop.stop();
        m_thread.join();
    }

    BrokenService(const BrokenService &) = delete;
    BrokenService &operator=(const BrokenService &) = delete;

    void start()
    {
        m_fleet.startAll();
        const std::string file = m_fleet.folder() + "/broken.yaml";
        std::ofstream(file) << "kind: server\nname: broken-1\nspec: {address: \"" << ServerAddress
                            << "\", zone: zone-a, labels: {role: broken}}\n---\n"
                            << "kind: service\nname: broken\nspec: {servers: role = broken}\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(m_fleet.commandOutput(), 0,
                                     m_fleet.command({"apply", file, "--wait"}));
        recover();
    }

    std::string ask(const std::string &method, const std::string &id, std::size_t uploadBytes = 0)
    {
        return rawAnswer(m_fleet.callerAddress(0),
                         method + " /services/broken/x HTTP/1.1\r\nHost: demo\r\n"
                             + "Authorization: Bearer demo-key\r\nX-Request-Id: " + id + "\r\n",
                         uploadBytes);
    }

    /// Waits until the host uses the server, again after failures.
    void recover()
    {
        Fleet::eventually("the server is used",
                          [this] { return contains(ask("GET", "sound"), "sound"); });
    }

private:
    boost::asio::io_context m_loop {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work {
        m_loop.get_executor()};
    testtool::Relay m_relay;
    Fleet m_fleet;
    std::thread m_thread;
};

} // namespace

/// Broken answers of a plain server, before an entry host as a real process.
class EntryBrokenAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryBrokenAnswersTest);
    CPPUNIT_TEST(brokenAnswersOfServicesAreNoAnswers);
    CPPUNIT_TEST_SUITE_END();

    void brokenAnswersOfServicesAreNoAnswers()
    {
        BrokenService service;
        service.start();
        for (const std::string &form : brokenHeads()) {
            for (const auto &[method, status] : {std::pair("GET", "503"), {"POST", "502"}}) {
                const std::string answer = service.ask(method, form + ".1");
                CPPUNIT_ASSERT_MESSAGE(answer,
                                       startsWith(answer, std::string("HTTP/1.1 ") + status));
                CPPUNIT_ASSERT_MESSAGE(answer, !contains(answer, "X-Server-Stamp"));
                CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "Dogwoodvalve-Outcome: unknown"));
                service.recover();
            }
        }
        const std::string cut = service.ask("POST", "reset.1", UploadBytes);
        CPPUNIT_ASSERT_MESSAGE(cut, contains(cut, "part") && !contains(cut, LastChunk));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryBrokenAnswersTest);
