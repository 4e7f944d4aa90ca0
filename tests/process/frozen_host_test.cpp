#include "net/asio_loop_services.h"
#include "net/buffered_request.h"
#include "net/endpoint.h"
#include "path_fleet.h"
#include "process/gateway_hosts.h"
#include "relay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

using namespace dogwoodvalve;
using namespace dogwoodvalve::process;

namespace {

constexpr int Hosts = 2;
constexpr int FirstPort = 26'200;
constexpr Duration StartTime = 6s;
constexpr Duration FreezeTime = 3500ms;
/// Time from a key's removal after which no request with it may run.
constexpr Duration KeyRevocation = 5s;
constexpr const char *Key = "taken-key";

std::string at(int offset)
{
    return "127.0.0.1:" + std::to_string(FirstPort + offset);
}

/// Stands in for the suspension of the machines of all processes that are started while it is in
/// its first scope: their steady clocks can be made to leave out a time.
class SuspendedClocks
{
public:
    explicit SuspendedClocks(std::string file)
        : m_file(std::move(file))
    {
        add({});
        const char *library = std::getenv("DOGWOODVALVE_SUSPENDED_CLOCK");
        ::setenv("LD_PRELOAD", library ? library : "", 1);
        ::setenv("DOGWOODVALVE_SUSPENDED_FILE", m_file.c_str(), 1);
    }
    ~SuspendedClocks() { endScope(); }

    SuspendedClocks(const SuspendedClocks &) = delete;
    SuspendedClocks &operator=(const SuspendedClocks &) = delete;

    /// Processes that are started from now on have usual clocks.
    static void endScope() { ::unsetenv("LD_PRELOAD"); }

    /// The machines were suspended for so long, in addition to earlier times.
    void add(Duration time)
    {
        m_suspendedNs += std::chrono::nanoseconds(time).count();
        std::array<char, sizeof m_suspendedNs> bytes {};
        std::memcpy(bytes.data(), &m_suspendedNs, bytes.size());
        // The file keeps its pages, which the processes have mapped.
        std::fstream file(m_file, std::ios::binary | std::ios::in | std::ios::out);
        if (!file.is_open())
            file.open(m_file, std::ios::binary | std::ios::out);
        file.write(bytes.data(), bytes.size());
    }

private:
    std::string m_file;
    std::int64_t m_suspendedNs = 0;
};

/// Gateway hosts as real processes, each with a relay before the store.
class RelayedHosts
{
public:
    RelayedHosts()
        : m_folder(std::filesystem::temp_directory_path()
                   / ("dogwoodvalve-frozen-" + std::to_string(::getpid())))
        , m_services(m_loop)
        , platform(m_loop, m_services.timers(), 1)
        , hosts(m_folder, FirstPort + 20, {at(10), at(11)})
    {
        std::filesystem::create_directories(m_folder);
        clocks = std::make_unique<SuspendedClocks>(m_folder + "/suspended");
        platform.listen(parseEndpoint(at(0)).value()).value();
        platform.configure(2, {"demo-key", Key});
        for (int i = 0; i < Hosts; ++i) {
            m_relays.push_back(
                std::make_unique<testtool::Relay>(m_loop, parseEndpoint(at(0)).value()));
            m_relays.back()->listen(parseEndpoint(at(10 + i)).value()).value();
            hosts.start(i);
        }
        SuspendedClocks::endScope();
        run(StartTime);
    }
    ~RelayedHosts()
    {
        hosts.endAll();
        std::filesystem::remove_all(m_folder);
    }

    RelayedHosts(const RelayedHosts &) = delete;
    RelayedHosts &operator=(const RelayedHosts &) = delete;

    void run(Duration time)
    {
        m_loop.run_for(std::chrono::microseconds(time.count()));
        m_loop.restart();
    }

    void cutFromStore()
    {
        testtool::RelayFaults faults;
        faults.cut = true;
        for (const auto &it : m_relays)
            it->setFaults(faults);
    }

    /// The status of the answer to a request with the key.
    int askWithKey(int host)
    {
        HttpRequestHead head;
        head.method = "GET";
        head.target = "/read/x";
        head.fields = {{"Host", "demo"}, {"Api-Key", Key}, {"X-Request-Id", "r"}};
        int status = 0;
        sendBufferedRequest(m_services, parseEndpoint(hosts.front(host)).value(), head, "", 1s,
                            [&status](const Result<HttpResponse> &reply) {
                                status = reply ? reply.value().status : 0;
                            });
        run(100ms);
        return status;
    }

private:
    std::string m_folder;
    boost::asio::io_context m_loop {1};
    AsioLoopServices m_services;
    std::vector<std::unique_ptr<testtool::Relay>> m_relays;

public:
    testtool::PathFleet platform;
    GatewayHosts hosts;
    std::unique_ptr<SuspendedClocks> clocks;
};

} // namespace

/// What waits in the sockets of a frozen process.
class FrozenHostTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FrozenHostTest);
    CPPUNIT_TEST(digestsThatWaitedDoNotConfirmTakenAwayKeys);
    CPPUNIT_TEST(suspendedMachinesDoNotTrustTakenAwayKeys);
    CPPUNIT_TEST_SUITE_END();

    void digestsThatWaitedDoNotConfirmTakenAwayKeys()
    {
        RelayedHosts fleet;
        for (int i = 0; i < Hosts; ++i)
            CPPUNIT_ASSERT_EQUAL(200, fleet.askWithKey(i));
        fleet.hosts.process(1).signal(SIGSTOP);
        fleet.cutFromStore();
        fleet.platform.configure(3, {"demo-key"});
        fleet.run(FreezeTime);
        fleet.hosts.process(1).signal(SIGCONT);
        fleet.run(KeyRevocation - FreezeTime);
        for (int n = 0; n < 10; ++n) {
            for (int i = 0; i < Hosts; ++i)
                CPPUNIT_ASSERT_EQUAL(503, fleet.askWithKey(i));
        }
    }

    /// The steady clock does not count the time of a suspension, so that the configuration seemed
    /// to be younger by that time.
    void suspendedMachinesDoNotTrustTakenAwayKeys()
    {
        RelayedHosts fleet;
        for (int i = 0; i < Hosts; ++i)
            CPPUNIT_ASSERT_EQUAL(200, fleet.askWithKey(i));
        for (int i = 0; i < Hosts; ++i)
            fleet.hosts.process(i).signal(SIGSTOP);
        fleet.cutFromStore();
        fleet.platform.configure(3, {"demo-key"});
        fleet.run(FreezeTime);
        fleet.clocks->add(FreezeTime);
        for (int i = 0; i < Hosts; ++i)
            fleet.hosts.process(i).signal(SIGCONT);
        fleet.run(KeyRevocation - FreezeTime);
        for (int n = 0; n < 3; ++n) {
            for (int i = 0; i < Hosts; ++i)
                CPPUNIT_ASSERT_EQUAL(503, fleet.askWithKey(i));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrozenHostTest);
