#include "net/asio_loop_services.h"
#include "net/buffered_request.h"
#include "net/endpoint.h"
#include "process/gateway_hosts.h"
#include "process/kept_caller.h"
#include "process/soak_faults.h"
#include "process/soak_ledger.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <optional>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(runs, 1, "runs, each with a seed of its own");
DEFINE_int32(seconds, 20, "time of faults in a run");
DEFINE_int32(hosts, 4, "gateway hosts");
DEFINE_int32(engines, 6, "engines");
DEFINE_int32(callers, 16, "requests at a time");
DEFINE_int32(first_port, 27000, "first of the ports used, on loopback");
DEFINE_bool(keep, false, "keep the hosts' logs");

namespace dogwoodvalve::process {
namespace {

/// For how long hosts may take to serve.
constexpr Duration Recovery = 15s;
/// The timeout of the configured routes. Answers may end there.
constexpr Duration RouteTimeout = 10s;
constexpr Duration TimeoutTolerance = 500ms;
constexpr const char *CrashingPart = "dead";

class SoakRun;

/// Sends one request after another to hosts at random and checks the answers.
class SoakCaller : public HttpClientEvents
{
public:
    explicit SoakCaller(SoakRun &run)
        : m_run(run)
    { }
    void next();
    /// Gives up a request that is unanswered long after its route's timeout.
    void checkOverdue();
    void onConnected() override { m_connected = true; }
    void onHead(int status, std::span<const HttpField>) override { m_status = status; }
    void onBody(std::string_view part) override { m_body += part; }
    void onEnd() override { finish(true); }
    void onError(const Error &) override { finish(false); }

private:
    void finish(bool whole);
    void checkNotLost(bool whole);

    SoakRun &m_run;
    std::shared_ptr<HttpClientRequest> m_client;
    SentRequest m_request;
    std::string m_id;
    bool m_waiting = false;
    bool m_connected = false;
    int m_status = 0;
    std::string m_body;
};

/// Real gateway hosts before stand-ins in this process, with relays on all ways between them.
/// Faults come at random, in series and overlapping; what callers and servers see is checked
/// throughout.
class SoakRun
{
public:
    explicit SoakRun(std::uint64_t seed)
        : m_random(seed)
        , m_folder(std::filesystem::temp_directory_path()
                   / ("dogwoodvalve-fault-soak-" + std::to_string(::getpid()) + '-'
                      + std::to_string(seed)))
        , m_services(m_loop)
        , m_platform(m_loop, m_services.timers(), FLAGS_engines, SoakFaults::RelayShift)
        , m_ledger(seed, m_platform, FLAGS_engines)
        , m_hosts(m_folder, FLAGS_first_port + 300,
                  SoakFaults::storeAddresses(FLAGS_hosts, FLAGS_first_port))
        , m_faults({m_loop, m_services.timers(), m_random, m_platform, m_hosts, m_ledger,
                    FLAGS_engines, FLAGS_first_port})
        , m_versions(static_cast<std::size_t>(FLAGS_hosts))
    {
        std::filesystem::create_directories(m_folder);
    }
    ~SoakRun()
    {
        m_hosts.endAll();
        if (!FLAGS_keep && m_ledger.clean())
            std::filesystem::remove_all(m_folder);
    }

    SoakRun(const SoakRun &) = delete;
    SoakRun &operator=(const SoakRun &) = delete;

    /// Returns the number of violations.
    std::size_t play()
    {
        start();
        if (!awaitServing("at the start"))
            return report();
        drawCrashMoment();
        for (auto &it : m_callers)
            it->next();
        for (auto &it : m_kept)
            it->start();
        watch();
        m_faults.begin();
        runFor(std::chrono::seconds(FLAGS_seconds));
        m_faults.calmDown();
        awaitServing("after the faults");
        m_ended = true;
        runFor(1s);
        m_ledger.checkRuns();
        return report();
    }

    TimePoint now() { return m_services.timers().now(); }
    LoopServices &services() { return m_services; }
    Random &random() { return m_random; }
    GatewayHosts &hosts() { return m_hosts; }
    bool ended() const { return m_ended; }

    SentRequest drawRequest()
    {
        static constexpr std::string_view Kinds = "gggrrw";
        constexpr double CrashingShare = 0.02;
        SentRequest request;
        request.host = static_cast<int>(m_random.below(static_cast<std::uint64_t>(FLAGS_hosts)));
        request.kind = Kinds[m_random.below(Kinds.size())];
        if (request.kind == 'g' && m_crashMoment && m_random.chance(CrashingShare))
            request.kind = 'c';
        request.inContact = !m_faults.isDisturbed(request.host);
        request.takenAwayKey = m_random.chance(0.1);
        request.sentAt = now();
        request.avoidsLeaving = m_faults.mustAvoidLeaving(request.host);
        return request;
    }

    const std::string &key(const SentRequest &request) const
    {
        static const std::string Steady = "demo-key";
        return request.takenAwayKey ? m_faults.lentKey() : Steady;
    }

    SoakLedger &ledger() { return m_ledger; }

    const SoakFaults &faults() const { return m_faults; }

private:
    /// In half of the runs some requests crash engines.
    void drawCrashMoment()
    {
        using testtool::CrashMoment;
        static constexpr CrashMoment Moments[] {CrashMoment::AfterHead, CrashMoment::BeforeHead,
                                                CrashMoment::BeforeFirstEvent};
        if (m_random.chance(0.5))
            return;
        m_crashMoment = Moments[m_random.below(std::size(Moments))];
        m_faults.letPartCrashEngines(CrashingPart, *m_crashMoment);
    }

    void start()
    {
        m_faults.listen();
        for (int i = 0; i < FLAGS_hosts; ++i) {
            m_hosts.start(i);
            m_kept.push_back(std::make_unique<KeptCaller>(
                m_loop, m_hosts.front(i),
                [this, i] {
                    SentRequest request;
                    request.host = i;
                    request.kind = 'r';
                    request.sentAt = now();
                    return m_ledger.noteSent(request);
                },
                [this, i](const std::string &id) {
                    if (!m_faults.isDisturbed(i))
                        m_ledger.noteLost(id);
                }));
        }
        for (int i = 0; i < FLAGS_callers; ++i)
            m_callers.push_back(std::make_unique<SoakCaller>(*this));
    }

    /// Runs until each host serves, or for as long as recovery may take.
    bool awaitServing(const std::string &when)
    {
        const TimePoint limit = now() + Recovery;
        for (int i = 0; i < FLAGS_hosts; ++i) {
            bool serves = false;
            while (!serves && now() < limit)
                serves = asks(i, "GET", "/read/x") && asks(i, "POST", "/generate/x");
            if (!serves) {
                m_ledger.violation("host " + std::to_string(i) + " does not serve " + when);
                return false;
            }
        }
        return true;
    }

    bool asks(int host, const std::string &method, const std::string &target)
    {
        std::optional<int> status;
        HttpRequestHead head;
        head.method = method;
        head.target = target;
        head.fields = {{"Host", "demo"},
                       {"Api-Key", "demo-key"},
                       {"X-Request-Id", "probe"},
                       {"X-Token-Usage", "100,60"}};
        sendBufferedRequest(m_services, parseEndpoint(m_hosts.front(host)).value(), head, "", 2s,
                            [&status](const Result<HttpResponse> &reply) {
                                status = reply ? reply.value().status : 0;
                            });
        while (!status)
            m_loop.run_one();
        runFor(50ms);
        return *status == 200;
    }

    void runFor(Duration time)
    {
        m_loop.run_for(std::chrono::microseconds(time.count()));
        m_loop.restart();
    }

    /// Looks at each host and caller twice a second: versions never go back in a process, and each
    /// request is answered.
    void watch()
    {
        for (const auto &it : m_callers)
            it->checkOverdue();
        for (int i = 0; i < FLAGS_hosts; ++i)
            watchVersion(i);
        m_services.timers().schedule(now() + 500ms, [this] {
            if (!m_ended)
                watch();
        });
    }

    void watchVersion(int i)
    {
        HttpRequestHead head;
        head.method = "GET";
        head.target = "/metrics";
        const int pid = m_hosts.process(i).pid();
        sendBufferedRequest(
            m_services, parseEndpoint(m_hosts.metrics(i)).value(), head, "", 1s,
            [this, i, pid](const Result<HttpResponse> &reply) {
                static const std::string Name = "\ndogwoodvalve_configuration_version ";
                const std::size_t at = reply ? reply.value().body.find(Name) : std::string::npos;
                if (at == std::string::npos || pid != m_hosts.process(i).pid())
                    return;
                const double version = std::stod(reply.value().body.substr(at + Name.size()));
                auto &[knownPid, known] = m_versions[static_cast<std::size_t>(i)];
                if (knownPid == pid && version < known)
                    m_ledger.violation("host " + std::to_string(i)
                                       + " went back to an older version");
                knownPid = pid;
                known = version;
            });
    }

    std::size_t report() const
    {
        if (!m_ledger.clean())
            std::printf("logs: %s\n", m_folder.c_str());
        return m_ledger.report();
    }

    Random m_random;
    std::filesystem::path m_folder;
    boost::asio::io_context m_loop {1};
    AsioLoopServices m_services;
    testtool::PathFleet m_platform;
    SoakLedger m_ledger;
    GatewayHosts m_hosts;
    SoakFaults m_faults;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    std::vector<std::unique_ptr<KeptCaller>> m_kept;
    /// Process and version that a host's metrics told last.
    std::vector<std::pair<int, double>> m_versions;
    std::optional<testtool::CrashMoment> m_crashMoment;
    bool m_ended = false;
};

void SoakCaller::next()
{
    if (m_run.ended())
        return;
    m_request = m_run.drawRequest();
    const SentRequest &request = m_request;
    m_id = m_run.ledger().noteSent(request);
    m_waiting = true;
    m_connected = false;
    m_status = 0;
    m_body.clear();
    HttpRequestHead head;
    const bool generates = request.kind == 'g' || request.kind == 'c';
    head.method = request.kind == 'r' ? "GET" : "POST";
    head.target = generates ? "/generate/x" : request.kind == 'r' ? "/read/x" : "/write/x";
    head.fields = {{"Host", "demo"}, {"Api-Key", m_run.key(request)}, {"X-Request-Id", m_id}};
    if (generates) {
        const std::string part =
            request.kind == 'c' ? CrashingPart : "p" + std::to_string(m_run.random().below(9));
        head.fields.push_back({"X-Token-Usage", "100,60"});
        head.fields.push_back({"X-Prompt-Prefix", "aa:40," + part + ":30," + m_id + ":30"});
    }
    m_client = m_run.services().createHttpClient();
    m_client->start(parseEndpoint(m_run.hosts().front(request.host)).value(), head, 500ms, *this);
    m_client->write("");
}

void SoakCaller::finish(bool whole)
{
    m_waiting = false;
    m_run.ledger().noteAnswer(m_id, m_status, m_body, whole, m_run.faults().keyRefusedFrom());
    if (m_request.kind == 'g')
        checkNotLost(whole);
    const Duration pause(5'000 + static_cast<Duration::rep>(m_run.random().below(40'000)));
    m_run.services().timers().schedule(m_run.now() + pause, [this] { next(); });
}

/// A generation is not cut or answered 502 before its route's timeout without a fault that excuses
/// it. A connection that was refused has brought no request.
void SoakCaller::checkNotLost(bool whole)
{
    if ((whole && m_status != 502) || !m_connected)
        return;
    const Duration time = m_run.now() - m_request.sentAt;
    const bool byTimeout =
        time >= RouteTimeout - TimeoutTolerance && time <= RouteTimeout + TimeoutTolerance;
    if (byTimeout || m_run.faults().excuseLoss(m_request))
        return;
    m_run.ledger().violation("request " + m_id + " was lost at host "
                             + std::to_string(m_request.host) + ' ' + std::to_string(time / 1ms)
                             + " ms after it was sent: " + std::to_string(m_status) + ' '
                             + (whole ? m_body.substr(0, 120) : "and cut"));
}

void SoakCaller::checkOverdue()
{
    if (!m_waiting || m_run.now() - m_request.sentAt <= RouteTimeout + 2 * TimeoutTolerance)
        return;
    m_client->close();
    finish(false);
}

} // namespace
} // namespace dogwoodvalve::process

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    std::size_t violations = 0;
    for (int i = 0; i < FLAGS_runs; ++i)
        violations +=
            dogwoodvalve::process::SoakRun(FLAGS_seed + static_cast<std::uint64_t>(i)).play();
    return violations == 0 ? 0 : 1;
}
