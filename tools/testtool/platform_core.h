#pragma once

#include <dogwoodvalve/platform.h>
#include <dogwoodvalve/timer_service.h>

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve::testtool {

/// Behaviour of the pretended platform. All of it may change while it runs.
struct PlatformFaults
{
    /// Nothing answers.
    bool down = false;
    /// Added to each answer.
    Duration latency = 2ms;
    /// Probability that an append takes effect but its answer is lost.
    double loseAnswer = 0;
};

/// The platform's log and host list without sockets.
class PlatformCore
{
public:
    explicit PlatformCore(TimerService &timers, double appendsPerSecond = 400,
                          std::size_t recordsKept = 100'000)
        : m_timers(timers)
        , m_appendsPerSecond(appendsPerSecond)
        , m_recordsKept(recordsKept)
    { }

    /// Appends a record, or refuses it with Overloaded because of the rate.
    Result<LogOffset> append(std::string_view stream, std::string record);
    LogPage read(std::string_view stream, LogOffset from, std::size_t most) const;

    std::vector<HostStatus> &hosts() { return m_hosts; }
    PlatformFaults &faults() { return m_faults; }
    void setRecordsKept(std::size_t n) { m_recordsKept = n; }
    std::uint64_t appends() const { return m_appends; }

private:
    struct Stream
    {
        LogOffset firstKept = 0;
        std::deque<std::string> records;
    };

    TimerService &m_timers;
    double m_appendsPerSecond;
    std::size_t m_recordsKept;
    double m_tokens = 0;
    TimePoint m_refilledAt {};
    std::map<std::string, Stream, std::less<>> m_streams;
    std::vector<HostStatus> m_hosts;
    PlatformFaults m_faults;
    std::uint64_t m_appends = 0;
};

} // namespace dogwoodvalve::testtool
