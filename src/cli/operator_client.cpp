#include "cli/operator_client.h"

#include "net/blocking_http_client.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(entry, "127.0.0.1:9001", "operator address of an entry host, IP:PORT");
DEFINE_string(token, "", "operator token; default: the environment's DOGWOODVALVE_TOKEN");
DEFINE_string(output, "text", "text or json");

namespace dogwoodvalve {

using nlohmann::json;

namespace {

ErrorKind errorKindFromString(const std::string &text)
{
    for (const ErrorKind kind :
         {ErrorKind::InvalidArgument, ErrorKind::NotFound, ErrorKind::Conflict,
          ErrorKind::Unavailable, ErrorKind::Timeout, ErrorKind::Overloaded,
          ErrorKind::Unauthorized, ErrorKind::Malformed, ErrorKind::TooLarge, ErrorKind::Expired}) {
        if (toString(kind) == text)
            return kind;
    }
    return ErrorKind::Internal;
}

Error errorFromBody(const json &body, int status)
{
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
        return {ErrorKind::Unavailable,
                "the entry host answered with status " + std::to_string(status),
                "check that --entry is an operator address"};
    const json &error = body["error"];
    return {errorKindFromString(error.value("kind", "")), error.value("message", ""),
            error.value("remedy", "")};
}

std::string operatorToken()
{
    if (!FLAGS_token.empty())
        return FLAGS_token;
    const char *token = std::getenv("DOGWOODVALVE_TOKEN");
    return token ? token : "";
}

} // namespace

Result<json> callOperatorApi(std::string_view method, std::string_view path, std::string_view query,
                             const std::string &body, Duration timeout)
{
    BlockingHttpRequest request;
    request.method = method;
    request.path = path;
    request.query = query;
    request.body = body;
    request.bearerToken = operatorToken();
    request.timeout = timeout;
    const auto reply = sendBlockingRequest(FLAGS_entry, request);
    if (!reply)
        return reply.error();
    json answer = json::parse(reply.value().body, nullptr, false);
    if (reply.value().status != 200 || !answer.is_object())
        return errorFromBody(answer, reply.value().status);
    return answer;
}

ExitCode reportError(const Error &error)
{
    if (wantsJson())
        printJson({{"error",
                    {{"kind", toString(error.kind)},
                     {"message", error.message},
                     {"remedy", error.remedy}}}});
    std::fprintf(stderr, "dogwoodvalve: %s\n", error.describe().c_str());
    switch (error.kind) {
    case ErrorKind::Conflict:
        return ExitCode::Rejected;
    case ErrorKind::Timeout:
        return ExitCode::Unknown;
    case ErrorKind::Unavailable:
    case ErrorKind::Unauthorized:
        return ExitCode::Unreachable;
    default:
        return ExitCode::Invalid;
    }
}

bool wantsJson()
{
    return FLAGS_output == "json";
}

void printJson(const json &value)
{
    std::printf("%s\n", value.dump(2, ' ', false, json::error_handler_t::replace).c_str());
}

} // namespace dogwoodvalve
