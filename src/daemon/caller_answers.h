#pragma once

#include "daemon/entry_context.h"
#include "net/http_server.h"

#include <dogwoodvalve/sequence.h>

#include <memory>

namespace dogwoodvalve {

/// Sends the final answer to a request that did not complete, as an error body of the
/// chat-completions API. The body and a header state the outcome; a status that allows a retry
/// comes with `Retry-After` and the addresses of other entry hosts.
void respondFailure(EntryContext &context, const std::shared_ptr<HttpExchange> &exchange,
                    int status, const Error &error, Outcome outcome, Duration retryAfter);

/// The HTTP status code for an error.
int httpStatus(const Error &error);

/// Header fields of every answer.
std::vector<HttpField> commonFields(EntryContext &context, std::string_view contentType,
                                    std::string_view outcome);

/// Finds the caller's workspace by its bearer key. Fails with Unauthorized if the key is missing or
/// unknown.
Result<const ConfiguredWorkspace *> authenticate(const Configuration &configuration,
                                                 const HttpExchange &exchange);

/// This host's share of a workspace's limits, which are divided evenly among its home
/// hosts. A limit of concurrent requests is rounded up, so that each home host may run one.
WorkspaceLimits perHomeLimits(const WorkspaceLimits &limits,
                              const EntryContext::WorkspaceHomes &homes);

} // namespace dogwoodvalve
