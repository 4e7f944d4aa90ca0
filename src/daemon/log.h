#pragma once

#include <dogwoodvalve/result.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// How grave an event is.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

Result<LogLevel> logLevelFromString(std::string_view text);

/// Sets up the log: to a file if one is named, else to standard error.
void startLog(LogLevel level, const std::string &file);
/// Sets up the log on standard output without ever waiting for its reader: what the reader does not
/// take is kept up to a bound, and lines beyond it are counted instead.
void startLogOnStandardOutput(LogLevel level);
void setLogLevel(LogLevel level);

/// Bounds the lines of decisions to a number a second; 0 is without bound. Lines left out are
/// counted in the next line that is written.
void setDecisionLogRate(std::uint32_t linesPerSecond);

/// Builds one line of key=value pairs and writes it at the end of its life.
class LogEvent
{
public:
    explicit LogEvent(std::string_view event, LogLevel level = LogLevel::Info);
    ~LogEvent();

    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;

    /// A decision line, which the rate bound applies to.
    static LogEvent decision(std::string_view event);

    LogEvent &field(std::string_view key, std::string_view value);
    LogEvent &field(std::string_view key, const char *value)
    {
        return field(key, std::string_view(value));
    }
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
