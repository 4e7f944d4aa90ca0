#include "net/asio_loop_services.h"
#include "net/buffered_request.h"
#include "net/endpoint.h"
#include "path_fleet.h"
#include "process/gateway_hosts.h"
#include "process/kept_caller.h"
#include "process/soak_ledger.h"
#include "relay.h"

#include <dogwoodvalve/random.h>

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <map>
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

using testtool::EngineFault;
using testtool::PathFleet;
using testtool::Relay;
using testtool::RelayFaults;

/// Relays listen on the servers' ports plus this.
constexpr int RelayShift = 100;
/// Bounds of the platform that the hosts' settings name, and of its sites.
constexpr Duration KeyRevocation = 5s;
constexpr Duration ServerDrain = 3s;
constexpr Duration Recovery = 15s;
constexpr Duration Grace = 8s;
/// A host counts as disturbed for this long after a fault of its own.
constexpr Duration Contact = 4s;

class SoakRun;

/// Sends one request after another to hosts at random and checks the answers.
class SoakCaller : public HttpClientEvents
{
public:
    explicit SoakCaller(SoakRun &run)
        : m_run(run)
    { }
    void next();
    void onHead(int status, std::span<const HttpField>) override { m_status = status; }
    void onBody(std::string_view part) override { m_body += part; }
    void onEnd() override { finish(true); }
    void onError(const Error &) override { finish(false); }

private:
    void finish(bool whole);

    SoakRun &m_run;
    std::shared_ptr<HttpClientRequest> m_client;
    std::string m_id;
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
        , m_platform(m_loop, m_services.timers(), FLAGS_engines, RelayShift)
        , m_ledger(seed, m_platform, FLAGS_engines)
        , m_hosts(m_folder, FLAGS_first_port + 300, storeAddresses())
        , m_disturbedAt(static_cast<std::size_t>(FLAGS_hosts))
        , m_stopping(static_cast<std::size_t>(FLAGS_hosts))
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
        for (auto &it : m_callers)
            it->next();
        for (auto &it : m_kept)
            it->start();
        m_faultsEnd = now() + std::chrono::seconds(FLAGS_seconds);
        watch();
        scheduleFault();
        runFor(m_faultsEnd - now());
        m_calm = true;
        calmDown();
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
        SentRequest request;
        request.host = static_cast<int>(m_random.below(static_cast<std::uint64_t>(FLAGS_hosts)));
        request.kind = Kinds[m_random.below(Kinds.size())];
        request.takenAwayKey = m_random.chance(0.1);
        request.sentAt = now();
        request.avoidsLeaving =
            m_drainingSince && now() - *m_drainingSince > ServerDrain && !isDisturbed(request.host);
        return request;
    }

    const std::string &key(const SentRequest &request) const
    {
        static const std::string Steady = "demo-key";
        return request.takenAwayKey ? m_lentKey : Steady;
    }

    SoakLedger &ledger() { return m_ledger; }

    /// From when on the lent key must be refused, if it was taken away.
    std::optional<TimePoint> keyRefusedFrom() const
    {
        return m_keyTakenAt ? std::optional(*m_keyTakenAt + KeyRevocation) : std::nullopt;
    }

    bool isDisturbed(int host)
    {
        const TimePoint at = m_disturbedAt[static_cast<std::size_t>(host)];
        return at != TimePoint {} && now() - at < Contact;
    }

private:
    std::vector<std::string> storeAddresses()
    {
        std::vector<std::string> addresses;
        for (int i = 0; i < FLAGS_hosts; ++i) {
            const int port = FLAGS_first_port + 200 + i;
            addresses.push_back("127.0.0.1:" + std::to_string(port));
        }
        return addresses;
    }

    static boost::asio::ip::tcp::endpoint endpoint(int port)
    {
        return parseEndpoint("127.0.0.1:" + std::to_string(port)).value();
    }

    std::unique_ptr<Relay> relay(int port, int target)
    {
        auto relay = std::make_unique<Relay>(m_loop, endpoint(target));
        relay->listen(endpoint(port)).value();
        return relay;
    }

    void start()
    {
        m_platform.listen(endpoint(FLAGS_first_port)).value();
        for (int i = 0; i < FLAGS_hosts; ++i)
            m_storeRelays.push_back(relay(FLAGS_first_port + 200 + i, FLAGS_first_port));
        for (int i = 1; i <= FLAGS_engines + PathFleet::Services; ++i)
            m_serverRelays.push_back(
                relay(FLAGS_first_port + i + RelayShift, FLAGS_first_port + i));
        lendKey();
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
                    if (!isDisturbed(i))
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

    /// Looks at each host twice a second: versions never go back in a process, and a host that was
    /// asked to stop ends by itself within its grace.
    void watch()
    {
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

    void scheduleFault()
    {
        const Duration pause(200'000 + static_cast<Duration::rep>(m_random.below(1'300'000)));
        m_services.timers().schedule(now() + pause, [this] {
            if (m_calm)
                return;
            throwFault();
            scheduleFault();
        });
    }

    /// Undoes something later, unless all was undone before.
    void later(Duration time, std::function<void()> undo)
    {
        m_services.timers().schedule(now() + time, [this, undo = std::move(undo)] {
            if (!m_calm)
                undo();
        });
    }

    void throwFault()
    {
        const auto host = m_random.below(static_cast<std::uint64_t>(FLAGS_hosts));
        const int i = static_cast<int>(host);
        const Duration time(500'000 + static_cast<Duration::rep>(m_random.below(4'000'000)));
        switch (m_random.below(9)) {
        case 0:
            note("kill", i);
            disturb(i, time);
            m_hosts.process(i).signal(SIGKILL);
            m_hosts.process(i).wait();
            return later(time, [this, i] { restart(i); });
        case 1:
            note("pause", i);
            disturb(i, time);
            m_hosts.process(i).signal(SIGSTOP);
            return later(time, [this, i] { m_hosts.process(i).signal(SIGCONT); });
        case 2:
            return stop(i);
        case 3:
            note("reload", i);
            m_hosts.writeSettings(
                i, "lookupTimeToLiveMs: " + std::to_string(1000 + m_random.below(2000)) + "\n");
            return m_hosts.process(i).signal(SIGHUP);
        case 4:
            note("store relay", i);
            disturb(i, time);
            return breakRelay(*m_storeRelays[host], time);
        case 5: {
            const auto server = m_random.below(m_serverRelays.size());
            note("server relay", static_cast<int>(server));
            return breakRelay(*m_serverRelays[server], time);
        }
        case 6:
            return breakEngine(time);
        case 7:
            return changeConfiguration();
        default:
            note("drain", 1);
            m_platform.setDraining(true);
            m_drainingSince = now();
            return later(time + ServerDrain, [this] { endDraining(); });
        }
    }

    void note(const char *fault, int which)
    {
        m_ledger.noteFault(fault);
        std::printf("  %8.3f s  %s %d\n",
                    static_cast<double>(
                        (now() - (m_faultsEnd - std::chrono::seconds(FLAGS_seconds))).count())
                        / 1e6,
                    fault, which);
    }

    /// A host is disturbed until the fault's end and for some time after.
    void disturb(int i, Duration time)
    {
        TimePoint &until = m_disturbedAt[static_cast<std::size_t>(i)];
        until = std::max(until, now() + time);
    }

    void restart(int i)
    {
        m_hosts.process(i).signal(SIGCONT);
        m_hosts.process(i).signal(SIGKILL);
        m_hosts.process(i).wait();
        m_hosts.start(i);
    }

    /// Asks a host to stop, and checks that it does so within its grace if nothing held it up.
    void stop(int i)
    {
        if (isDisturbed(i) || m_stopping[static_cast<std::size_t>(i)])
            return;
        note("stop", i);
        m_stopping[static_cast<std::size_t>(i)] = true;
        m_hosts.process(i).signal(SIGTERM);
        const int pid = m_hosts.process(i).pid();
        m_services.timers().schedule(now() + Grace, [this, i, pid] {
            m_stopping[static_cast<std::size_t>(i)] = false;
            if (m_ended || m_hosts.process(i).pid() != pid)
                return;
            if (!isDisturbed(i) && !m_hosts.process(i).ended())
                m_ledger.violation("host " + std::to_string(i) + " did not stop within its grace");
            disturb(i, 0s);
            restart(i);
        });
    }

    void breakRelay(Relay &relay, Duration time)
    {
        RelayFaults faults;
        switch (m_random.below(4)) {
        case 0:
            faults.cut = true;
            break;
        case 1:
            faults.swallowForward = true;
            break;
        case 2:
            faults.swallowBackward = true;
            break;
        default:
            faults.delay = 300ms;
        }
        relay.setFaults(faults);
        later(time, [&relay] { relay.setFaults({}); });
    }

    void breakEngine(Duration time)
    {
        static constexpr EngineFault Faults[] {EngineFault::Dark, EngineFault::BreaksOff,
                                               EngineFault::SkipsAnEvent, EngineFault::Unstamped,
                                               EngineFault::Refuses};
        const int i = static_cast<int>(m_random.below(static_cast<std::uint64_t>(FLAGS_engines)));
        note("engine", i);
        if (m_random.chance(0.25))
            return m_platform.restartEngine(i);
        m_platform.engine(i).setFault(Faults[m_random.below(std::size(Faults))]);
        later(time, [this, i] { m_platform.engine(i).setFault(EngineFault::None); });
    }

    /// Lends a key and takes it away by turns; other changes come in between.
    void changeConfiguration()
    {
        note("configuration", m_version);
        if (m_keyTakenAt || m_random.chance(0.3))
            return lendKey();
        m_platform.configure(++m_version, {"demo-key"});
        m_keyTakenAt = now();
    }

    void lendKey()
    {
        ++m_version;
        m_lentKey = "lent-key-" + std::to_string(m_version);
        m_keyTakenAt.reset();
        m_platform.configure(m_version, {"demo-key", m_lentKey});
    }

    void endDraining()
    {
        m_ledger.checkLeaving();
        m_drainingSince.reset();
        m_platform.setDraining(false);
    }

    void calmDown()
    {
        for (const auto &it : m_storeRelays)
            it->setFaults({});
        for (const auto &it : m_serverRelays)
            it->setFaults({});
        for (int i = 0; i < FLAGS_engines; ++i)
            m_platform.engine(i).setFault(EngineFault::None);
        endDraining();
        for (int i = 0; i < FLAGS_hosts; ++i) {
            m_hosts.process(i).signal(SIGCONT);
            if (m_hosts.process(i).ended() || m_stopping[static_cast<std::size_t>(i)]) {
                m_stopping[static_cast<std::size_t>(i)] = false;
                restart(i);
            }
        }
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
    PathFleet m_platform;
    SoakLedger m_ledger;
    std::vector<std::unique_ptr<Relay>> m_storeRelays;
    std::vector<std::unique_ptr<Relay>> m_serverRelays;
    GatewayHosts m_hosts;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    std::vector<std::unique_ptr<KeptCaller>> m_kept;
    std::vector<TimePoint> m_disturbedAt;
    std::vector<bool> m_stopping;
    /// Process and version that a host's metrics told last.
    std::vector<std::pair<int, double>> m_versions;
    int m_version = 1;
    std::string m_lentKey;
    std::optional<TimePoint> m_keyTakenAt;
    std::optional<TimePoint> m_drainingSince;
    TimePoint m_faultsEnd {};
    bool m_calm = false;
    bool m_ended = false;
};

void SoakCaller::next()
{
    if (m_run.ended())
        return;
    const SentRequest request = m_run.drawRequest();
    m_id = m_run.ledger().noteSent(request);
    m_status = 0;
    m_body.clear();
    HttpRequestHead head;
    head.method = request.kind == 'r' ? "GET" : "POST";
    head.target = request.kind == 'g' ? "/generate/x"
        : request.kind == 'r'         ? "/read/x"
                                      : "/write/x";
    head.fields = {{"Host", "demo"}, {"Api-Key", m_run.key(request)}, {"X-Request-Id", m_id}};
    if (request.kind == 'g')
        head.fields.push_back({"X-Token-Usage", "100,60"});
    m_client = m_run.services().createHttpClient();
    m_client->start(parseEndpoint(m_run.hosts().front(request.host)).value(), head, 500ms, *this);
    m_client->write("");
}

void SoakCaller::finish(bool whole)
{
    m_run.ledger().noteAnswer(m_id, m_status, m_body, whole, m_run.keyRefusedFrom());
    const Duration pause(5'000 + static_cast<Duration::rep>(m_run.random().below(40'000)));
    m_run.services().timers().schedule(m_run.now() + pause, [this] { next(); });
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
