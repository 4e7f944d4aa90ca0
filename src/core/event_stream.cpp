#include "core/mutation.h"

#include <dogwoodvalve/event_stream.h>

#include <charconv>

namespace dogwoodvalve {

namespace {

/// Consumed bytes are removed from the buffer once there are more than this, so that the rest is
/// not moved for each event.
constexpr std::size_t CompactionThresholdBytes = 16 * 1024;

/// Returns the value of the first id field that is a decimal number.
std::optional<std::uint64_t> parseEventId(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.substr(0, Field.size()) != Field)
            continue;
        line.remove_prefix(Field.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        std::uint64_t id = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec == std::errc() && parsed.ptr == line.data() + line.size())
            return id;
    }
    return std::nullopt;
}

/// Returns the length of the first event including its blank line, or 0 if it is incomplete.
std::size_t firstEventLength(std::string_view bytes)
{
    const std::size_t plain = bytes.find("\n\n");
    const std::size_t carriage = bytes.find("\r\n\r\n");
    if (plain == std::string_view::npos && carriage == std::string_view::npos)
        return 0;
    return plain < carriage ? plain + 2 : carriage + 4;
}

} // namespace

EventSplitter::EventSplitter(std::size_t maxEventBytes)
    : m_maxEventBytes(maxEventBytes)
{ }

void EventSplitter::append(std::string_view part)
{
    if (m_consumed == m_buffer.size()) {
        m_buffer.clear();
        m_consumed = 0;
    } else if (m_consumed > CompactionThresholdBytes) {
        m_buffer.erase(0, m_consumed);
        m_consumed = 0;
    }
    m_buffer += part;
}

std::optional<StreamEvent> EventSplitter::next()
{
    const std::string_view rest = std::string_view(m_buffer).substr(m_consumed);
    const std::size_t length = firstEventLength(rest);
    if (length == 0)
        return std::nullopt;
    m_consumed += length;
    const std::string_view bytes = rest.substr(0, length);
    return StreamEvent {bytes, parseEventId(bytes)};
}

void EventSplitter::discardUnfinished()
{
    m_buffer.clear();
    m_consumed = 0;
}

EventVerdict EventOrderChecker::check(const std::optional<std::uint64_t> &id)
{
    if (!id)
        return m_lastDeliveredId ? EventVerdict::OutOfOrder : EventVerdict::Deliver;
    if (m_lastDeliveredId && *id <= *m_lastDeliveredId && !mutated("gateway-repeat-events"))
        return EventVerdict::Duplicate;
    if (m_lastDeliveredId && *id != *m_lastDeliveredId + 1 && !mutated("gateway-skip-events"))
        return EventVerdict::OutOfOrder;
    m_lastDeliveredId = id;
    return EventVerdict::Deliver;
}

} // namespace dogwoodvalve
