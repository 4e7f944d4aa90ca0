#pragma once

#include "cli/commands.h"

namespace dogwoodvalve {

ExitCode runGet(const Arguments &arguments);
ExitCode runStatus(const Arguments &arguments);
ExitCode runExplain(const Arguments &arguments);
ExitCode runEntry(const Arguments &arguments);
ExitCode runGateway(const Arguments &arguments);

} // namespace dogwoodvalve
