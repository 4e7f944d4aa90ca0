#include "daemon/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <fcntl.h>
#include <memory>
#include <sstream>
#include <unistd.h>

namespace dogwoodvalve {

namespace {

log4cplus::LogLevel nativeLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

std::string_view levelText(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

log4cplus::Logger &logger()
{
    static log4cplus::Logger instance = log4cplus::Logger::getInstance("dogwoodvalve");
    return instance;
}

std::atomic<bool> started {false};
std::atomic<int> currentLevel {static_cast<int>(LogLevel::Info)};
std::atomic<std::uint32_t> maxDecisionsPerSecond {0};
std::atomic<std::uint32_t> droppedDecisions {0};

/// Counts the lines of one kind in the current second.
struct RateWindow
{
    std::atomic<std::int64_t> second {0};
    std::atomic<std::uint32_t> lines {0};
};

RateWindow decisionWindow;
RateWindow failureWindow;

bool isEnabled(LogLevel level)
{
    return started.load(std::memory_order_acquire)
        && static_cast<int>(level) >= currentLevel.load(std::memory_order_relaxed);
}

bool lineAllowed(RateWindow &window)
{
    const std::uint32_t rate = maxDecisionsPerSecond.load(std::memory_order_relaxed);
    if (rate == 0)
        return true;
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(
                         std::chrono::steady_clock::now().time_since_epoch())
                         .count();
    if (window.second.exchange(now, std::memory_order_relaxed) != now)
        window.lines.store(0, std::memory_order_relaxed);
    if (window.lines.fetch_add(1, std::memory_order_relaxed) < rate)
        return true;
    droppedDecisions.fetch_add(1, std::memory_order_relaxed);
    return false;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

/// Limit of the output that is buffered while the reader of standard output is slow.
constexpr std::size_t MaxPendingBytes = 256 * 1024;

constexpr std::size_t TypicalLineBytes = 256;

/// Writes to standard output without blocking. What the reader does not accept at once stays in the
/// buffer until the next line is written.
class NonBlockingAppender : public log4cplus::Appender
{
public:
    NonBlockingAppender()
    {
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    ~NonBlockingAppender() override { destructorImpl(); }

    NonBlockingAppender(const NonBlockingAppender &) = delete;
    NonBlockingAppender &operator=(const NonBlockingAppender &) = delete;

    void close() override
    {
        flush();
        closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::ostringstream text;
        layout->formatAndAppend(text, event);
        const std::string line = text.str();
        if (m_pending.size() + line.size() > MaxPendingBytes) {
            ++m_dropped;
            return flush();
        }
        if (m_dropped > 0)
            m_pending += "level=warning event=log_lines_dropped count="
                + std::to_string(std::exchange(m_dropped, 0)) + '\n';
        m_pending += line;
        flush();
    }

private:
    void flush()
    {
        const ssize_t n = ::write(STDOUT_FILENO, m_pending.data(), m_pending.size());
        if (n > 0)
            m_pending.erase(0, static_cast<std::size_t>(n));
    }

    std::string m_pending;
    std::uint64_t m_dropped = 0;
};

void setAppender(const log4cplus::SharedAppenderPtr &appender, LogLevel level)
{
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("time=%d{%Y-%m-%dT%H:%M:%S.%q}Z %m%n"));
    logger().removeAllAppenders();
    logger().addAppender(appender);
    setLogLevel(level);
    started.store(true, std::memory_order_release);
}

log4cplus::Initializer &initializer()
{
    static log4cplus::Initializer instance;
    return instance;
}

} // namespace

Result<LogLevel> logLevelFromString(std::string_view text)
{
    for (const LogLevel level :
         {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
        if (levelText(level) == text)
            return level;
    }
    return Error {ErrorKind::InvalidArgument, "unknown log level '" + std::string(text) + "'",
                  "use debug, info, warning or error"};
}

void startLog(LogLevel level, const std::string &file)
{
    initializer();
    if (file.empty())
        setAppender(log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)),
                    level);
    else
        setAppender(
            log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(file, std::ios_base::app)),
            level);
}

void startLogOnStandardOutput(LogLevel level)
{
    initializer();
    setAppender(log4cplus::SharedAppenderPtr(new NonBlockingAppender), level);
}

void setLogLevel(LogLevel level)
{
    currentLevel.store(static_cast<int>(level), std::memory_order_relaxed);
    logger().setLogLevel(nativeLevel(level));
}

void setDecisionLogRate(std::uint32_t linesPerSecond)
{
    maxDecisionsPerSecond.store(linesPerSecond, std::memory_order_relaxed);
}

LogEvent::LogEvent(std::string_view event, LogLevel level)
    : LogEvent(event, level, isEnabled(level))
{ }

LogEvent::LogEvent(std::string_view event, LogLevel level, bool enabled)
    : m_level(level)
    , m_enabled(enabled)
{
    if (!m_enabled)
        return;
    m_line.reserve(TypicalLineBytes);
    m_line = "level=";
    m_line += levelText(level);
    field("event", event);
}

LogEvent LogEvent::decision(std::string_view event)
{
    return LogEvent(event, LogLevel::Info,
                    isEnabled(LogLevel::Info) && lineAllowed(decisionWindow));
}

LogEvent LogEvent::failure(std::string_view event)
{
    return LogEvent(event, LogLevel::Warning,
                    isEnabled(LogLevel::Warning) && lineAllowed(failureWindow));
}

LogEvent::~LogEvent()
{
    if (!m_enabled)
        return;
    if (const std::uint32_t leftOut = droppedDecisions.exchange(0, std::memory_order_relaxed))
        field("lines_left_out", leftOut);
    logger().log(nativeLevel(m_level), m_line);
}

LogEvent &LogEvent::field(std::string_view key, std::string_view value)
{
    if (!m_enabled)
        return *this;
    m_line += ' ';
    m_line += key;
    m_line += '=';
    if (!needsQuotes(value)) {
        m_line += value;
        return *this;
    }
    m_line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            m_line += '\\';
        m_line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    m_line += '"';
    return *this;
}

LogEvent &LogEvent::field(std::string_view key, std::span<const std::string> values)
{
    std::string text;
    for (const std::string &value : values)
        text += (text.empty() ? "" : ",") + value;
    return field(key, std::string_view(text));
}

LogEvent &LogEvent::field(std::string_view key, std::int64_t value)
{
    std::array<char, 24> text {};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return field(key, std::string_view(text.data(), static_cast<std::size_t>(end - text.data())));
}

LogEvent &LogEvent::field(std::string_view key, double value)
{
    std::array<char, 32> text {};
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 1)
            .ptr;
    return field(key, std::string_view(text.data(), static_cast<std::size_t>(end - text.data())));
}

} // namespace dogwoodvalve
