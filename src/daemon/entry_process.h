#pragma once

#include "daemon/settings.h"

namespace dogwoodvalve {

/// Runs an entry host until it is drained or stopped. The first SIGTERM or SIGINT starts draining:
/// new requests are refused, running ones complete, and the process exits. A second signal exits at
/// once. Returns the exit code of the process.
int runEntryProcess(const EntrySettings &settings);

} // namespace dogwoodvalve
