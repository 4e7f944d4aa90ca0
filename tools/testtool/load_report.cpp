#include "load_report.h"

#include "reference_model.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace dogwoodvalve::testtool {

using nlohmann::json;

namespace {

constexpr std::size_t LongestErrorText = 160;

json percentiles(const std::vector<Duration> &values)
{
    return {{"p50", percentileMillis(values, 0.5)},
            {"p95", percentileMillis(values, 0.95)},
            {"p99", percentileMillis(values, 0.99)},
            {"max", percentileMillis(values, 1.0)}};
}

} // namespace

double percentileMillis(std::vector<Duration> values, double share)
{
    if (values.empty())
        return 0;
    const auto last = static_cast<double>(values.size() - 1);
    const auto at = static_cast<std::ptrdiff_t>(share * last);
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return static_cast<double>(values[static_cast<std::size_t>(at)].count()) / 1000;
}

LoadReport::LoadReport(const LoadOptions &options, TimePoint start)
    : m_options(options)
    , m_start(start)
{ }

bool LoadReport::isRight(const PlannedRequest &request, const CallResult &result) const
{
    if (!m_options.verify)
        return true;
    const ExpectedAnswer expected =
        expectedAnswer(m_options.model, m_options.layers, request.prompt, request.maxTokens);
    return result.text == expected.text
        && result.finishReason == (expected.endOfText ? "stop" : "length");
}

void LoadReport::add(const PlannedRequest &request, const CallResult &result)
{
    ++m_ended;
    ++m_ends[result.end];
    m_lastEnd = result.endedAt;
    if (result.tries > 1)
        ++m_retried;
    Second &second = m_seconds[(result.endedAt - m_start) / Duration(1s)];
    if (result.end != CallResult::End::Complete) {
        ++second.refused;
        ++m_errors[result.error.substr(0, LongestErrorText)];
        return;
    }
    if (!isRight(request, result))
        ++m_wrong;
    const int tokens = static_cast<int>(result.gaps.size()) + 1;
    m_tokens += static_cast<std::size_t>(tokens);
    ++second.complete;
    second.tokens += tokens;
    second.firstTokens.push_back(result.firstToken);
    second.gaps.insert(second.gaps.end(), result.gaps.begin(), result.gaps.end());
    m_firstTokens.push_back(result.firstToken);
    m_gaps.insert(m_gaps.end(), result.gaps.begin(), result.gaps.end());
    m_longestGaps.push_back(result.longestGap);
    m_totals.push_back(result.total);
}

std::size_t LoadReport::count(CallResult::End end) const
{
    const auto it = m_ends.find(end);
    return it == m_ends.end() ? 0 : it->second;
}

json LoadReport::toJson() const
{
    using End = CallResult::End;
    const auto took = static_cast<double>((m_lastEnd - m_start).count()) / 1e6;
    json seconds = json::array();
    for (const auto &[at, second] : m_seconds)
        seconds.push_back({{"second", at},
                           {"complete", second.complete},
                           {"refused", second.refused},
                           {"tokens", second.tokens},
                           {"firstToken", percentiles(second.firstTokens)},
                           {"gap", percentiles(second.gaps)}});
    return {{"requests", m_ended},
            {"complete", count(End::Complete)},
            {"notRun", count(End::NotRun)},
            {"unknown", count(End::Unknown)},
            {"timedOut", count(End::TimedOut)},
            {"wrong", m_wrong},
            {"retried", m_retried},
            {"tokens", m_tokens},
            {"seconds", took},
            {"requestsPerSecond", static_cast<double>(count(End::Complete)) / std::max(took, 1e-6)},
            {"tokensPerSecond", static_cast<double>(m_tokens) / std::max(took, 1e-6)},
            {"firstTokenMs", percentiles(m_firstTokens)},
            {"gapMs", percentiles(m_gaps)},
            {"longestGapMs", percentiles(m_longestGaps)},
            {"totalMs", percentiles(m_totals)},
            {"errors", m_errors},
            {"perSecond", seconds}};
}

std::string LoadReport::toText() const
{
    const json report = toJson();
    std::ostringstream out;
    for (const char *key : {"requests", "complete", "notRun", "unknown", "timedOut", "wrong",
                            "retried", "tokens", "seconds", "requestsPerSecond", "tokensPerSecond"})
        out << key << '=' << report[key] << '\n';
    for (const char *key : {"firstTokenMs", "gapMs", "longestGapMs", "totalMs"})
        out << key << " p50=" << report[key]["p50"] << " p95=" << report[key]["p95"]
            << " p99=" << report[key]["p99"] << " max=" << report[key]["max"] << '\n';
    for (const auto &[error, n] : m_errors)
        out << "error n=" << n << ' ' << error << '\n';
    return out.str();
}

} // namespace dogwoodvalve::testtool
