#pragma once

#include "caller.h"
#include "engine_server.h"
#include "simulation/sim_entry.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dogwoodvalve::simulation {

/// Size and length of a run.
struct WorldOptions
{
    std::uint64_t seed = 1;
    int entries = 4;
    int stages = 3;
    int serversPerStage = 3;
    int callers = 3;
    double requestsPerSecond = 12;
    Duration duration = 30s;
    /// Time without faults at the end, in which everything must come to rest.
    Duration settleTime = 40s;
    /// Share of requests that carry a key.
    double keyed = 0.3;
    std::string policy = "score";
};

/// A breach of what must always hold.
struct Violation
{
    TimePoint at {};
    std::string text;
};

/// Counts of one run.
struct WorldCounts
{
    std::uint64_t events = 0;
    int requests = 0;
    int complete = 0;
    int notRun = 0;
    int unknown = 0;
    int timedOut = 0;
    int recoveries = 0;
    int changes = 0;
    std::map<std::string, int> faults;
};

/// Entry hosts, engines, callers, operators and the platform in one virtual time. The caller of
/// this class switches faults on; the world checks what must always hold.
class SimWorld
{
public:
    explicit SimWorld(const WorldOptions &options);
    ~SimWorld();

    SimWorld(const SimWorld &) = delete;
    SimWorld &operator=(const SimWorld &) = delete;

    /// Starts all processes and lets the first configuration come into force.
    void start();
    /// Lets callers send their requests from now on.
    void startLoad();
    void runFor(Duration duration);
    /// Ends all faults, lets everything come to rest and checks the end state.
    void settleAndCheck();

    // Faults. Indices count from 0.
    void crashEntry(int i);
    void restartEntry(int i);
    void drainAndRestartEntry(int i);
    void freezeEntry(int i);
    void thawEntry(int i);
    void crashEngine(int i);
    void restartEngine(int i);
    void freezeEngine(int i);
    void thawEngine(int i);
    testtool::EngineFaults *engineFaults(int i);
    void cutWay(const std::string &from, const std::string &to);
    void healWay(const std::string &from, const std::string &to);
    testtool::PlatformCore &platform() { return m_platform; }
    void setLeaving(int engine, bool leaving);
    /// Two operators change the same object at once, through different hosts.
    void raceOperators();
    /// Publishes one change through a host; the callback gets the outcome.
    void publish(int entry, const Change &change,
                 const std::function<void(const Result<ChangeOutcome> &)> &done);
    /// A caller that sends one key several times through different hosts.
    void abuseKey();

    int entryCount() const { return m_options.entries; }
    int engineCount() const { return m_options.stages * m_options.serversPerStage; }
    std::string entryName(int i) const { return "entry-" + std::to_string(i); }
    std::string engineName(int i) const { return "engine-" + std::to_string(i); }
    /// The running entry host, or nullptr.
    SimEntry *entry(int i) { return m_entries[static_cast<std::size_t>(i)].get(); }
    testtool::EngineCore *engine(int i);
    bool entryUp(int i);
    SimClock &clock() { return m_clock; }
    Random &random() { return m_random; }

    void note(const std::string &text);
    void violate(const std::string &text);
    void countFault(const std::string &kind) { ++m_counts.faults[kind]; }
    const std::vector<Violation> &violations() const { return m_violations; }
    const std::deque<std::string> &history() const { return m_history; }
    /// Stands for all that happened: the same seed gives the same digest.
    std::uint64_t historyDigest() const { return m_digest; }
    WorldCounts counts() const;

    /// How often a prompt was begun at a first stage, on all engines, dead ones included.
    int startsOf(const std::string &prompt) const;
    Change makeConfiguration() const;
    std::vector<Duration> longestGaps() const { return m_longestGaps; }

private:
    struct EngineNode
    {
        std::shared_ptr<SimProcess> process;
        std::unique_ptr<testtool::EngineServer> server;
    };

    struct CallerNode
    {
        std::shared_ptr<SimProcess> process;
        std::unique_ptr<SimLoopServices> services;
        testtool::LoadOptions options;
        std::unique_ptr<testtool::Caller> caller;
        std::vector<testtool::PlannedRequest> plan;
    };

    EntrySettings settingsOf(int i) const;
    void startEngine(int i);
    void startEntry(int i);
    void collectStarts(testtool::EngineCore &core);
    void callEnded(const testtool::PlannedRequest &request, const testtool::CallResult &result);
    void checkMonotonic();
    void checkAtRest();
    void checkOutcomes();

    WorldOptions m_options;
    SimClock m_clock;
    Random m_random;
    SimNetwork m_network;
    testtool::PlatformCore m_platform;
    boost::asio::io_context m_unusedLoop;
    std::vector<std::unique_ptr<SimEntry>> m_entries;
    std::vector<EngineNode> m_engines;
    std::vector<CallerNode> m_callers;
    std::shared_ptr<SimProcess> m_abuser;
    std::unique_ptr<SimLoopServices> m_abuserServices;
    std::map<std::string, int> m_starts;
    std::vector<testtool::PlannedRequest> m_keyedDone;
    std::map<std::string, testtool::CallResult::End> m_keyedEnds;
    std::set<std::string> m_abusedPrompts;
    std::map<int, LogOffset> m_offsets;
    std::map<std::string, std::vector<std::string>> m_races;
    std::map<std::string, bool> m_toldOutcomes;
    std::vector<Violation> m_violations;
    std::vector<Duration> m_longestGaps;
    std::deque<std::string> m_history;
    std::uint64_t m_digest = 0;
    std::uint64_t m_nextBoot = 1000;
    int m_nextChange = 0;
    int m_pendingCalls = 0;
    WorldCounts m_counts;
};

/// Draws faults, single and in pairs, and applies them to a world for its duration.
class FaultSchedule
{
public:
    explicit FaultSchedule(SimWorld &world)
        : m_world(world)
    { }

    /// Plans all faults of a run.
    void plan(Duration duration);

private:
    void applyRandomFault();
    void crashSomething(Duration length);
    void freezeSomething(Duration length);
    void cutSomething(Duration length);
    void troublePlatform(Duration length);
    void troubleEngine(Duration length);
    void changeSomething(Duration length);
    void later(Duration delay, std::function<void()> work);
    std::string randomNode();

    SimWorld &m_world;
};

/// Runs a whole randomised run. Violations are in the world's list.
void runRandomised(SimWorld &world, Duration duration);

} // namespace dogwoodvalve::simulation
