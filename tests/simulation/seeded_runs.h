#pragma once

#include <gflags/gflags.h>

#include <cstdint>
#include <cstdlib>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(runs, 10, "runs, each with a seed of its own");

namespace dogwoodvalve::simulation {

/// The main function of a soak: runs Run(seed).run() for each seed, which returns the number of
/// violations, and fails if there was any.
template <class Run>
int runSeeds(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    int violations = 0;
    for (int i = 0; i < FLAGS_runs; ++i)
        violations += Run(FLAGS_seed + static_cast<std::uint64_t>(i)).run();
    return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace dogwoodvalve::simulation
