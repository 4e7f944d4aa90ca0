#pragma once

#include "daemon/entry_context.h"
#include "net/http_server.h"

#include <dogwoodvalve/sequence.h>

#include <memory>

namespace dogwoodvalve {

/// Final answer to a request that did not complete, in the chat-completions dialect: the outcome
/// is named in the body and in a header, with when to come back and where else to go.
void respondFailure(EntryContext &context, const std::shared_ptr<HttpExchange> &exchange,
                    int status, const Error &error, Outcome outcome, Duration retryAfter);

/// The HTTP status that fits an error.
int httpStatus(const Error &error);

/// Header fields that each answer carries.
std::vector<HttpField> commonFields(EntryContext &context, std::string_view contentType,
                                    std::string_view outcome);

/// The caller's workspace by its bearer key, or an Unauthorized error.
Result<const ConfiguredWorkspace *> authenticate(const Configuration &configuration,
                                                 const HttpExchange &exchange);

/// This host's share of a workspace's limits.
WorkspaceLimits perHomeLimits(const WorkspaceLimits &limits,
                              const EntryContext::WorkspaceHomes &homes);

} // namespace dogwoodvalve
