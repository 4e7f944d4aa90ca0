#include "disturbance_log.h"
#include "simulation/gateway_world.h"
#include "simulation/seeded_runs.h"

#include <algorithm>
#include <cstdio>

namespace dogwoodvalve::simulation {
namespace {

using testtool::EngineFault;

constexpr int Hosts = 4;
constexpr int Engines = 6;
constexpr Duration FaultTime = 40s;
/// All hosts must serve again this long after the faults have ended.
constexpr Duration Recovery = 15s;
constexpr Duration KeyRevocation = 5s;
constexpr Duration CallInterval = 30ms;
constexpr Duration ShortestSilence = 500ms;
constexpr Duration LongestSilence = 1500ms;
/// What generate() names as the caller's deadline. Answers may end at the deadline.
constexpr Duration CallerDeadline = 8s;
constexpr Duration DeadlineTolerance = 100ms;
/// Requests that were sent before a host knew that an engine is leaving have arrived after this
/// time.
constexpr Duration LeavingSlack = 500ms;

/// A call with what is needed to check its answer.
struct SentCall
{
    std::string id;
    /// 'g': generation; 'r': read, may be repeated; 'w': write, must not be repeated.
    char kind = 'g';
    std::shared_ptr<Call> call;
    int host = 0;
    TimePoint sentAt {};
    bool usesRevokedKey = false;
    /// The key was revoked so long ago that no host may accept it any more.
    bool pastRevocationLimit = false;
};

/// One randomised run of gateway hosts with the platform adapter, simulated servers and a simulated
/// store in virtual time.
class GatewaySoakRun
{
public:
    explicit GatewaySoakRun(std::uint64_t seed)
        : m_seed(seed)
        , m_world(Hosts, Engines, seed)
        , m_versions(Hosts)
        , m_hostLogs(Hosts)
        , m_engineLogs(Engines)
    { }

    int run()
    {
        m_world.settle();
        m_end = m_world.now() + FaultTime;
        callRepeatedly();
        injectFaultsRepeatedly();
        watchVersions();
        watchLeavingEngine();
        m_world.run(FaultTime);
        stopFaults();
        m_world.run(Recovery);
        checkServing();
        checkAnswers();
        std::printf("seed=%llu calls=%zu whole=%d refused=%d broken=%d leaving_checks=%d "
                    "violations=%d\n",
                    static_cast<unsigned long long>(m_seed), m_sent.size(), m_complete, m_refused,
                    m_incomplete, m_leavingChecks, m_violations);
        return m_violations;
    }

private:
    Random &random() { return m_world.random(); }
    int randomHost() { return static_cast<int>(random().below(Hosts)); }

    void callRepeatedly()
    {
        if (m_world.now() >= m_end)
            return;
        SentCall sent;
        sent.host = randomHost();
        sent.sentAt = m_world.now();
        sent.kind = "ggrw"[random().below(4)];
        const bool usesTemporaryKey = random().chance(0.15);
        sent.usesRevokedKey = usesTemporaryKey && m_revokedAt;
        sent.pastRevocationLimit =
            sent.usesRevokedKey && m_world.now() > *m_revokedAt + KeyRevocation;
        const std::string key = usesTemporaryKey ? m_temporaryKey : "good-key";
        sent.call = sent.kind == 'g'
            ? m_world.generate(sent.host, key)
            : m_world.call(sent.kind == 'r' ? "GET" : "POST",
                           sent.kind == 'r' ? "/read/x" : "/write/x", {}, sent.host, key);
        sent.id = m_world.lastId();
        m_sent.push_back(std::move(sent));
        m_world.after(CallInterval, [this] { callRepeatedly(); });
    }

    void injectFaultsRepeatedly()
    {
        if (m_world.now() >= m_end)
            return;
        injectFault();
        m_world.after(300ms + Duration(static_cast<Duration::rep>(random().below(1'500'000))),
                      [this] { injectFaultsRepeatedly(); });
    }

    /// Calls back after a time, unless all faults have been stopped before.
    void undoLater(Duration time, std::function<void()> undo)
    {
        m_world.after(time, [this, undo = std::move(undo)] {
            if (!m_faultsStopped)
                undo();
        });
    }

    void injectFault()
    {
        const int host = randomHost();
        const std::string name = "host-" + std::to_string(host + 1);
        const Duration time(500'000 + static_cast<Duration::rep>(random().below(5'000'000)));
        SimProcess &process = *m_world.hosts[static_cast<std::size_t>(host)]->process;
        switch (random().below(11)) {
        case 0:
            m_world.endHost(host);
            hostLog(host).begin(m_world.now());
            return undoLater(time, [this, host] { restartHost(host); });
        case 1:
            process.freeze();
            hostLog(host).begin(m_world.now());
            return undoLater(time, [this, host] { thawHost(host); });
        case 2:
            if (random().chance(0.7))
                m_world.network().cut(name, "store");
            if (random().chance(0.7))
                m_world.network().cut("store", name);
            return undoLater(time, [this, name] {
                m_world.network().heal(name, "store");
                m_world.network().heal("store", name);
            });
        case 3:
            m_world.store.setFaults({random().chance(0.5) ? 503 : 0, random().chance(0.3),
                                     random().chance(0.5) ? Duration(240ms) : Duration {}});
            return undoLater(time, [this] { m_world.store.setFaults({}); });
        case 4:
            return m_world.store.forgetHistory();
        case 5:
            return changeConfiguration();
        case 6:
            return silenceEngines();
        case 7:
            return announceLeaving(time);
        case 8:
            return askForPause(time);
        default:
            return breakEngine(time);
        }
    }

    DisturbanceLog &hostLog(int i) { return m_hostLogs[static_cast<std::size_t>(i)]; }

    void restartHost(int i)
    {
        m_world.restartHost(i);
        hostLog(i).note(m_world.now());
        hostLog(i).end(m_world.now());
    }

    void thawHost(int i)
    {
        SimProcess &process = *m_world.hosts[static_cast<std::size_t>(i)]->process;
        if (!process.frozen())
            return;
        process.thaw();
        if (process.alive())
            hostLog(i).end(m_world.now());
    }

    /// Sets a fault and notes it, unless it is a silence, which must not cost an answer.
    void setEngineFault(int i, EngineFault fault)
    {
        m_world.engines[static_cast<std::size_t>(i)]->setFault(fault);
        DisturbanceLog &log = m_engineLogs[static_cast<std::size_t>(i)];
        if (fault == EngineFault::None || fault == EngineFault::Silent)
            log.end(m_world.now());
        else
            log.begin(m_world.now());
    }

    /// Lets one engine, several or all fall silent for a moment, beside whatever else happens.
    /// Engines that have another fault keep it.
    void silenceEngines()
    {
        const double share = random().chance(0.3) ? 1 : 0.4;
        const auto one = random().below(Engines);
        const Duration time = ShortestSilence
            + Duration(static_cast<Duration::rep>(random().below(
                static_cast<std::uint64_t>((LongestSilence - ShortestSilence).count()))));
        const bool several = random().chance(0.6);
        for (int i = 0; i < Engines; ++i) {
            const bool drawn =
                several ? random().chance(share) : static_cast<std::uint64_t>(i) == one;
            if (!drawn || faultOf(i) != EngineFault::None)
                continue;
            setEngineFault(i, EngineFault::Silent);
            undoLater(time, [this, i] {
                if (faultOf(i) == EngineFault::Silent)
                    setEngineFault(i, EngineFault::None);
            });
        }
        if (random().chance(0.5))
            changeConfiguration();
    }

    EngineFault faultOf(int i) const
    {
        return m_world.engines[static_cast<std::size_t>(i)]->fault();
    }

    void breakEngine(Duration time)
    {
        static constexpr EngineFault Faults[] {EngineFault::Dark,         EngineFault::BreaksOff,
                                               EngineFault::SkipsAnEvent, EngineFault::Unstamped,
                                               EngineFault::Refuses,      EngineFault::Fails};
        const int i = static_cast<int>(random().below(Engines));
        if (random().chance(0.3)) {
            m_engineLogs[static_cast<std::size_t>(i)].note(m_world.now());
            return m_world.restartEngine(i);
        }
        m_world.engines[static_cast<std::size_t>(i)]->setSlowness(random().chance(0.3) ? 5 : 1);
        setEngineFault(i, Faults[random().below(std::size(Faults))]);
        undoLater(time, [this, i] { setEngineFault(i, EngineFault::None); });
    }

    /// An engine announces in its answers that it is leaving, and is another one later.
    void announceLeaving(Duration time)
    {
        const int i = static_cast<int>(random().below(Engines));
        if (m_leavingEngine || m_pausingEngine == i)
            return;
        m_leavingEngine = i;
        m_allKnowSince.reset();
        m_world.engines[static_cast<std::size_t>(i)]->setExtraFields({{"Server-Leaving", "1"}});
        undoLater(time, [this] { restartLeavingEngine(); });
    }

    void restartLeavingEngine()
    {
        if (!m_leavingEngine)
            return;
        m_engineLogs[static_cast<std::size_t>(*m_leavingEngine)].note(m_world.now());
        m_world.engines[static_cast<std::size_t>(*m_leavingEngine)]->setExtraFields({});
        m_world.restartEngine(*m_leavingEngine);
        m_leavingEngine.reset();
    }

    /// An engine refuses all requests and asks for a pause, and is another one later.
    void askForPause(Duration time)
    {
        static constexpr const char *Pauses[] {"0.3", "2", "3600", "-1", "soon"};
        const int i = static_cast<int>(random().below(Engines));
        const char *pause = Pauses[random().below(std::size(Pauses))];
        if (m_pausingEngine || m_leavingEngine == i)
            return;
        m_pausingEngine = i;
        m_world.engines[static_cast<std::size_t>(i)]->setExtraFields({{"Retry-After", pause}});
        setEngineFault(i, EngineFault::Refuses);
        undoLater(time, [this] { restartPausingEngine(); });
    }

    void restartPausingEngine()
    {
        if (!m_pausingEngine)
            return;
        m_world.engines[static_cast<std::size_t>(*m_pausingEngine)]->setExtraFields({});
        setEngineFault(*m_pausingEngine, EngineFault::None);
        m_world.restartEngine(*m_pausingEngine);
        m_pausingEngine.reset();
    }

    /// The starts of the leaving engine that running hosts know to be leaving, and the starts of
    /// these hosts, or nothing if one of them does not know.
    std::optional<std::vector<std::int64_t>> knownLeavingStarts() const
    {
        const std::string id = "e-" + std::to_string(*m_leavingEngine + 1);
        std::vector<std::int64_t> starts;
        for (const auto &host : m_world.hosts) {
            if (!host->process->alive())
                continue;
            FleetView &view = host->node.view();
            const ServerRegistration *server = view.registry().find(id);
            if (host->process->frozen() || !server
                || !view.health().isLeaving(id, server->startedAtMs))
                return std::nullopt;
            starts.push_back(server->startedAtMs);
            // A host that has started since may have asked the engine before others told it.
            starts.push_back(view.identity().startedAtMs);
        }
        return starts;
    }

    /// Checks that an engine gets nothing more once all hosts know that it is leaving.
    void watchLeavingEngine()
    {
        const auto starts = m_leavingEngine ? knownLeavingStarts() : std::nullopt;
        // A host may learn of another start, ask the engine and hear of its leaving between checks.
        if (!starts || starts != std::exchange(m_knownStarts, starts)) {
            m_allKnowSince.reset();
        } else {
            const int received =
                m_world.engines[static_cast<std::size_t>(*m_leavingEngine)]->received();
            if (!m_allKnowSince)
                m_allKnowSince = m_world.now();
            else if (m_world.now() - *m_allKnowSince <= LeavingSlack)
                m_receivedWhileLeaving = received;
            else if (received > m_receivedWhileLeaving) {
                reportViolation("a leaving engine got a request");
                m_receivedWhileLeaving = received;
            } else {
                ++m_leavingChecks;
            }
        }
        if (m_world.now() < m_end)
            m_world.after(100ms, [this] { watchLeavingEngine(); });
    }

    /// Adds a temporary key and revokes it, in turn.
    void changeConfiguration()
    {
        ++m_version;
        if (!m_temporaryKey.empty() && !m_revokedAt) {
            m_revokedAt = m_world.now();
            return m_world.configure(m_version, {"good-key"});
        }
        m_temporaryKey = "lent-" + std::to_string(m_version);
        m_revokedAt.reset();
        m_world.configure(m_version, {"good-key", m_temporaryKey});
    }

    /// Checks that the configuration version of a host never decreases.
    void watchVersions()
    {
        for (int i = 0; i < Hosts; ++i) {
            SimGateway &host = *m_world.hosts[static_cast<std::size_t>(i)];
            const auto &configuration = host.node.view().configuration();
            const std::uint64_t version = configuration ? configuration->version() : 0;
            auto &[lastHost, lastVersion] = m_versions[static_cast<std::size_t>(i)];
            if (lastHost == &host && version < lastVersion)
                reportViolation("the configuration of a host went back to version "
                                + std::to_string(version));
            lastHost = &host;
            lastVersion = version;
        }
        if (m_world.now() < m_end)
            m_world.after(100ms, [this] { watchVersions(); });
    }

    void stopFaults()
    {
        m_faultsStopped = true;
        restartLeavingEngine();
        restartPausingEngine();
        m_world.network().healAll();
        m_world.store.setFaults({});
        for (int i = 0; i < Engines; ++i) {
            setEngineFault(i, EngineFault::None);
            m_world.engines[static_cast<std::size_t>(i)]->setSlowness(1);
        }
        for (int i = 0; i < Hosts; ++i) {
            thawHost(i);
            if (!m_world.hosts[static_cast<std::size_t>(i)]->process->alive())
                restartHost(i);
        }
    }

    void checkServing()
    {
        for (int i = 0; i < Hosts; ++i) {
            const auto stream = m_world.generate(i);
            const std::string id = m_world.lastId();
            const auto plain = m_world.call("GET", "/read/x", {}, i);
            m_world.run(3s);
            if (plain->answer.status != 200)
                reportViolation("host " + std::to_string(i)
                                + " does not serve: " + plain->answer.body);
            if (stream->answer.body != ForwardingEngine::wholeStream(id))
                reportViolation("host " + std::to_string(i)
                                + " does not stream: " + std::to_string(stream->answer.status) + ' '
                                + stream->answer.error + ' ' + stream->answer.body.substr(0, 80));
            const FleetView &view = m_world.hosts[static_cast<std::size_t>(i)]->node.view();
            if (view.configuration()->version() != static_cast<std::uint64_t>(m_version))
                reportViolation("host " + std::to_string(i)
                                + " does not have the newest configuration");
        }
    }

    /// Whether something happened to the host or to any engine while a call was open that may have
    /// ended its answer.
    bool isExcused(const SentCall &sent, TimePoint endedAt) const
    {
        const auto disturbed = [&sent, endedAt](const DisturbanceLog &log) {
            return log.overlaps(sent.sentAt, endedAt);
        };
        return disturbed(m_hostLogs[static_cast<std::size_t>(sent.host)])
            || std::any_of(m_engineLogs.begin(), m_engineLogs.end(), disturbed);
    }

    /// A generation that began is not cut or answered 502 before its deadline, and ends by then.
    void checkNotLost(const SentCall &sent)
    {
        const Answer &answer = sent.call->answer;
        const TimePoint endedAt = answer.ended ? answer.endedAt : m_world.now();
        if (answer.complete && answer.status != 502)
            return;
        const bool byDeadline =
            answer.ended && endedAt >= sent.sentAt + CallerDeadline - DeadlineTolerance;
        if (!byDeadline && !isExcused(sent, endedAt))
            reportViolation(sent.id + " was lost " + std::to_string((endedAt - sent.sentAt) / 1ms)
                            + " ms after it was sent: " + std::to_string(answer.status) + ' '
                            + answer.error + ' ' + answer.body.substr(0, 120));
    }

    void checkAnswers()
    {
        for (const SentCall &sent : m_sent) {
            const Answer &answer = sent.call->answer;
            const int engineRuns = m_world.runsOf(sent.id);
            if (sent.pastRevocationLimit && answer.status == 200)
                reportViolation("a key was accepted too long after it was revoked");
            if (sent.kind == 'g' && answer.status == 200
                && ForwardingEngine::wholeStream(sent.id).rfind(answer.body, 0) != 0)
                reportViolation("wrong bytes of " + sent.id + ": " + answer.body.substr(0, 80));
            if (sent.kind == 'g' && answer.status == 200 && answer.complete
                && answer.body != ForwardingEngine::wholeStream(sent.id))
                reportViolation("an incomplete stream was ended as complete: " + sent.id);
            if (answer.status == 503 && answer.body.find("\"not_run\"") != std::string::npos
                && engineRuns + m_world.plain.runsOf(sent.id) > 0)
                reportViolation(sent.id + " ran although its answer says that it did not run");
            if (sent.kind == 'w' && m_world.plain.runsOf(sent.id) > 1)
                reportViolation(sent.id + " ran more than once and must not be repeated");
            if (sent.kind == 'g')
                checkNotLost(sent);
            const bool complete = answer.complete && answer.status == 200;
            ++(complete ? m_complete : answer.complete ? m_refused : m_incomplete);
        }
    }

    void reportViolation(const std::string &what)
    {
        std::printf("VIOLATION seed %llu: %s\n", static_cast<unsigned long long>(m_seed),
                    what.c_str());
        ++m_violations;
    }

    std::uint64_t m_seed;
    GatewayWorld m_world;
    TimePoint m_end {};
    std::vector<SentCall> m_sent;
    std::vector<std::pair<const SimGateway *, std::uint64_t>> m_versions;
    std::vector<DisturbanceLog> m_hostLogs;
    std::vector<DisturbanceLog> m_engineLogs;
    int m_version = 1;
    std::string m_temporaryKey;
    std::optional<TimePoint> m_revokedAt;
    bool m_faultsStopped = false;
    std::optional<int> m_leavingEngine;
    std::optional<int> m_pausingEngine;
    std::optional<TimePoint> m_allKnowSince;
    std::optional<std::vector<std::int64_t>> m_knownStarts;
    int m_receivedWhileLeaving = 0;
    /// Number of times that a leaving engine was found to have got nothing.
    int m_leavingChecks = 0;
    int m_complete = 0;
    int m_refused = 0;
    int m_incomplete = 0;
    int m_violations = 0;
};

} // namespace
} // namespace dogwoodvalve::simulation

int main(int argc, char **argv)
{
    return dogwoodvalve::simulation::runSeeds<dogwoodvalve::simulation::GatewaySoakRun>(argc, argv);
}
