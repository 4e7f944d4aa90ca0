#include "simulation/sim_world.h"

namespace dogwoodvalve::simulation {

namespace {

constexpr Duration ShortestPause = 300ms;
constexpr std::uint64_t PauseSpreadMicros = 2'500'000;
constexpr Duration ShortestFault = 200ms;
constexpr std::uint64_t FaultSpreadMicros = 6'000'000;
/// Some faults outlast every lease and timeout.
constexpr Duration LongFault = 12s;
constexpr double LongFaultShare = 0.1;
constexpr double PairShare = 0.3;

} // namespace

void FaultSchedule::plan(Duration duration)
{
    SimClock &clock = m_world.clock();
    Random &random = m_world.random();
    Duration at = ShortestPause;
    while (at < duration) {
        clock.after(at, [*this]() mutable { applyRandomFault(); });
        if (random.chance(PairShare))
            clock.after(at + 10ms, [*this]() mutable { applyRandomFault(); });
        at += ShortestPause + Duration(random.below(PauseSpreadMicros));
    }
}

void FaultSchedule::later(Duration delay, std::function<void()> work)
{
    m_world.clock().after(delay, std::move(work));
}

void FaultSchedule::applyRandomFault()
{
    Random &random = m_world.random();
    const Duration length = random.chance(LongFaultShare)
        ? LongFault
        : ShortestFault + Duration(random.below(FaultSpreadMicros));
    switch (random.below(6)) {
    case 0:
        return crashSomething(length);
    case 1:
        return freezeSomething(length);
    case 2:
        return cutSomething(length);
    case 3:
        return troublePlatform(length);
    case 4:
        return troubleEngine(length);
    default:
        return changeSomething(length);
    }
}

void FaultSchedule::crashSomething(Duration length)
{
    Random &random = m_world.random();
    if (random.chance(0.5)) {
        const int i = static_cast<int>(random.below(std::uint64_t(m_world.entryCount())));
        m_world.countFault("entry crash");
        m_world.crashEntry(i);
        return later(length, [&world = m_world, i] { world.restartEntry(i); });
    }
    const int i = static_cast<int>(random.below(std::uint64_t(m_world.engineCount())));
    m_world.countFault("engine crash");
    m_world.crashEngine(i);
    later(length, [&world = m_world, i] { world.restartEngine(i); });
}

void FaultSchedule::freezeSomething(Duration length)
{
    Random &random = m_world.random();
    if (random.chance(0.5)) {
        const int i = static_cast<int>(random.below(std::uint64_t(m_world.entryCount())));
        m_world.countFault("entry freeze");
        m_world.freezeEntry(i);
        return later(length, [&world = m_world, i] { world.thawEntry(i); });
    }
    const int i = static_cast<int>(random.below(std::uint64_t(m_world.engineCount())));
    m_world.countFault("engine freeze");
    m_world.freezeEngine(i);
    later(length, [&world = m_world, i] { world.thawEngine(i); });
}

std::string FaultSchedule::randomNode()
{
    Random &random = m_world.random();
    switch (random.below(5)) {
    case 0:
        return PlatformNode;
    case 1:
    case 2:
        return m_world.engineName(
            static_cast<int>(random.below(std::uint64_t(m_world.engineCount()))));
    default:
        return m_world.entryName(
            static_cast<int>(random.below(std::uint64_t(m_world.entryCount()))));
    }
}

void FaultSchedule::cutSomething(Duration length)
{
    Random &random = m_world.random();
    const std::string a =
        m_world.entryName(static_cast<int>(random.below(std::uint64_t(m_world.entryCount()))));
    const std::string b = randomNode();
    if (a == b)
        return;
    const bool both = random.chance(0.5);
    m_world.countFault(both ? "two-way cut" : "one-way cut");
    const bool forward = both || random.chance(0.5);
    const bool backward = both || !forward;
    if (forward)
        m_world.cutWay(a, b);
    if (backward)
        m_world.cutWay(b, a);
    later(length, [&world = m_world, a, b] {
        world.healWay(a, b);
        world.healWay(b, a);
    });
}

void FaultSchedule::troublePlatform(Duration length)
{
    Random &random = m_world.random();
    testtool::PlatformFaults &faults = m_world.platform().faults();
    switch (random.below(4)) {
    case 0:
        m_world.countFault("platform down");
        m_world.note("platform down");
        faults.down = true;
        break;
    case 1:
        m_world.countFault("platform slow");
        faults.latency = 800ms;
        break;
    case 2:
        m_world.countFault("platform loses answers");
        faults.loseAnswer = 0.5;
        break;
    default:
        m_world.countFault("platform forgets records");
        m_world.note("retention is short");
        m_world.platform().setRecordsKept(1 + random.below(4));
        break;
    }
    later(length, [&world = m_world] {
        world.note("platform well");
        world.platform().faults() = {};
        world.platform().setRecordsKept(100'000);
    });
}

void FaultSchedule::troubleEngine(Duration length)
{
    Random &random = m_world.random();
    const int i = static_cast<int>(random.below(std::uint64_t(m_world.engineCount())));
    testtool::EngineFaults *faults = m_world.engineFaults(i);
    if (!faults)
        return;
    switch (random.below(5)) {
    case 0:
        m_world.countFault("engine loses answers");
        faults->lose = 0.05;
        break;
    case 1:
        m_world.countFault("engine doubles answers");
        faults->duplicate = 0.5;
        break;
    case 2:
        m_world.countFault("engine delays answers");
        faults->delay = 0.2;
        faults->delayTime = 3s;
        break;
    case 3:
        m_world.countFault("engine refuses");
        faults->refuse = 0.5;
        break;
    default:
        m_world.countFault("engine loses caches");
        faults->loseCache = 0.02;
        break;
    }
    m_world.note("trouble at " + m_world.engineName(i));
    later(length, [&world = m_world, i] {
        if (testtool::EngineFaults *again = world.engineFaults(i))
            *again = {};
    });
}

void FaultSchedule::changeSomething(Duration length)
{
    Random &random = m_world.random();
    switch (random.below(4)) {
    case 0: {
        const int i = static_cast<int>(random.below(std::uint64_t(m_world.entryCount())));
        m_world.countFault("rolling restart");
        return m_world.drainAndRestartEntry(i);
    }
    case 1: {
        const int i = static_cast<int>(random.below(std::uint64_t(m_world.engineCount())));
        m_world.countFault("server leaves");
        m_world.setLeaving(i, true);
        return later(length, [&world = m_world, i] { world.setLeaving(i, false); });
    }
    case 2:
        m_world.countFault("racing operators");
        return m_world.raceOperators();
    default:
        m_world.countFault("key sent again");
        return m_world.abuseKey();
    }
}

} // namespace dogwoodvalve::simulation
