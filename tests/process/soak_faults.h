#pragma once

#include "disturbance_log.h"
#include "path_fleet.h"
#include "process/gateway_hosts.h"
#include "process/soak_ledger.h"
#include "relay.h"

#include <dogwoodvalve/random.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodvalve::process {

/// What the faults of a run act on.
struct SoakWorld
{
    boost::asio::io_context &loop;
    TimerService &timers;
    Random &random;
    testtool::PathFleet &platform;
    GatewayHosts &hosts;
    SoakLedger &ledger;
    int engines;
    int firstPort;
};

/// Throws faults at random, in series and overlapping, and knows what they excuse.
class SoakFaults
{
public:
    explicit SoakFaults(const SoakWorld &world);

    SoakFaults(const SoakFaults &) = delete;
    SoakFaults &operator=(const SoakFaults &) = delete;

    /// Opens the platform and the relays on all ways to it.
    void listen();
    void begin();
    /// Lets engines crash that begin to answer a request whose prompt has this part. They start
    /// again after some seconds.
    void letPartCrashEngines(const std::string &part, testtool::CrashMoment moment);
    /// Ends all faults.
    void calmDown();

    /// A host counts as disturbed for some time after a fault of its own.
    bool isDisturbed(int host) const;
    /// Whether a request sent now must not go to the server that leaves.
    bool mustAvoidLeaving(int host) const;
    /// Whether something happened to a request's host or to the engines that may have ended its
    /// answer now.
    bool excuseLoss(const SentRequest &request) const;
    const std::string &lentKey() const { return m_lentKey; }
    /// From when on the lent key must be refused, if it was taken away.
    std::optional<TimePoint> keyRefusedFrom() const;

    /// Relays listen on the servers' ports plus this.
    static constexpr int RelayShift = 100;
    static std::vector<std::string> storeAddresses(int hosts, int firstPort);

private:
    TimePoint now() const { return m_world.timers.now(); }
    std::unique_ptr<testtool::Relay> relay(int port, int target);
    void schedule();
    void later(Duration time, std::function<void()> undo);
    void throwFault();
    void note(const char *fault, int which);
    void disturb(int i, Duration time);
    void restart(int i);
    void stop(int i);
    void breakRelay(testtool::Relay &relay, Duration time);
    void breakServerRelay(std::size_t i, Duration time);
    void breakEngine(Duration time);
    void silenceEngines();
    void setEngineFault(int i, testtool::EngineFault fault);
    void changeConfiguration();
    void lendKey();
    void endDraining();
    void onEngineCrash(int i);

    SoakWorld m_world;
    std::vector<std::unique_ptr<testtool::Relay>> m_storeRelays;
    std::vector<std::unique_ptr<testtool::Relay>> m_serverRelays;
    std::vector<TimePoint> m_disturbedUntil;
    /// When a host that still runs was asked to stop.
    std::vector<std::optional<TimePoint>> m_stoppedAt;
    std::vector<DisturbanceLog> m_engineLogs;
    std::vector<DisturbanceLog> m_serverLinkLogs;
    int m_version = 1;
    std::string m_lentKey;
    std::optional<TimePoint> m_keyTakenAt;
    std::optional<TimePoint> m_drainingSince;
    TimePoint m_begin {};
    bool m_calm = false;
};

} // namespace dogwoodvalve::process
