#pragma once

#include "cli/commands.h"

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/timer_service.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Asks the entry host that the flags name. Errors carry the host's own message and remedy.
Result<nlohmann::json> callOperatorApi(std::string_view method, std::string_view path,
                                       std::string_view query = "", const std::string &body = "",
                                       Duration timeout = 5s);

/// Prints an error to standard error in one line and returns the exit code that fits.
ExitCode reportError(const Error &error);

/// Whether --output json was given.
bool wantsJson();

/// Prints a JSON value for scripts.
void printJson(const nlohmann::json &value);

} // namespace dogwoodvalve
