#include "daemon/rcu_pointer.h"
#include "simulation/sim_world.h"

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(runs, 0, "number of runs; 0: as many as fit in the time");
DEFINE_double(seconds, 60, "how long to go on");
DEFINE_bool(history, false, "print the history of every run");

namespace dogwoodvalve::simulation {
namespace {

/// Totals over all runs.
struct Totals
{
    WorldCounts counts;
    int runs = 0;
    int violations = 0;
};

void addTo(Totals &totals, const WorldCounts &counts)
{
    ++totals.runs;
    totals.counts.events += counts.events;
    totals.counts.requests += counts.requests;
    totals.counts.complete += counts.complete;
    totals.counts.notRun += counts.notRun;
    totals.counts.unknown += counts.unknown;
    totals.counts.timedOut += counts.timedOut;
    totals.counts.changes += counts.changes;
    for (const auto &[kind, n] : counts.faults)
        totals.counts.faults[kind] += n;
}

/// Sizes and policy of a run follow from its seed.
WorldOptions optionsFor(std::uint64_t seed)
{
    Random random(seed);
    WorldOptions options;
    options.seed = seed;
    options.entries = 3 + static_cast<int>(random.below(4));
    options.stages = 1 + static_cast<int>(random.below(3));
    options.serversPerStage = 2 + static_cast<int>(random.below(2));
    options.policy = routingPolicyNames()[random.below(routingPolicyNames().size())];
    return options;
}

void report(std::uint64_t seed, const SimWorld &world)
{
    std::printf("seed %llu: %zu violations, replay with: soak --seed %llu --runs 1\n",
                static_cast<unsigned long long>(seed), world.violations().size(),
                static_cast<unsigned long long>(seed));
    for (const Violation &violation : world.violations())
        std::printf("  %s\n", violation.text.c_str());
    std::printf("  history:\n");
    for (const std::string &line : world.history())
        std::printf("    %s\n", line.c_str());
}

int run()
{
    const RcuThreadRegistration registration;
    Totals totals;
    const auto start = std::chrono::steady_clock::now();
    const auto elapsed = [start] {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    };
    for (std::uint64_t seed = FLAGS_seed;
         FLAGS_runs > 0 ? totals.runs < FLAGS_runs : elapsed() < FLAGS_seconds; ++seed) {
        SimWorld world(optionsFor(seed));
        runRandomised(world, 30s);
        addTo(totals, world.counts());
        totals.violations += static_cast<int>(world.violations().size());
        if (!world.violations().empty() || FLAGS_history)
            report(seed, world);
        if (FLAGS_runs == 1)
            std::printf("history digest %016llx\n",
                        static_cast<unsigned long long>(world.historyDigest()));
    }
    const WorldCounts &counts = totals.counts;
    std::printf("runs=%d events=%llu requests=%d complete=%d not_run=%d unknown=%d timed_out=%d "
                "changes=%d violations=%d seconds=%.1f\n",
                totals.runs, static_cast<unsigned long long>(counts.events), counts.requests,
                counts.complete, counts.notRun, counts.unknown, counts.timedOut, counts.changes,
                totals.violations, elapsed());
    for (const auto &[kind, n] : counts.faults)
        std::printf("  fault %-26s %d\n", kind.c_str(), n);
    return totals.violations == 0 ? 0 : 1;
}

} // namespace
} // namespace dogwoodvalve::simulation

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return dogwoodvalve::simulation::run();
}
