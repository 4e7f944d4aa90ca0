#pragma once

#include <dogwoodvalve/timer_service.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace dogwoodvalve {

/// The times at which one host, engine or link was disturbed, to tell whether a lost answer is
/// excused.
class DisturbanceLog
{
public:
    void begin(TimePoint now)
    {
        if (!m_since)
            m_since = now;
    }
    void end(TimePoint now)
    {
        if (m_since)
            m_spans.emplace_back(*m_since, now);
        m_since.reset();
    }
    /// Notes something that takes no time.
    void note(TimePoint now) { m_spans.emplace_back(now, now); }

    /// Whether there was a disturbance at any moment of a span of time.
    bool overlaps(TimePoint from, TimePoint to) const
    {
        const bool before =
            std::any_of(m_spans.begin(), m_spans.end(), [from, to](const auto &span) {
                return span.first <= to && span.second >= from;
            });
        return before || (m_since && *m_since <= to);
    }

private:
    std::vector<std::pair<TimePoint, TimePoint>> m_spans;
    std::optional<TimePoint> m_since;
};

} // namespace dogwoodvalve
