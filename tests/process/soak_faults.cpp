#include "process/soak_faults.h"

#include "net/endpoint.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <utility>

namespace dogwoodvalve::process {

using testtool::EngineFault;
using testtool::PathFleet;
using testtool::Relay;
using testtool::RelayFaults;

namespace {

/// Bounds of the platform that the hosts' settings name, and of its sites.
constexpr Duration KeyRevocation = 5s;
constexpr Duration ServerDrain = 3s;
constexpr Duration Grace = 8s;
/// A host counts as disturbed for this long after a fault of its own.
constexpr Duration Contact = 4s;
/// A leaving host owes an answer to requests sent up to this long after it was asked to stop, if
/// they end before the last part of its grace.
constexpr Duration LateAfterStop = 3s;
constexpr Duration LastPartOfGrace = Grace / 6;
/// Time from an engine's crash to its next start.
constexpr Duration EngineDowntime = 3s;
constexpr Duration ShortestSilence = 500ms;
constexpr Duration LongestSilence = 1500ms;

boost::asio::ip::tcp::endpoint endpoint(int port)
{
    return parseEndpoint("127.0.0.1:" + std::to_string(port)).value();
}

} // namespace

SoakFaults::SoakFaults(const SoakWorld &world)
    : m_world(world)
    , m_disturbedUntil(static_cast<std::size_t>(world.hosts.count()))
    , m_stoppedAt(static_cast<std::size_t>(world.hosts.count()))
    , m_engineLogs(static_cast<std::size_t>(world.engines))
    , m_serverLinkLogs(static_cast<std::size_t>(world.engines + PathFleet::Services))
{ }

std::vector<std::string> SoakFaults::storeAddresses(int hosts, int firstPort)
{
    std::vector<std::string> addresses;
    addresses.reserve(static_cast<std::size_t>(hosts));
    for (int i = 0; i < hosts; ++i)
        addresses.push_back("127.0.0.1:" + std::to_string(firstPort + 200 + i));
    return addresses;
}

std::unique_ptr<Relay> SoakFaults::relay(int port, int target)
{
    auto relay = std::make_unique<Relay>(m_world.loop, endpoint(target));
    relay->listen(endpoint(port)).value();
    return relay;
}

void SoakFaults::listen()
{
    const int first = m_world.firstPort;
    m_world.platform.listen(endpoint(first)).value();
    for (int i = 0; i < m_world.hosts.count(); ++i)
        m_storeRelays.push_back(relay(first + 200 + i, first));
    for (int i = 1; i <= m_world.engines + PathFleet::Services; ++i)
        m_serverRelays.push_back(relay(first + i + RelayShift, first + i));
    lendKey();
}

void SoakFaults::begin()
{
    m_begin = now();
    schedule();
}

void SoakFaults::schedule()
{
    const Duration pause(200'000 + static_cast<Duration::rep>(m_world.random.below(1'300'000)));
    m_world.timers.schedule(now() + pause, [this] {
        if (m_calm)
            return;
        throwFault();
        schedule();
    });
}

/// Undoes something later, unless all was undone before.
void SoakFaults::later(Duration time, std::function<void()> undo)
{
    m_world.timers.schedule(now() + time, [this, undo = std::move(undo)] {
        if (!m_calm)
            undo();
    });
}

void SoakFaults::throwFault()
{
    const auto host = m_world.random.below(static_cast<std::uint64_t>(m_world.hosts.count()));
    const int i = static_cast<int>(host);
    const Duration time(500'000 + static_cast<Duration::rep>(m_world.random.below(4'000'000)));
    switch (m_world.random.below(11)) {
    case 0:
        note("kill", i);
        disturb(i, time);
        m_world.hosts.process(i).signal(SIGKILL);
        m_world.hosts.process(i).wait();
        return later(time, [this, i] { restart(i); });
    case 1:
        note("pause", i);
        disturb(i, time);
        m_world.hosts.process(i).signal(SIGSTOP);
        return later(time, [this, i] { m_world.hosts.process(i).signal(SIGCONT); });
    case 2:
        return stop(i);
    case 3:
        note("reload", i);
        m_world.hosts.writeSettings(
            i, "lookupTimeToLiveMs: " + std::to_string(1000 + m_world.random.below(2000)) + "\n");
        return m_world.hosts.process(i).signal(SIGHUP);
    case 4:
        note("store relay", i);
        disturb(i, time);
        return breakRelay(*m_storeRelays[host], time);
    case 5:
        return breakServerRelay(m_world.random.below(m_serverRelays.size()), time);
    case 6:
        return breakEngine(time);
    case 7:
        return changeConfiguration();
    case 8:
        note("drain", 1);
        m_world.platform.setDraining(true);
        m_drainingSince = now();
        return later(time + ServerDrain, [this] { endDraining(); });
    default:
        return silenceEngines();
    }
}

void SoakFaults::note(const char *fault, int which)
{
    m_world.ledger.noteFault(fault);
    std::printf("  %8.3f s  %s %d\n", static_cast<double>((now() - m_begin).count()) / 1e6, fault,
                which);
}

bool SoakFaults::isDisturbed(int host) const
{
    const TimePoint until = m_disturbedUntil[static_cast<std::size_t>(host)];
    return until != TimePoint {} && now() - until < Contact;
}

/// A host is disturbed until the fault's end and for some time after.
void SoakFaults::disturb(int i, Duration time)
{
    TimePoint &until = m_disturbedUntil[static_cast<std::size_t>(i)];
    until = std::max(until, now() + time);
}

void SoakFaults::restart(int i)
{
    m_stoppedAt[static_cast<std::size_t>(i)].reset();
    m_world.hosts.process(i).signal(SIGCONT);
    m_world.hosts.process(i).signal(SIGKILL);
    m_world.hosts.process(i).wait();
    m_world.hosts.start(i);
}

/// Asks a host to stop, and checks that it does so within its grace if nothing held it up.
void SoakFaults::stop(int i)
{
    if (isDisturbed(i) || m_stoppedAt[static_cast<std::size_t>(i)])
        return;
    note("stop", i);
    m_stoppedAt[static_cast<std::size_t>(i)] = now();
    m_world.hosts.process(i).signal(SIGTERM);
    const int pid = m_world.hosts.process(i).pid();
    later(Grace, [this, i, pid] {
        if (m_world.hosts.process(i).pid() != pid)
            return;
        if (!isDisturbed(i) && !m_world.hosts.process(i).ended())
            m_world.ledger.violation("host " + std::to_string(i)
                                     + " did not stop within its grace");
        disturb(i, 0s);
        restart(i);
    });
}

void SoakFaults::breakRelay(Relay &relay, Duration time)
{
    RelayFaults faults;
    switch (m_world.random.below(4)) {
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

void SoakFaults::breakServerRelay(std::size_t i, Duration time)
{
    note("server relay", static_cast<int>(i));
    m_serverLinkLogs[i].begin(now());
    breakRelay(*m_serverRelays[i], time);
    later(time, [this, i] { m_serverLinkLogs[i].end(now()); });
}

/// Sets a fault and notes it, unless it is a silence, which must not cost an answer.
void SoakFaults::setEngineFault(int i, EngineFault fault)
{
    m_world.platform.engine(i).setFault(fault);
    DisturbanceLog &log = m_engineLogs[static_cast<std::size_t>(i)];
    if (fault == EngineFault::None || fault == EngineFault::Silent)
        log.end(now());
    else
        log.begin(now());
}

void SoakFaults::breakEngine(Duration time)
{
    static constexpr EngineFault Faults[] {EngineFault::Dark, EngineFault::BreaksOff,
                                           EngineFault::SkipsAnEvent, EngineFault::Unstamped,
                                           EngineFault::Refuses};
    const int i =
        static_cast<int>(m_world.random.below(static_cast<std::uint64_t>(m_world.engines)));
    note("engine", i);
    if (m_world.random.chance(0.25)) {
        m_engineLogs[static_cast<std::size_t>(i)].note(now());
        return m_world.platform.restartEngine(i);
    }
    setEngineFault(i, Faults[m_world.random.below(std::size(Faults))]);
    later(time, [this, i] { setEngineFault(i, EngineFault::None); });
}

void SoakFaults::letPartCrashEngines(const std::string &part, testtool::CrashMoment moment)
{
    for (int i = 0; i < m_world.engines; ++i)
        m_world.platform.engine(i).setCrashingPart(
            part, [this, i] { onEngineCrash(i); }, moment);
}

void SoakFaults::onEngineCrash(int i)
{
    m_world.ledger.noteCrash(now());
    DisturbanceLog &log = m_engineLogs[static_cast<std::size_t>(i)];
    log.begin(now());
    m_world.timers.schedule(now() + EngineDowntime, [this, i, &log] {
        m_world.platform.restartEngine(i);
        m_world.platform.engine(i).setFault(EngineFault::None);
        log.end(now());
    });
}

/// Lets one engine, several or all fall silent for a moment. Engines that have another fault keep
/// it.
void SoakFaults::silenceEngines()
{
    Random &random = m_world.random;
    const Duration time = ShortestSilence
        + Duration(static_cast<Duration::rep>(
            random.below(static_cast<std::uint64_t>((LongestSilence - ShortestSilence).count()))));
    const bool several = random.chance(0.6);
    const double share = random.chance(0.3) ? 1 : 0.4;
    const int one = static_cast<int>(random.below(static_cast<std::uint64_t>(m_world.engines)));
    int silent = 0;
    for (int i = 0; i < m_world.engines; ++i) {
        const bool drawn = several ? random.chance(share) : i == one;
        if (!drawn || m_world.platform.engine(i).fault() != EngineFault::None)
            continue;
        ++silent;
        setEngineFault(i, EngineFault::Silent);
        later(time, [this, i] {
            if (m_world.platform.engine(i).fault() == EngineFault::Silent)
                setEngineFault(i, EngineFault::None);
        });
    }
    note("silent engines", silent);
    if (random.chance(0.5))
        changeConfiguration();
}

/// Lends a key and takes it away by turns; other changes come in between.
void SoakFaults::changeConfiguration()
{
    note("configuration", m_version);
    if (m_keyTakenAt || m_world.random.chance(0.3))
        return lendKey();
    m_world.platform.configure(++m_version, {"demo-key"});
    m_keyTakenAt = now();
}

void SoakFaults::lendKey()
{
    ++m_version;
    m_lentKey = "lent-key-" + std::to_string(m_version);
    m_keyTakenAt.reset();
    m_world.platform.configure(m_version, {"demo-key", m_lentKey});
}

std::optional<TimePoint> SoakFaults::keyRefusedFrom() const
{
    return m_keyTakenAt ? std::optional(*m_keyTakenAt + KeyRevocation) : std::nullopt;
}

bool SoakFaults::mustAvoidLeaving(int host) const
{
    return m_drainingSince && now() - *m_drainingSince > ServerDrain && !isDisturbed(host);
}

bool SoakFaults::excuseLoss(const SentRequest &request) const
{
    const auto host = static_cast<std::size_t>(request.host);
    const TimePoint until = m_disturbedUntil[host];
    if (until != TimePoint {} && request.sentAt - until < Contact)
        return true;
    const auto &stoppedAt = m_stoppedAt[host];
    if (stoppedAt
        && (request.sentAt > *stoppedAt + LateAfterStop
            || now() > *stoppedAt + Grace - LastPartOfGrace))
        return true;
    const auto disturbed = [this, &request](const DisturbanceLog &log) {
        return log.overlaps(request.sentAt, now());
    };
    return std::any_of(m_engineLogs.begin(), m_engineLogs.end(), disturbed)
        || std::any_of(m_serverLinkLogs.begin(), m_serverLinkLogs.end(), disturbed);
}

void SoakFaults::endDraining()
{
    m_world.ledger.checkLeaving();
    m_drainingSince.reset();
    m_world.platform.setDraining(false);
}

void SoakFaults::calmDown()
{
    m_calm = true;
    for (const auto &it : m_storeRelays)
        it->setFaults({});
    for (std::size_t i = 0; i < m_serverRelays.size(); ++i) {
        m_serverRelays[i]->setFaults({});
        m_serverLinkLogs[i].end(now());
    }
    for (int i = 0; i < m_world.engines; ++i)
        setEngineFault(i, EngineFault::None);
    endDraining();
    for (int i = 0; i < m_world.hosts.count(); ++i) {
        m_world.hosts.process(i).signal(SIGCONT);
        if (m_world.hosts.process(i).ended() || m_stoppedAt[static_cast<std::size_t>(i)]) {
            disturb(i, 0s);
            restart(i);
        }
    }
}

} // namespace dogwoodvalve::process
