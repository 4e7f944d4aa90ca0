#include "net/asio_loop_services.h"
#include "net/buffered_request.h"
#include "net/endpoint.h"
#include "path_fleet.h"
#include "process/gateway_hosts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <map>

using namespace dogwoodvalve;
using namespace dogwoodvalve::process;

namespace {

constexpr int Hosts = 4;
constexpr Duration Window = 5s;
constexpr double Ratio = 0.05;
constexpr double Slack = 100;
constexpr Duration RequestInterval = 10ms;
constexpr Duration CheckInterval = 50ms;
constexpr Duration StartTime = 8s;
/// No host has retries left from before.
constexpr Duration QuietTime = 2 * Window;

/// Gateway hosts as real processes before plain servers that fail every request.
class FailingTraffic
{
public:
    explicit FailingTraffic(int firstPort)
        : m_folder(std::filesystem::temp_directory_path()
                   / ("dogwoodvalve-retries-" + std::to_string(::getpid()) + '-'
                      + std::to_string(firstPort)))
        , m_services(m_loop)
        , m_platform(m_loop, m_services.timers(), 1)
        , m_hosts(m_folder, firstPort + 20,
                  std::vector<std::string>(Hosts, "127.0.0.1:" + std::to_string(firstPort)))
    {
        std::filesystem::create_directories(m_folder);
        m_platform.listen(parseEndpoint("127.0.0.1:" + std::to_string(firstPort)).value()).value();
        for (int i = 0; i < testtool::PathFleet::Services; ++i) {
            m_platform.service(i).setAnswer(500, {});
            m_platform.service(i).setArrivalHandler([this](std::string_view id) {
                if (++m_arrivals[std::string(id)] > 1)
                    m_repeats.push_back(now());
            });
        }
        for (int i = 0; i < Hosts; ++i)
            start(i);
        run(StartTime);
        send(0);
    }
    ~FailingTraffic()
    {
        m_hosts.endAll();
        std::filesystem::remove_all(m_folder);
    }

    FailingTraffic(const FailingTraffic &) = delete;
    FailingTraffic &operator=(const FailingTraffic &) = delete;

    void run(Duration time)
    {
        m_loop.run_for(std::chrono::microseconds(time.count()));
        m_loop.restart();
    }

    void start(int i)
    {
        m_hosts.start(i,
                      "retries: {windowS: 5, ratio: " + std::to_string(Ratio)
                          + ", slack: " + std::to_string(Slack) + "}\n");
    }

    void restartAll()
    {
        for (int i = 0; i < Hosts; ++i)
            m_hosts.process(i).signal(SIGKILL);
        for (int i = 0; i < Hosts; ++i) {
            m_hosts.process(i).wait();
            start(i);
        }
    }

    /// Freezes or thaws all hosts but the first one, which gets all requests meanwhile.
    void freezeOthers(bool frozen)
    {
        m_othersFrozen = frozen;
        for (int i = 1; i < Hosts; ++i)
            m_hosts.process(i).signal(frozen ? SIGSTOP : SIGCONT);
    }

    /// In each window, arrivals beyond the first of each request stay within the allowance for the
    /// requests of this window, the one before it or the one half a window before it.
    void checkAllowance()
    {
        CPPUNIT_ASSERT_MESSAGE("no request was repeated", m_repeats.size() > 20);
        for (TimePoint end = m_requests.front() + Window; end < now(); end += CheckInterval) {
            const std::size_t requests =
                std::max({count(m_requests, end), count(m_requests, end - Window / 2),
                          count(m_requests, end - Window)});
            CPPUNIT_ASSERT_LESSEQUAL(Ratio * static_cast<double>(requests) + Slack,
                                     static_cast<double>(count(m_repeats, end)));
        }
    }

private:
    TimePoint now() { return m_services.timers().now(); }

    /// Number of these times in the window that ends at a time.
    static std::size_t count(const std::vector<TimePoint> &times, TimePoint end)
    {
        return static_cast<std::size_t>(
            std::count_if(times.begin(), times.end(),
                          [end](TimePoint it) { return it > end - Window && it <= end; }));
    }

    void send(int n)
    {
        HttpRequestHead head;
        head.method = "GET";
        head.target = "/read/x";
        head.fields = {
            {"Host", "demo"}, {"Api-Key", "demo-key"}, {"X-Request-Id", "r" + std::to_string(n)}};
        m_requests.push_back(now());
        const std::string host = m_hosts.front(m_othersFrozen ? 0 : n % Hosts);
        sendBufferedRequest(m_services, parseEndpoint(host).value(), head, "", 2s,
                            [](const Result<HttpResponse> &) {});
        m_services.timers().schedule(now() + RequestInterval, [this, n] { send(n + 1); });
    }

    std::string m_folder;
    boost::asio::io_context m_loop {1};
    AsioLoopServices m_services;
    testtool::PathFleet m_platform;
    GatewayHosts m_hosts;
    std::vector<TimePoint> m_requests;
    std::map<std::string, int> m_arrivals;
    std::vector<TimePoint> m_repeats;
    bool m_othersFrozen = false;
};

} // namespace

/// Retries of all hosts together, as real processes.
class RetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryBudgetTest);
    CPPUNIT_TEST(restartsOfAllHostsDoNotRenewTheBudget);
    CPPUNIT_TEST(frozenHostsDoNotLeaveTheirShareToTheOthers);
    CPPUNIT_TEST_SUITE_END();

    void restartsOfAllHostsDoNotRenewTheBudget()
    {
        FailingTraffic traffic(26'000);
        traffic.run(QuietTime);
        for (int i = 0; i < 3; ++i) {
            traffic.restartAll();
            traffic.run(Window / 4);
        }
        traffic.run(Window);
        traffic.checkAllowance();
    }

    void frozenHostsDoNotLeaveTheirShareToTheOthers()
    {
        FailingTraffic traffic(26'100);
        traffic.run(QuietTime);
        traffic.freezeOthers(true);
        traffic.run(Window / 2);
        traffic.freezeOthers(false);
        traffic.run(Window);
        traffic.checkAllowance();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);
