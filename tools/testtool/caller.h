#pragma once

#include "load_plan.h"
#include "net/loop_services.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodvalve::testtool {

/// How a caller's request ended, as the caller saw it.
struct CallResult
{
    enum class End {
        /// The whole answer came.
        Complete,
        /// Refused, and said not to have run.
        NotRun,
        /// Failed, and may have run.
        Unknown,
        /// No answer within the caller's patience.
        TimedOut,
    };

    End end = End::Unknown;
    int status = 0;
    std::string text;
    std::string error;
    std::string finishReason;
    int retryAfter = 0;
    int tries = 0;
    /// Times from the intended start.
    Duration firstToken {};
    Duration total {};
    Duration longestGap {};
    std::vector<Duration> gaps;
    TimePoint endedAt {};
};

/// A caller that asks which entry host to use, keeps the answer for its time to live, connects
/// there and streams the answer. Idempotent requests are sent again to another host after a
/// failure, as a careful client does; keyed ones only if the answer says that they did not run.
class Caller
{
public:
    Caller(LoopServices &loop, const LoadOptions &options);

    using Done = std::function<void(const PlannedRequest &, const CallResult &)>;

    /// Sends a request now; the latencies count from the intended start.
    void call(const PlannedRequest &request, TimePoint intendedStart, Done done);

    /// Asks the first reachable entry host for the list.
    void lookUp(std::function<void(bool)> done);

    const std::vector<std::string> &ranked() const { return m_ranked; }

private:
    class Attempt;
    friend class Attempt;

    void lookUpFrom(std::size_t index, std::function<void(bool)> done);
    std::string addressFor(int attempt) const;

    LoopServices &m_loop;
    TimerService &m_timers;
    const LoadOptions &m_options;
    std::vector<std::string> m_ranked;
    std::string m_keyPrefix;
    TimePoint m_lookedUpAt {};
    std::uint64_t m_nextKey = 1;
};

} // namespace dogwoodvalve::testtool
