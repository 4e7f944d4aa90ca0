#pragma once

#include "cli/commands.h"

namespace dogwoodvalve {

ExitCode runApply(const Arguments &files);
ExitCode runDiff(const Arguments &files);
ExitCode runCheck(const Arguments &files);
ExitCode runDrain(const Arguments &arguments);

} // namespace dogwoodvalve
