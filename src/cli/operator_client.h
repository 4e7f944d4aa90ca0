#pragma once

#include "cli/commands.h"

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/timer_service.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Sends a request to the operator API of the entry host given by --entry. If the host replies with
/// an error, its message and remedy are returned.
Result<nlohmann::json> callOperatorApi(std::string_view method, std::string_view path,
                                       std::string_view query = "", const std::string &body = "",
                                       Duration timeout = 5s);

/// Prints an error to standard error in one line, with --output json also as JSON to standard
/// output, and returns the matching exit code.
ExitCode reportError(const Error &error);

/// Whether --output json was given.
bool wantsJson();

/// Prints an indented JSON value to standard output.
void printJson(const nlohmann::json &value);

} // namespace dogwoodvalve
