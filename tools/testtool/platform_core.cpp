#include "platform_core.h"

#include <algorithm>

namespace dogwoodvalve::testtool {

Result<LogOffset> PlatformCore::append(std::string_view stream, std::string record)
{
    const TimePoint now = m_timers.now();
    const auto passed = static_cast<double>((now - m_refilledAt).count()) / 1e6;
    m_tokens = std::min(m_appendsPerSecond, m_tokens + passed * m_appendsPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1)
        return Error {ErrorKind::Overloaded, "the log's rate is exceeded", "append more slowly"};
    m_tokens -= 1;
    ++m_appends;
    Stream &target = m_streams[std::string(stream)];
    target.records.push_back(std::move(record));
    const LogOffset offset = target.firstKept + target.records.size() - 1;
    while (target.records.size() > m_recordsKept) {
        target.records.pop_front();
        ++target.firstKept;
    }
    return offset;
}

LogPage PlatformCore::read(std::string_view stream, LogOffset from, std::size_t most) const
{
    LogPage page;
    page.from = from;
    const auto it = m_streams.find(stream);
    if (it == m_streams.end())
        return page;
    const Stream &source = it->second;
    page.firstKept = source.firstKept;
    page.end = source.firstKept + source.records.size();
    if (from < source.firstKept)
        return page;
    for (LogOffset at = from; at < page.end && page.records.size() < most; ++at)
        page.records.push_back(source.records[at - source.firstKept]);
    return page;
}

} // namespace dogwoodvalve::testtool
