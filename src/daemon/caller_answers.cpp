#include "daemon/caller_answers.h"

#include "net/http_text.h"

#include <dogwoodvalve/membership.h>

#include <openssl/sha.h>

#include <algorithm>
#include <cmath>

namespace dogwoodvalve {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::size_t MaxOtherEntries = 4;

std::string otherEntryAddresses(const EntryContext &context)
{
    std::string list;
    std::size_t n = 0;
    for (const Member &member : context.members()) {
        if (member.state != MemberState::Alive || member.name == context.settings().name)
            continue;
        if (n++ == MaxOtherEntries)
            break;
        list += (list.empty() ? "" : ", ") + member.address;
    }
    return list;
}

} // namespace

int httpStatus(const Error &error)
{
    switch (error.kind) {
    case ErrorKind::InvalidArgument:
    case ErrorKind::Malformed:
        return 400;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::Overloaded:
        return 429;
    case ErrorKind::Timeout:
        return 504;
    case ErrorKind::Unavailable:
    case ErrorKind::Expired:
        return 503;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

std::vector<HttpField> commonFields(EntryContext &context, std::string_view contentType,
                                    std::string_view outcome)
{
    const KeyPrefix prefix =
        context.withKeyLedger([&](KeyLedger &keys) { return keys.currentPrefix(context.now()); });
    return {{"Content-Type", std::string(contentType)},
            {"Dogwoodvalve-Outcome", std::string(outcome)},
            {"Dogwoodvalve-Key-Prefix", prefix.text()},
            {"Cache-Control", "no-cache"}};
}

void respondFailure(EntryContext &context, const std::shared_ptr<HttpExchange> &exchange,
                    int status, const Error &error, Outcome outcome, Duration retryAfter)
{
    std::vector<HttpField> fields = commonFields(
        context, "application/json", outcome == Outcome::NotRun ? "not-run" : "unknown");
    const bool retryable = status == 429 || status == 503 || status == 504;
    if (retryable) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        fields.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1))});
        const std::string others = otherEntryAddresses(context);
        if (!others.empty())
            fields.push_back({"Dogwoodvalve-Other-Entries", others});
    }
    exchange->respond(status, fields, errorBody(error, toString(outcome)));
    context.metrics().countRequest(outcome);
    context.metrics().countRefusal(error.kind);
}

Result<const ConfiguredWorkspace *> authenticate(const Configuration &configuration,
                                                 const HttpExchange &exchange)
{
    const std::string_view header = exchange.header("Authorization");
    const Error refused {ErrorKind::Unauthorized, "the key is missing or not known",
                         "send 'Authorization: Bearer KEY' with a key of a workspace"};
    const bool bearer = header.size() > BearerPrefix.size()
        && equalsIgnoringCase(header.substr(0, BearerPrefix.size()), BearerPrefix);
    if (!bearer)
        return refused;
    const std::string_view key = header.substr(BearerPrefix.size());
    // Keys are looked up by hash, so the time of the look-up reveals nothing about the key itself.
    KeyHash hash {};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), hash.data());
    const ConfiguredWorkspace *workspace = configuration.workspaceByKey(hash);
    if (!workspace)
        return refused;
    return workspace;
}

WorkspaceLimits perHomeLimits(const WorkspaceLimits &limits,
                              const EntryContext::WorkspaceHomes &homes)
{
    WorkspaceLimits perHome = limits;
    const auto n = static_cast<double>(homes.count);
    perHome.requestsPerSecond = limits.requestsPerSecond / n;
    perHome.tokensPerSecond = limits.tokensPerSecond / n;
    if (limits.concurrentRequests > 0)
        perHome.concurrentRequests =
            std::max(1, static_cast<int>(std::ceil(limits.concurrentRequests / n)));
    return perHome;
}

} // namespace dogwoodvalve
