#pragma once

#include "path_fleet.h"

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve::process {

/// A request as its caller knows it.
struct SentRequest
{
    int host = 0;
    /// 'g' generates, 'c' generates and crashes engines, 'r' may be repeated, 'w' may not.
    char kind = 'g';
    bool takenAwayKey = false;
    TimePoint sentAt {};
    bool saidNotRun = false;
    /// Sent so late after a server began to leave that it must not go there.
    bool avoidsLeaving = false;
    /// Sent to a host that was not disturbed.
    bool inContact = false;
};

/// What callers sent and got in a run of the fault soak, held against what the servers ran.
class SoakLedger
{
public:
    SoakLedger(std::uint64_t seed, const testtool::PathFleet &platform, int engines);

    SoakLedger(const SoakLedger &) = delete;
    SoakLedger &operator=(const SoakLedger &) = delete;

    /// Returns the id to send.
    std::string noteSent(const SentRequest &request);
    /// The key that was lent must not be accepted from requests sent after the time.
    void noteAnswer(const std::string &id, int status, std::string_view body, bool whole,
                    std::optional<TimePoint> keyRefusedFrom);
    /// A connection that a sound host kept was closed without an answer to a request.
    void noteLost(const std::string &id);
    void noteFault(const char *fault) { ++m_faults[fault]; }
    /// A request has crashed an engine.
    void noteCrash(TimePoint at) { m_crashes.push_back(at); }
    void violation(const std::string &what);
    bool clean() const { return m_violations == 0; }

    /// To be called before the leaving server serves again: none of the requests that must avoid it
    /// has gone there. A request that still waits may go there from then on.
    void checkLeaving();
    /// To be called when all has ended: who ran what, and how often.
    void checkRuns();
    /// Prints the counts and returns the number of violations.
    std::size_t report() const;

private:
    /// Runs at the plain servers.
    int plainRuns(const std::string &id) const;
    int engineRuns(const std::string &id) const;
    /// Hardly any request that crashes engines runs long after the fifth crash.
    void checkCrashingRequests();

    std::uint64_t m_seed;
    const testtool::PathFleet &m_platform;
    int m_engines;
    std::map<std::string, SentRequest> m_sent;
    std::map<std::string, int> m_outcomes;
    std::map<std::string, int> m_faults;
    std::vector<TimePoint> m_crashes;
    std::size_t m_violations = 0;
};

} // namespace dogwoodvalve::process
