#pragma once

#include "cli/commands.h"

namespace dogwoodvalve {

ExitCode runApply(const Words &files);
ExitCode runDiff(const Words &files);
ExitCode runCheck(const Words &files);
ExitCode runDrain(const Words &words);

} // namespace dogwoodvalve
