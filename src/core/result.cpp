#include <dogwoodvalve/invariant.h>
#include <dogwoodvalve/result.h>

#include <atomic>

namespace dogwoodvalve {

std::string_view toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return "invalid_argument";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::Malformed:
        return "malformed";
    case ErrorKind::TooLarge:
        return "too_large";
    case ErrorKind::Expired:
        return "expired";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

std::string Error::describe() const
{
    if (remedy.empty())
        return message;
    return message + "; " + remedy;
}

namespace {

std::atomic<InvariantHandler> installedHandler {nullptr};
std::atomic<std::uint64_t> failureCount {0};

} // namespace

InvariantHandler setInvariantHandler(InvariantHandler handler)
{
    return installedHandler.exchange(handler);
}

void reportInvariantFailure(std::string_view description)
{
    failureCount.fetch_add(1, std::memory_order_relaxed);
    if (const InvariantHandler handler = installedHandler.load())
        handler(description);
}

std::uint64_t invariantFailures()
{
    return failureCount.load(std::memory_order_relaxed);
}

} // namespace dogwoodvalve
