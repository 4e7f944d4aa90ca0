#pragma once

#include "cli/commands.h"

namespace dogwoodvalve {

ExitCode runGet(const Words &words);
ExitCode runStatus(const Words &words);
ExitCode runExplain(const Words &words);
ExitCode runEntry(const Words &words);
ExitCode runGateway(const Words &words);

} // namespace dogwoodvalve
