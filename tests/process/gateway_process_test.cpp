#include "net/asio_loop_services.h"
#include "net/endpoint.h"
#include "net/whole_request.h"
#include "process/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <fstream>
#include <optional>

using namespace dogwoodvalve;
using namespace dogwoodvalve::process;

namespace {

/// Events of a stand-in engine's stream.
constexpr int Events = 20;

/// A pretended platform and gateway hosts as real processes on loopback.
class GatewayFleet
{
public:
    GatewayFleet(int index, int hosts)
        : m_basePort(24'000 + 100 * index)
        , m_folder("/tmp/dogwoodvalve-gateway-" + std::to_string(::getpid()) + '-'
                   + std::to_string(index))
    {
        std::system(("mkdir -p " + m_folder).c_str());
        m_platform = std::make_unique<ChildProcess>(
            std::vector<std::string> {programs().testTool, "path-fleet", "--listen", at(0),
                                      "--count", "6"},
            m_folder + "/platform");
        for (int i = 0; i < hosts; ++i)
            start(i);
    }
    ~GatewayFleet()
    {
        hosts.clear();
        m_platform.reset();
        std::system(("rm -rf " + m_folder).c_str());
    }

    GatewayFleet(const GatewayFleet &) = delete;
    GatewayFleet &operator=(const GatewayFleet &) = delete;

    std::string at(int offset) const { return "127.0.0.1:" + std::to_string(m_basePort + offset); }
    std::string front(int host) const { return at(20 + 10 * host); }

    std::string writeSettings(int i, const std::string &more = "")
    {
        std::string file = m_folder + "/host-" + std::to_string(i) + ".yaml";
        std::ofstream(file) << "name: host-" << i << "\nzone: a\nlisten: " << front(i)
                            << "\nlookupListen: " << at(21 + 10 * i)
                            << "\nreadinessListen: " << at(22 + 10 * i)
                            << "\npeerListen: " << at(23 + 10 * i)
                            << "\nmetricsListen: " << at(24 + 10 * i) << "\nstore: " << at(0)
                            << "\n"
                            << more;
        return file;
    }

    void start(int i)
    {
        const std::string file = writeSettings(i);
        auto child = std::make_unique<ChildProcess>(
            std::vector<std::string> {programs().valve, "gateway", "--settings", file},
            m_folder + "/host-" + std::to_string(i) + ".log");
        if (static_cast<int>(hosts.size()) > i)
            hosts[static_cast<std::size_t>(i)] = std::move(child);
        else
            hosts.push_back(std::move(child));
    }

    /// Sends a request and waits for the whole answer.
    HttpReply ask(const std::string &address, const std::string &target,
                  const std::string &id = "r")
    {
        std::optional<HttpReply> reply;
        HttpRequestHead head;
        head.method = target.rfind("/generate/", 0) == 0 ? "POST" : "GET";
        head.target = target;
        head.fields = {{"Host", "demo"},
                       {"Api-Key", "demo-key"},
                       {"X-Request-Id", id},
                       {"X-Token-Usage", "100,60"}};
        AsioLoopServices services(m_loop);
        sendWholeRequest(services, parseEndpoint(address).value(), head, "", 10s,
                         [&reply](Result<HttpReply> result) {
                             reply = result ? std::move(result.value()) : HttpReply {};
                         });
        m_loop.restart();
        while (!reply)
            m_loop.run_one();
        return *reply;
    }

    void waitUntilReady()
    {
        for (std::size_t i = 0; i < hosts.size(); ++i)
            Fleet::eventually("a stream is served by host " + std::to_string(i), [&] {
                return ask(front(static_cast<int>(i)), "/generate/x").status == 200;
            });
    }

    static std::string wholeStream(const std::string &id)
    {
        std::string text;
        for (int i = 1; i <= Events; ++i)
            text += "id: " + std::to_string(i) + "\ndata: " + id + '/' + std::to_string(i) + "\n\n";
        return text;
    }

    std::vector<std::unique_ptr<ChildProcess>> hosts;

private:
    int m_basePort;
    std::string m_folder;
    std::unique_ptr<ChildProcess> m_platform;
    boost::asio::io_context m_loop {1};
};

} // namespace

/// The shipped program in the gateway role, before stand-ins that speak the platform's protocols.
class GatewayProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayProcessTest);
    CPPUNIT_TEST(thePlatformPathIsServed);
    CPPUNIT_TEST(aKilledHostIsNoLongerNamedAndComesBack);
    CPPUNIT_TEST(aStoppedHostEndsByItselfInTime);
    CPPUNIT_TEST(changedSettingsAreInForceAfterASignalAndWithout);
    CPPUNIT_TEST_SUITE_END();

    void thePlatformPathIsServed()
    {
        GatewayFleet fleet(1, 2);
        fleet.waitUntilReady();
        for (int i = 0; i < 10; ++i) {
            const std::string id = "g" + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL(GatewayFleet::wholeStream(id),
                                 fleet.ask(fleet.front(i % 2), "/generate/x", id).body);
            CPPUNIT_ASSERT_EQUAL(std::string("served /read/y\n"),
                                 fleet.ask(fleet.front(i % 2), "/read/y").body);
        }
        CPPUNIT_ASSERT_EQUAL(404, fleet.ask(fleet.front(0), "/nowhere/").status);
        const std::string metrics = fleet.ask(fleet.at(24), "/metrics").body;
        CPPUNIT_ASSERT(metrics.find("dogwoodvalve_requests_total{outcome=\"complete\"}")
                       != std::string::npos);
        CPPUNIT_ASSERT(metrics.find("dogwoodvalve_first_byte_seconds_bucket") != std::string::npos);
    }

    void aKilledHostIsNoLongerNamedAndComesBack()
    {
        GatewayFleet fleet(2, 3);
        fleet.waitUntilReady();
        const auto named = [&fleet](int host) {
            return fleet.ask(fleet.at(21), "/v1/resolve?Name=demo&Zone=a")
                       .body.find(fleet.front(host))
                != std::string::npos;
        };
        Fleet::eventually("all hosts are named", [&] { return named(0) && named(1) && named(2); });
        fleet.hosts[2]->signal(SIGKILL);
        fleet.hosts[2]->wait();
        Fleet::eventually("the killed host is not named", [&] { return !named(2); });
        CPPUNIT_ASSERT(named(1));
        fleet.start(2);
        Fleet::eventually("the host is named again", [&] { return named(2); });
    }

    void changedSettingsAreInForceAfterASignalAndWithout()
    {
        GatewayFleet fleet(4, 1);
        fleet.waitUntilReady();
        const auto timeToLive = [&fleet](const std::string &seconds) {
            return fleet.ask(fleet.at(21), "/v1/resolve?Name=demo&Zone=a")
                       .body.find("\"TtlS\":" + seconds)
                != std::string::npos;
        };
        CPPUNIT_ASSERT(timeToLive("2.0"));
        fleet.writeSettings(0, "lookupTimeToLiveMs: 1500\n");
        fleet.hosts[0]->signal(SIGHUP);
        Fleet::eventually("the signal is heeded", [&] { return timeToLive("1.5"); });
        fleet.writeSettings(0, "lookupTimeToLiveMs: soon\n");
        fleet.hosts[0]->signal(SIGHUP);
        CPPUNIT_ASSERT_EQUAL(200, fleet.ask(fleet.front(0), "/read/y").status);
        CPPUNIT_ASSERT(timeToLive("1.5"));
        fleet.writeSettings(0, "lookupTimeToLiveMs: 3500\n");
        Fleet::eventually("the file is read again", [&] { return timeToLive("3.5"); });
    }

    void aStoppedHostEndsByItselfInTime()
    {
        GatewayFleet fleet(3, 2);
        fleet.waitUntilReady();
        fleet.hosts[0]->signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(std::string("served /read/y\n"),
                             fleet.ask(fleet.front(0), "/read/y").body);
        CPPUNIT_ASSERT_EQUAL(503, fleet.ask(fleet.at(22), "/v1/readyz").status);
        CPPUNIT_ASSERT_EQUAL(0, fleet.hosts[0]->wait());
        CPPUNIT_ASSERT_EQUAL(200, fleet.ask(fleet.front(1), "/generate/x").status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayProcessTest);
