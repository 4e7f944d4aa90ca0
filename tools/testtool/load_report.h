#pragma once

#include "caller.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace dogwoodvalve::testtool {

/// Gathers the results of a load and sums them up.
class LoadReport
{
public:
    LoadReport(const LoadOptions &options, TimePoint start);

    void add(const PlannedRequest &request, const CallResult &result);

    std::size_t ended() const { return m_ended; }
    std::size_t wrong() const { return m_wrong; }
    std::size_t count(CallResult::End end) const;

    nlohmann::json toJson() const;
    std::string toText() const;

private:
    /// What happened in one second of the load.
    struct Second
    {
        int complete = 0;
        int refused = 0;
        int tokens = 0;
        std::vector<Duration> firstTokens;
        std::vector<Duration> gaps;
    };

    bool isRight(const PlannedRequest &request, const CallResult &result) const;

    const LoadOptions &m_options;
    TimePoint m_start;
    std::map<CallResult::End, std::size_t> m_ends;
    std::map<std::int64_t, Second> m_seconds;
    std::vector<Duration> m_firstTokens;
    std::vector<Duration> m_gaps;
    std::vector<Duration> m_longestGaps;
    std::vector<Duration> m_totals;
    std::map<std::string, int> m_errors;
    TimePoint m_lastEnd {};
    std::size_t m_ended = 0;
    std::size_t m_wrong = 0;
    std::size_t m_tokens = 0;
    std::size_t m_retried = 0;
};

/// The value below which a share of the values lies, in milliseconds; 0 without values.
double percentileMillis(std::vector<Duration> values, double share);

} // namespace dogwoodvalve::testtool
