#include "disturbance_log.h"
#include "simulation/gateway_world.h"
#include "simulation/seeded_runs.h"

#include <array>
#include <cstdio>
#include <set>

namespace dogwoodvalve::simulation {
namespace {

constexpr int Hosts = 4;
constexpr int Engines = 10;
constexpr Duration FaultTime = 40s;
constexpr Duration CallInterval = 30ms;
constexpr Duration CheckInterval = 100ms;
/// A host that was undisturbed for this long must know what the others know.
constexpr Duration ContactTime = 3s;
constexpr std::size_t CrashLimit = 5;
constexpr int RequestsBeyondLimit = 3;
/// Sound requests share these parts; some are in most prompts, others in few.
constexpr std::uint64_t SharedParts = 40;
constexpr const char *CrashingPrefix = "bad";

/// A request whose prompt may have a crashing part.
struct SentPrompt
{
    std::string id;
    bool crashes = false;
    TimePoint at {};
    /// The host was undisturbed for the contact time when it got the request.
    bool inContact = false;
};

/// One randomised run: requests that crash engines, or none, beside engines that crash by
/// themselves, break off answers or fall silent, and hosts that are frozen or restarted.
class PromptSoakRun
{
public:
    explicit PromptSoakRun(std::uint64_t seed)
        : m_seed(seed)
        , m_world(Hosts, Engines, seed)
        , m_hostLogs(Hosts)
    { }

    int run()
    {
        m_world.settle();
        m_end = m_world.now() + FaultTime;
        m_world.setCrashingPart(CrashingPrefix);
        m_crashingParts = random().below(3);
        m_crashingShare = 0.02 + 0.2 * random().fraction();
        m_crashingFrom =
            m_world.now() + Duration(static_cast<Duration::rep>(random().below(10'000'000)));
        callRepeatedly();
        injectFaultsRepeatedly();
        checkRepeatedly();
        m_world.run(FaultTime + 5s);
        checkCrashingRequests();
        std::printf("seed=%llu calls=%zu crashing_parts=%llu crashes=%zu crashing_calls=%d "
                    "violations=%d\n",
                    static_cast<unsigned long long>(m_seed), m_sent.size(),
                    static_cast<unsigned long long>(m_crashingParts),
                    m_world.crashesByPrompt.size(), m_crashingCalls, m_violations);
        return m_violations;
    }

private:
    Random &random() { return m_world.random(); }
    bool ended() const { return m_world.now() >= m_end; }

    void reportViolation(const std::string &text)
    {
        ++m_violations;
        std::printf("seed=%llu at %.3f s: %s\n", static_cast<unsigned long long>(m_seed),
                    static_cast<double>(m_world.now().time_since_epoch().count()) / 1e6,
                    text.c_str());
    }

    void callRepeatedly()
    {
        if (ended())
            return;
        SentPrompt sent;
        const int host = static_cast<int>(random().below(Hosts));
        sent.at = m_world.now();
        sent.crashes =
            m_crashingParts > 0 && sent.at >= m_crashingFrom && random().chance(m_crashingShare);
        sent.inContact =
            !m_hostLogs[static_cast<std::size_t>(host)].overlaps(sent.at - ContactTime, sent.at);
        // Half of the prompts have one of three parts.
        const std::uint64_t part = random().below(random().chance(0.5) ? 3 : SharedParts);
        std::string parts = "aa:40,p" + std::to_string(part) + ":30";
        if (sent.crashes)
            parts += std::string(",") + CrashingPrefix
                + std::to_string(random().below(m_crashingParts)) + ":30";
        m_world.generateWith(parts, host);
        sent.id = m_world.lastId();
        m_crashingCalls += sent.crashes ? 1 : 0;
        m_sent.push_back(std::move(sent));
        m_world.after(CallInterval, [this] { callRepeatedly(); });
    }

    void injectFaultsRepeatedly()
    {
        if (ended())
            return;
        injectFault(Duration(500'000 + static_cast<Duration::rep>(random().below(3'000'000))));
        m_world.after(500ms + Duration(static_cast<Duration::rep>(random().below(2'500'000))),
                      [this] { injectFaultsRepeatedly(); });
    }

    void injectFault(Duration time)
    {
        const int i = static_cast<int>(random().below(Engines));
        const int host = static_cast<int>(random().below(Hosts));
        switch (random().below(6)) {
        case 0:
            return crash(i);
        case 1:
            crash(i);
            return crash((i + 1) % Engines);
        case 2:
            return breakEngine(i, EngineFault::BreaksOff, time);
        case 3:
            return breakEngine(i, EngineFault::Silent, time);
        case 4:
            m_hostLogs[static_cast<std::size_t>(host)].note(m_world.now());
            return m_world.restartHost(host);
        default:
            return freeze(host, time);
        }
    }

    /// Lets an engine crash that no request has crashed.
    void crash(int i)
    {
        testtool::ForwardingEngine &engine = *m_world.engines[static_cast<std::size_t>(i)];
        if (engine.fault() == EngineFault::None)
            engine.crash();
    }

    void breakEngine(int i, EngineFault fault, Duration time)
    {
        testtool::ForwardingEngine &engine = *m_world.engines[static_cast<std::size_t>(i)];
        if (engine.fault() != EngineFault::None)
            return;
        engine.setFault(fault);
        m_world.after(time, [&engine, fault] {
            if (engine.fault() == fault)
                engine.setFault(EngineFault::None);
        });
    }

    void freeze(int host, Duration time)
    {
        const auto process = m_world.hosts[static_cast<std::size_t>(host)]->process;
        DisturbanceLog &log = m_hostLogs[static_cast<std::size_t>(host)];
        if (!process->alive() || process->frozen())
            return;
        process->freeze();
        log.begin(m_world.now());
        m_world.after(time, [this, process, &log] {
            process->thaw();
            log.end(m_world.now());
        });
    }

    /// No host ever quarantines a part of sound prompts.
    void checkRepeatedly()
    {
        for (const auto &host : m_world.hosts) {
            const PromptQuarantine &quarantine = host->node.view().quarantine();
            for (std::uint64_t i = 0; i <= SharedParts; ++i) {
                const std::array part {i == SharedParts ? "aa" : "p" + std::to_string(i)};
                if (quarantine.find(part, m_world.now()) && m_blamed.insert(part[0]).second)
                    reportViolation("part " + part[0] + " of sound prompts is in quarantine");
            }
        }
        if (!ended())
            m_world.after(CheckInterval, [this] { checkRepeatedly(); });
    }

    /// Hardly any request with a crashing part runs long after the crashes have shown it.
    void checkCrashingRequests()
    {
        const std::vector<TimePoint> &crashes = m_world.crashesByPrompt;
        const std::size_t limit = CrashLimit * std::max<std::uint64_t>(m_crashingParts, 1);
        if (crashes.size() < limit)
            return;
        const TimePoint bound = crashes[limit - 1] + ContactTime;
        int late = 0;
        for (const SentPrompt &sent : m_sent)
            late += sent.crashes && sent.inContact && sent.at > bound ? m_world.runsOf(sent.id) : 0;
        if (late > RequestsBeyondLimit)
            reportViolation(std::to_string(late) + " requests with a crashing part ran too late");
    }

    std::uint64_t m_seed;
    GatewayWorld m_world;
    TimePoint m_end {};
    std::uint64_t m_crashingParts = 0;
    double m_crashingShare = 0;
    TimePoint m_crashingFrom {};
    std::vector<DisturbanceLog> m_hostLogs;
    std::vector<SentPrompt> m_sent;
    std::set<std::string> m_blamed;
    int m_crashingCalls = 0;
    int m_violations = 0;
};

} // namespace
} // namespace dogwoodvalve::simulation

int main(int argc, char **argv)
{
    return dogwoodvalve::simulation::runSeeds<dogwoodvalve::simulation::PromptSoakRun>(argc, argv);
}
