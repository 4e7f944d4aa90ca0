#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// One whole event of a text/event-stream.
struct StreamEvent
{
    /// All bytes with the blank line that ends the event; valid until the splitter takes more.
    std::string_view bytes;
    /// The number in the event's id field, if it has one.
    std::optional<std::uint64_t> id;
};

/// Cuts a stream of bytes into whole events, however the bytes arrive.
class EventSplitter
{
public:
    explicit EventSplitter(std::size_t maxEventBytes = 1U << 20);

    void append(std::string_view part);
    /// The next whole event, if there is one.
    std::optional<StreamEvent> next();
    /// Bytes of an event that has begun and not ended.
    std::size_t unfinishedBytes() const { return m_buffer.size() - m_consumed; }
    /// An event is longer than the bound; the stream can't be trusted.
    bool overflowed() const { return unfinishedBytes() > m_maxEventBytes; }
    /// Forgets an event that has begun, before a stream is continued from elsewhere.
    void discardUnfinished();

private:
    std::size_t m_maxEventBytes;
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

/// What to do with an event.
enum class EventVerdict {
    Deliver,
    /// It was delivered before.
    Duplicate,
    /// Events before it are missing, or it has no id although the ones before had.
    OutOfOrder,
};

/// Checks that the events which reach a caller have ids that rise by one, also where the stream is
/// continued on another server.
class EventOrderChecker
{
public:
    /// A stream that the caller resumes begins after the last event that the caller has.
    explicit EventOrderChecker(std::optional<std::uint64_t> lastDeliveredId = std::nullopt)
        : m_lastDeliveredId(lastDeliveredId)
    { }

    EventVerdict check(const std::optional<std::uint64_t> &id);
    const std::optional<std::uint64_t> &lastDeliveredId() const { return m_lastDeliveredId; }

private:
    std::optional<std::uint64_t> m_lastDeliveredId;
};

} // namespace dogwoodvalve
