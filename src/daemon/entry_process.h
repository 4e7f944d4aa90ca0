#pragma once

#include "daemon/settings.h"

namespace dogwoodvalve {

/// Runs an entry host until it is told to end. The first SIGTERM or SIGINT drains: no new request
/// is taken, running ones finish; a second one ends at once. Returns the exit code.
int runEntryProcess(const EntrySettings &settings);

} // namespace dogwoodvalve
