#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// One complete event of a text/event-stream body (server-sent events).
struct StreamEvent
{
    /// All bytes of the event, including the blank line that ends it. Valid until the next call of
    /// append() or discardUnfinished().
    std::string_view bytes;
    /// Value of the id field, if there is one and it is a decimal number.
    std::optional<std::uint64_t> id;
};

/// Splits a byte stream into complete events. Chunks may end anywhere, also within an event.
class EventSplitter
{
public:
    explicit EventSplitter(std::size_t maxEventBytes = 1U << 20);

    /// Adds the next chunk of the stream.
    void append(std::string_view part);
    /// Removes and returns the next complete event, if there is one.
    std::optional<StreamEvent> next();
    /// Buffered bytes after the last complete event.
    std::size_t unfinishedBytes() const { return m_buffer.size() - m_consumed; }
    /// Whether an incomplete event is longer than the limit. Such a stream is treated as corrupt.
    bool overflowed() const { return unfinishedBytes() > m_maxEventBytes; }
    /// Drops an incomplete event, before the stream is resumed on another server.
    void discardUnfinished();

private:
    std::size_t m_maxEventBytes;
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

/// Whether an event may be sent on to the caller.
enum class EventVerdict {
    Deliver,
    /// It was delivered before and must be dropped.
    Duplicate,
    /// Earlier events are missing, or it has no id although previous events had one.
    OutOfOrder,
};

/// Checks that the ids of the events delivered to a caller increase by exactly one, also when the
/// stream is resumed on another server. Streams without ids are not checked.
class EventOrderChecker
{
public:
    /// For a stream that the caller resumes, pass the id of the last event that it received.
    explicit EventOrderChecker(std::optional<std::uint64_t> lastDeliveredId = std::nullopt)
        : m_lastDeliveredId(lastDeliveredId)
    { }

    /// Decides on an event, and records its id as delivered if the verdict is Deliver.
    EventVerdict check(const std::optional<std::uint64_t> &id);
    const std::optional<std::uint64_t> &lastDeliveredId() const { return m_lastDeliveredId; }

private:
    std::optional<std::uint64_t> m_lastDeliveredId;
};

} // namespace dogwoodvalve
