#pragma once

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace dogwoodvalve {

/// The request rate that one start of a server accepts from all hosts together.
struct RateLimitReport
{
    /// Start of the server, Unix time in ms.
    std::int64_t startedAtMs = 0;
    /// Requests per second; absent if the server accepts any rate again.
    std::optional<double> perSecond;
    /// Time since the server's answer that shows it.
    Duration age {};
};

/// Reports by server id.
using RateLimitReports = std::map<std::string, RateLimitReport>;

} // namespace dogwoodvalve
