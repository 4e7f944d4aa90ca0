#include "net/asio_loop_services.h"
#include "net/buffered_request.h"
#include "net/endpoint.h"
#include "process/gateway_hosts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <filesystem>
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
    GatewayFleet(int index, int hostCount)
        : m_basePort(24'000 + 100 * index)
        , m_folder(std::filesystem::temp_directory_path()
                   / ("dogwoodvalve-gateway-" + std::to_string(::getpid()) + '-'
                      + std::to_string(index)))
        , hosts(m_folder, m_basePort + 20,
                std::vector<std::string>(static_cast<std::size_t>(hostCount), at(0)))
    {
        std::filesystem::create_directories(m_folder);
        m_platform = std::make_unique<ChildProcess>(
            std::vector<std::string> {programs().testTool, "path-fleet", "--listen", at(0),
                                      "--count", "6"},
            m_folder + "/platform");
        for (int i = 0; i < hostCount; ++i)
            hosts.start(i);
    }
    ~GatewayFleet()
    {
        hosts.endAll();
        m_platform.reset();
        std::filesystem::remove_all(m_folder);
    }

    GatewayFleet(const GatewayFleet &) = delete;
    GatewayFleet &operator=(const GatewayFleet &) = delete;

    std::string at(int offset) const { return "127.0.0.1:" + std::to_string(m_basePort + offset); }

    /// Sends a request and waits for the whole answer.
    HttpResponse ask(const std::string &address, const std::string &target,
                     const std::string &id = "r")
    {
        std::optional<HttpResponse> reply;
        HttpRequestHead head;
        head.method = target.rfind("/generate/", 0) == 0 ? "POST" : "GET";
        head.target = target;
        head.fields = {{"Host", "demo"},
                       {"Api-Key", "demo-key"},
                       {"X-Request-Id", id},
                       {"X-Token-Usage", "100,60"}};
        AsioLoopServices services(m_loop);
        sendBufferedRequest(services, parseEndpoint(address).value(), head, "", 10s,
                            [&reply](Result<HttpResponse> result) {
                                reply = result ? std::move(result.value()) : HttpResponse {};
                            });
        m_loop.restart();
        while (!reply)
            m_loop.run_one();
        return *reply;
    }

    void waitUntilReady()
    {
        for (int i = 0; i < hosts.count(); ++i)
            Fleet::eventually("a stream is served by host " + std::to_string(i),
                              [&] { return ask(hosts.front(i), "/generate/x").status == 200; });
    }

    static std::string wholeStream(const std::string &id)
    {
        std::string text;
        for (int i = 1; i <= Events; ++i)
            text += "id: " + std::to_string(i) + "\ndata: " + id + '/' + std::to_string(i) + "\n\n";
        return text;
    }

private:
    int m_basePort;
    std::string m_folder;

public:
    GatewayHosts hosts;

private:
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
                                 fleet.ask(fleet.hosts.front(i % 2), "/generate/x", id).body);
            CPPUNIT_ASSERT_EQUAL(std::string("served /read/y\n"),
                                 fleet.ask(fleet.hosts.front(i % 2), "/read/y").body);
        }
        CPPUNIT_ASSERT_EQUAL(404, fleet.ask(fleet.hosts.front(0), "/nowhere/").status);
        const std::string metrics = fleet.ask(fleet.hosts.metrics(0), "/metrics").body;
        CPPUNIT_ASSERT(metrics.find("dogwoodvalve_requests_total{outcome=\"complete\"}")
                       != std::string::npos);
        CPPUNIT_ASSERT(metrics.find("dogwoodvalve_first_byte_seconds_bucket") != std::string::npos);
    }

    void aKilledHostIsNoLongerNamedAndComesBack()
    {
        GatewayFleet fleet(2, 3);
        fleet.waitUntilReady();
        const auto named = [&fleet](int host) {
            return fleet.ask(fleet.hosts.lookup(0), "/v1/resolve?Name=demo&Zone=a")
                       .body.find(fleet.hosts.front(host))
                != std::string::npos;
        };
        Fleet::eventually("all hosts are named", [&] { return named(0) && named(1) && named(2); });
        fleet.hosts.process(2).signal(SIGKILL);
        fleet.hosts.process(2).wait();
        Fleet::eventually("the killed host is not named", [&] { return !named(2); });
        CPPUNIT_ASSERT(named(1));
        fleet.hosts.start(2);
        Fleet::eventually("the host is named again", [&] { return named(2); });
    }

    void changedSettingsAreInForceAfterASignalAndWithout()
    {
        GatewayFleet fleet(4, 1);
        fleet.waitUntilReady();
        const auto timeToLive = [&fleet](const std::string &seconds) {
            return fleet.ask(fleet.hosts.lookup(0), "/v1/resolve?Name=demo&Zone=a")
                       .body.find("\"TtlS\":" + seconds)
                != std::string::npos;
        };
        CPPUNIT_ASSERT(timeToLive("2.0"));
        fleet.hosts.writeSettings(0, "lookupTimeToLiveMs: 1500\n");
        fleet.hosts.process(0).signal(SIGHUP);
        Fleet::eventually("the signal is heeded", [&] { return timeToLive("1.5"); });
        fleet.hosts.writeSettings(0, "lookupTimeToLiveMs: soon\n");
        fleet.hosts.process(0).signal(SIGHUP);
        CPPUNIT_ASSERT_EQUAL(200, fleet.ask(fleet.hosts.front(0), "/read/y").status);
        CPPUNIT_ASSERT(timeToLive("1.5"));
        fleet.hosts.writeSettings(0, "lookupTimeToLiveMs: 3500\n");
        Fleet::eventually("the file is read again", [&] { return timeToLive("3.5"); });
    }

    void aStoppedHostEndsByItselfInTime()
    {
        GatewayFleet fleet(3, 2);
        fleet.waitUntilReady();
        fleet.hosts.process(0).signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(std::string("served /read/y\n"),
                             fleet.ask(fleet.hosts.front(0), "/read/y").body);
        CPPUNIT_ASSERT_EQUAL(503, fleet.ask(fleet.hosts.readiness(0), "/v1/readyz").status);
        CPPUNIT_ASSERT_EQUAL(0, fleet.hosts.process(0).wait());
        CPPUNIT_ASSERT_EQUAL(200, fleet.ask(fleet.hosts.front(1), "/generate/x").status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayProcessTest);
