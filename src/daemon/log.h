#pragma once

#include <dogwoodvalve/result.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Severity of a log event.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

Result<LogLevel> logLevelFromString(std::string_view text);

/// Starts logging to a file, or to standard error if `file` is empty.
void startLog(LogLevel level, const std::string &file);
/// Starts logging to standard output without ever blocking on its reader. Output that the reader
/// has not consumed is buffered up to a limit; lines beyond it are dropped, and a later line
/// reports how many.
void startLogOnStandardOutput(LogLevel level);
void setLogLevel(LogLevel level);

/// Limits decision lines, and separately failure lines, to a number per second; 0 means no limit.
/// The next line that is written reports how many were left out.
void setDecisionLogRate(std::uint32_t linesPerSecond);

/// Builds one line of key=value pairs and writes it when destroyed.
class LogEvent
{
public:
    explicit LogEvent(std::string_view event, LogLevel level = LogLevel::Info);
    ~LogEvent();

    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;

    /// A line about a decision (such as the route of a request), subject to the rate limit.
    static LogEvent decision(std::string_view event);
    /// A line about a request that failed. Failures have a rate limit of their own, so that the
    /// decisions of an overloaded host do not displace them.
    static LogEvent failure(std::string_view event);

    LogEvent &field(std::string_view key, std::string_view value);
    LogEvent &field(std::string_view key, const char *value)
    {
        return field(key, std::string_view(value));
    }
    /// The values with commas between them.
    LogEvent &field(std::string_view key, std::span<const std::string> values);
    LogEvent &field(std::string_view key, std::int64_t value);
    LogEvent &field(std::string_view key, double value);

    template <class Number>
    LogEvent &field(std::string_view key, Number value) requires std::is_integral_v<Number>
    {
        return field(key, static_cast<std::int64_t>(value));
    }

private:
    LogEvent(std::string_view event, LogLevel level, bool enabled);

    LogLevel m_level;
    bool m_enabled;
    std::string m_line;
};

} // namespace dogwoodvalve
