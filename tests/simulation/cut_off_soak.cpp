#include "disturbance_log.h"
#include "simulation/link_loss.h"
#include "simulation/seeded_runs.h"

#include <cstdio>

namespace dogwoodvalve::simulation {
namespace {

using testtool::EngineFault;

constexpr int Hosts = 7;
constexpr int Engines = 6;
constexpr Duration FaultTime = 40s;
constexpr Duration Recovery = 15s;
constexpr Duration CallInterval = 30ms;
/// Hosts serve again this long after a cut has begun, or after any other disturbance of them.
constexpr Duration NoticeTime = 3s;
/// First tries that may fail at cut-off hosts in any case: some, and a share of all.
constexpr int ToleratedFailures = 10;
constexpr int ToleratedShare = 50;

/// First tries at some hosts.
struct Tally
{
    int sent = 0;
    int served = 0;

    void add(bool isServed)
    {
        ++sent;
        served += isServed ? 1 : 0;
    }
};

/// One randomised run in which hosts lose their links to all servers, are killed or frozen, and
/// engines fail.
class CutOffSoakRun
{
public:
    explicit CutOffSoakRun(std::uint64_t seed)
        : m_seed(seed)
        , m_world(Hosts, Engines, seed)
        , m_cuts(Hosts)
        , m_disturbances(Hosts)
    {
        m_world.addPlainServer(m_secondPlain);
    }

    int run()
    {
        m_world.settle();
        m_end = m_world.now() + FaultTime;
        callRepeatedly();
        injectFaultsRepeatedly();
        m_world.run(FaultTime);
        stopFaults();
        m_world.run(Recovery);
        checkRestored();
        checkAnswers();
        std::printf("seed=%llu calls=%zu cut=%d/%d others=%d/%d violations=%d\n",
                    static_cast<unsigned long long>(m_seed), m_sent.size(), m_atCutHosts.served,
                    m_atCutHosts.sent, m_atOthers.served, m_atOthers.sent, m_violations);
        return m_violations;
    }

private:
    struct Sent
    {
        char kind = 'g';
        int host = 0;
        std::string id;
        std::shared_ptr<Call> call;
        /// Whether it counts as a first try at a cut-off host, or at one beside those.
        bool atCutHost = false;
        bool atOther = false;
    };

    Random &random() { return m_world.random(); }
    /// Engines do not fail in every second run: then nothing may be taken for a crash.
    bool enginesFail() const { return m_seed % 2 == 0; }

    /// Whether the host has been cut off for long enough to serve again, and was not disturbed
    /// otherwise.
    bool isCutOff(int host) const
    {
        const auto i = static_cast<std::size_t>(host);
        return m_cutSince[i] && m_world.now() - *m_cutSince[i] >= NoticeTime && isSteady(host);
    }

    bool isSteady(int host) const
    {
        return !m_disturbances[static_cast<std::size_t>(host)].overlaps(m_world.now() - NoticeTime,
                                                                        m_world.now());
    }

    /// Whether the host has had its links for a while, and was not disturbed otherwise.
    bool hasLinks(int host) const
    {
        return isSteady(host)
            && !m_cuts[static_cast<std::size_t>(host)].overlaps(m_world.now() - NoticeTime,
                                                                m_world.now());
    }

    bool anyHost(bool (CutOffSoakRun::*is)(int) const) const
    {
        for (int host = 0; host < Hosts; ++host) {
            if ((this->*is)(host))
                return true;
        }
        return false;
    }

    void callRepeatedly()
    {
        if (m_world.now() >= m_end)
            return;
        Sent sent;
        sent.host = static_cast<int>(random().below(Hosts));
        sent.kind = "ggrw"[random().below(4)];
        sent.atCutHost = isCutOff(sent.host) && anyHost(&CutOffSoakRun::hasLinks);
        sent.atOther = hasLinks(sent.host) && anyHost(&CutOffSoakRun::isCutOff);
        sent.call = sent.kind == 'g'
            ? m_world.generateWith("aa:40", sent.host)
            : m_world.call(sent.kind == 'r' ? "GET" : "POST",
                           sent.kind == 'r' ? "/read/x" : "/write/x", {}, sent.host);
        sent.id = m_world.lastId();
        m_sent.push_back(std::move(sent));
        m_world.after(CallInterval, [this] { callRepeatedly(); });
    }

    void injectFaultsRepeatedly()
    {
        if (m_world.now() >= m_end)
            return;
        injectFault();
        m_world.after(500ms + Duration(static_cast<Duration::rep>(random().below(2'000'000))),
                      [this] { injectFaultsRepeatedly(); });
    }

    void undoLater(Duration time, std::function<void()> undo)
    {
        m_world.after(time, [this, undo = std::move(undo)] {
            if (!m_faultsStopped)
                undo();
        });
    }

    void injectFault()
    {
        const int host = static_cast<int>(random().below(Hosts));
        const Duration time(500'000 + static_cast<Duration::rep>(random().below(8'000'000)));
        switch (random().below(6)) {
        case 0:
            disturb(host);
            m_world.restartHost(host);
            return;
        case 1:
            disturb(host);
            m_world.hosts[static_cast<std::size_t>(host)]->process->freeze();
            return undoLater(time / 4, [this, host] { thaw(host); });
        case 2:
            return breakEngine(time / 2);
        default:
            return cutHosts(time);
        }
    }

    void disturb(int host) { m_disturbances[static_cast<std::size_t>(host)].note(m_world.now()); }

    void thaw(int host)
    {
        SimProcess &process = *m_world.hosts[static_cast<std::size_t>(host)]->process;
        if (!process.frozen())
            return;
        process.thaw();
        disturb(host);
    }

    void breakEngine(Duration time)
    {
        if (!enginesFail())
            return;
        const std::size_t i = random().below(Engines);
        m_world.engines[i]->setFault(random().chance(0.5) ? EngineFault::Dark
                                                          : EngineFault::BreaksOff);
        undoLater(time, [this, i] { m_world.engines[i]->setFault(EngineFault::None); });
    }

    /// Cuts some or all hosts off, all in one way.
    void cutHosts(Duration time)
    {
        const auto loss = static_cast<LinkLoss>(random().below(3));
        const double share = random().chance(0.1) ? 1 : 0.2 + 0.5 * random().fraction();
        for (int host = 0; host < Hosts; ++host) {
            auto &since = m_cutSince[static_cast<std::size_t>(host)];
            if (since || !random().chance(share))
                continue;
            since = m_world.now();
            m_cuts[static_cast<std::size_t>(host)].begin(m_world.now());
            loseServerLinks(m_world, host, loss);
            undoLater(time, [this, host] { restore(host); });
        }
    }

    void restore(int host)
    {
        m_cutSince[static_cast<std::size_t>(host)].reset();
        m_cuts[static_cast<std::size_t>(host)].end(m_world.now());
        restoreServerLinks(m_world, host);
    }

    void stopFaults()
    {
        m_faultsStopped = true;
        for (int host = 0; host < Hosts; ++host) {
            restore(host);
            thaw(host);
        }
        for (const auto &engine : m_world.engines)
            engine->setFault(EngineFault::None);
    }

    void checkRestored()
    {
        for (int i = 0; i < Hosts; ++i) {
            SimGateway &host = *m_world.hosts[static_cast<std::size_t>(i)];
            if (host.node.connections().cutOff())
                reportViolation("host " + std::to_string(i) + " takes itself for cut off");
            if (host.node.openForwards() != 0)
                reportViolation("host " + std::to_string(i) + " still forwards");
            if (!enginesFail() && host.node.view().quarantine().quarantinedParts() > 0)
                reportViolation("host " + std::to_string(i) + " has taken a cut for crashes");
            const auto read = m_world.call("GET", "/read/x", {}, i);
            const auto stream = m_world.generate(i);
            m_world.run(3s);
            if (read->answer.status != 200 || stream->answer.status != 200)
                reportViolation("host " + std::to_string(i) + " does not serve");
        }
    }

    int runsOf(const Sent &sent) const
    {
        return m_world.runsOf(sent.id) + m_world.plain.runsOf(sent.id)
            + m_secondPlain.runsOf(sent.id);
    }

    void checkAnswers()
    {
        for (const Sent &sent : m_sent) {
            const Answer &answer = sent.call->answer;
            const std::string whole =
                sent.kind == 'g' ? ForwardingEngine::wholeStream(sent.id) : std::string("done");
            const bool success = answer.status == 200;
            const bool served = success && answer.complete && answer.body == whole;
            if (success && answer.complete && !served)
                reportViolation("a wrong answer to " + sent.id + ": " + answer.body.substr(0, 80));
            if (success && whole.rfind(answer.body, 0) != 0)
                reportViolation("wrong bytes of " + sent.id + ": " + answer.body.substr(0, 80));
            if (answer.status == 503 && answer.body.find("\"not_run\"") != std::string::npos
                && runsOf(sent) > 0)
                reportViolation(sent.id + " ran although its answer says that it did not run");
            if (sent.kind == 'w' && runsOf(sent) > 1)
                reportViolation(sent.id + " ran more than once and must not be repeated");
            if (sent.atCutHost)
                m_atCutHosts.add(served);
            if (sent.atOther)
                m_atOthers.add(served);
        }
        const int failed = m_atCutHosts.sent - m_atCutHosts.served;
        const int tolerated =
            ToleratedFailures + (m_atCutHosts.sent + m_atOthers.sent) / ToleratedShare;
        if (3 * m_atCutHosts.served * m_atOthers.sent < 2 * m_atOthers.served * m_atCutHosts.sent
            && failed > tolerated)
            reportViolation("cut-off hosts serve worse than the others");
    }

    void reportViolation(const std::string &what)
    {
        std::printf("VIOLATION seed %llu: %s\n", static_cast<unsigned long long>(m_seed),
                    what.c_str());
        ++m_violations;
    }

    std::uint64_t m_seed;
    GatewayWorld m_world;
    FakePlainServer m_secondPlain;
    TimePoint m_end {};
    std::vector<Sent> m_sent;
    std::optional<TimePoint> m_cutSince[Hosts];
    std::vector<DisturbanceLog> m_cuts;
    /// Kills and freezes of each host.
    std::vector<DisturbanceLog> m_disturbances;
    bool m_faultsStopped = false;
    Tally m_atCutHosts;
    Tally m_atOthers;
    int m_violations = 0;
};

} // namespace
} // namespace dogwoodvalve::simulation

int main(int argc, char **argv)
{
    return dogwoodvalve::simulation::runSeeds<dogwoodvalve::simulation::CutOffSoakRun>(argc, argv);
}
