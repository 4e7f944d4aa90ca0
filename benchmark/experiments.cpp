#include "fleet_model.h"
#include "load_report.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <numeric>

DEFINE_uint64(seed, 1, "seed of the traffic");
DEFINE_string(policy, "score", "policy where an experiment compares none");
DEFINE_double(load, 1.2, "policies: load offered, against the bound");
DEFINE_string(series, "", "file for a series by second, for gnuplot");

namespace dogwoodvalve::experiments {
namespace {

/// Two stages on accelerators a factor of 10 apart and links a factor of 100.
std::vector<ServerGroup> mixedFleet()
{
    std::vector<ServerGroup> groups;
    for (int stage = 0; stage < 2; ++stage) {
        groups.push_back({stage, 4, 4ms, 16, 100us, "zone-a"});
        groups.push_back({stage, 6, 12ms, 16, 1ms, "zone-b"});
        groups.push_back({stage, 6, 40ms, 16, 10ms, "zone-c"});
    }
    return groups;
}

FleetOptions mixedOptions(double load)
{
    FleetOptions options;
    options.groups = mixedFleet();
    options.policy = FLAGS_policy;
    options.seed = FLAGS_seed;
    Traffic traffic;
    traffic.tokens = 32;
    options.traffic = {traffic};
    const double bound = FleetModel(options).hardwareBound();
    options.traffic[0].requestsPerSecond = load * bound / traffic.tokens;
    return options;
}

void printHead()
{
    std::printf("%-24s %8s %9s %8s %8s %8s %9s %9s %9s %9s\n", "case", "tokens/s", "of bound",
                "complete", "refused", "failed", "first p50", "first p95", "gap p50", "gap p95");
}

void printRow(const std::string &name, const FleetResult &result, double bound)
{
    std::printf("%-24s %8.0f %9.3f %8d %8d %8d %9.1f %9.1f %9.1f %9.1f\n", name.c_str(),
                result.tokensPerSecond, result.tokensPerSecond / bound, result.complete,
                result.refused, result.failed, testtool::percentileMillis(result.firstTokens, 0.5),
                testtool::percentileMillis(result.firstTokens, 0.95),
                testtool::percentileMillis(result.gaps, 0.5),
                testtool::percentileMillis(result.gaps, 0.95));
}

FleetResult runRow(const std::string &name, const FleetOptions &options)
{
    FleetModel model(options);
    const FleetResult result = model.run();
    printRow(name, result, model.hardwareBound());
    return result;
}

/// Tokens by second with refusals, for a plot.
void writeSeries(const FleetResult &result)
{
    if (FLAGS_series.empty())
        return;
    std::FILE *out = std::fopen(FLAGS_series.c_str(), "w");
    if (!out)
        return;
    std::fprintf(out, "# second tokens refused\n");
    for (std::size_t at = 0; at < result.tokensBySecond.size(); ++at)
        std::fprintf(out, "%zu %d %d\n", at, result.tokensBySecond[at],
                     at < result.refusedBySecond.size() ? result.refusedBySecond[at] : 0);
    std::fclose(out);
}

void saturation()
{
    std::printf("saturation: offered 1.2 of the bound\n");
    printHead();
    const FleetOptions options = mixedOptions(1.2);
    const FleetResult result = runRow(FLAGS_policy, options);
    for (std::size_t i = 0; i < options.groups.size(); ++i)
        std::printf("  stage %d, step %lld ms: %.2f of its steps used\n", options.groups[i].stage,
                    static_cast<long long>(options.groups[i].stepTime / 1ms), result.useByGroup[i]);
}

void policies()
{
    std::printf("policies side by side, offered %.1f of the bound\n", FLAGS_load);
    printHead();
    std::vector<std::string> names(routingPolicyNames().begin(), routingPolicyNames().end());
    names.emplace_back("oracle");
    for (const std::string &name : names) {
        FleetOptions options = mixedOptions(FLAGS_load);
        options.policy = name;
        runRow(name, options);
    }
}

void surge()
{
    std::printf("surge from 0.3 to 0.9 of the bound at 20 s, zone-b lost from 40 s to 55 s\n");
    FleetOptions options = mixedOptions(0.3);
    Traffic surge = options.traffic[0];
    surge.requestsPerSecond *= 2;
    surge.from = 20s;
    surge.until = 70s;
    options.traffic.push_back(surge);
    options.duration = 90s;
    options.warmUp = 20s;
    FleetModel model(options);
    model.loseZone("zone-b", 40s, 55s);
    const FleetResult result = model.run();
    printHead();
    printRow(FLAGS_policy, result, model.hardwareBound());
    const auto mean = [&](std::size_t from, std::size_t to) {
        const auto &seconds = result.tokensBySecond;
        return std::accumulate(seconds.begin() + static_cast<std::ptrdiff_t>(from),
                               seconds.begin() + static_cast<std::ptrdiff_t>(to), 0.0)
            / static_cast<double>(to - from);
    };
    const double before = mean(30, 40);
    const double during = mean(45, 55);
    std::size_t steady = 40;
    while (steady < 55 && result.tokensBySecond[steady] < 0.9 * during)
        ++steady;
    std::size_t back = 55;
    while (back < 70 && result.tokensBySecond[back] < 0.9 * before)
        ++back;
    const int refusals =
        std::accumulate(result.refusedBySecond.begin(), result.refusedBySecond.end(), 0);
    std::printf("tokens/s before %.0f, with the zone lost %.0f; steady again %zu s after the loss, "
                "back %zu s after the return; refused in all %d; longest gap %.0f ms\n",
                before, during, steady - 40, back - 55, refusals,
                testtool::percentileMillis(result.gaps, 1.0));
    writeSeries(result);
}

void prefixes()
{
    std::printf("four hot prompts of 2,048 characters in 80%% of requests, offered 0.6 of the "
                "bound\n");
    printHead();
    for (const char *name : {"random", "least-outstanding", "two-choices", "score"}) {
        FleetOptions options = mixedOptions(0.6);
        options.policy = name;
        options.sharedPrompts = 40;
        options.traffic[0].sharedPrefix = 0.8;
        const FleetResult result = runRow(name, options);
        std::printf("  cache hit rate %.3f\n", result.cacheHitRate);
    }
}

void overload()
{
    std::printf("overload\n");
    printHead();
    double peak = 0;
    for (const double load : {0.9, 1.0, 1.1, 2.0, 5.0}) {
        const FleetResult result =
            runRow(std::to_string(load).substr(0, 3) + " offered", mixedOptions(load));
        peak = std::max(peak, result.tokensPerSecond);
        std::printf("  of the peak so far %.3f; refusals after p50 %.1f ms, p95 %.1f ms\n",
                    result.tokensPerSecond / peak,
                    testtool::percentileMillis(result.refusalWaits, 0.5),
                    testtool::percentileMillis(result.refusalWaits, 0.95));
    }
}

void noisy()
{
    std::printf("a workspace at ten times its share beside four modest ones, each 0.1 of the "
                "bound\n");
    const auto modestP95 = [](bool priority, bool withNoise, double noisyWeight) {
        FleetOptions options = mixedOptions(0.1);
        options.priorityQueue = priority;
        const Traffic base = options.traffic[0];
        options.traffic.clear();
        for (int i = 0; i < 4; ++i) {
            Traffic modest = base;
            modest.workspace = "modest-" + std::to_string(i);
            options.traffic.push_back(modest);
        }
        if (withNoise) {
            Traffic greedy = base;
            greedy.workspace = "greedy";
            greedy.requestsPerSecond *= 10;
            greedy.weight = noisyWeight;
            options.traffic.push_back(greedy);
        }
        FleetModel model(options);
        const FleetResult result = model.run();
        std::vector<Duration> all;
        for (const auto &[workspace, totals] : result.totalByWorkspace) {
            if (workspace != "greedy")
                all.insert(all.end(), totals.begin(), totals.end());
        }
        std::printf("  queue=%s greedy=%d weight=%.0f: modest p50 %.0f ms p95 %.0f ms, %zu "
                    "complete; refused in all %d\n",
                    priority ? "priority" : "weighted-fair", withNoise, noisyWeight,
                    testtool::percentileMillis(all, 0.5), testtool::percentileMillis(all, 0.95),
                    all.size(), result.refused);
        return testtool::percentileMillis(all, 0.95);
    };
    const double quiet = modestP95(false, false, 1);
    const double fair = modestP95(false, true, 1);
    const double strict = modestP95(true, true, 1);
    const double strictHigh = modestP95(true, true, 2);
    std::printf("p95 of the modest against the quiet run: weighted-fair %.2f, priority %.2f, "
                "priority with a favoured greedy one %.2f\n",
                fair / quiet, strict / quiet, strictHigh / quiet);
}

int run(const std::string &name)
{
    const std::map<std::string, std::function<void()>> all {
        {"saturation", saturation}, {"policies", policies}, {"surge", surge},
        {"prefixes", prefixes},     {"overload", overload}, {"noisy", noisy}};
    const auto it = all.find(name);
    if (it == all.end()) {
        std::fprintf(stderr,
                     "usage: experiments saturation|policies|surge|prefixes|overload|noisy\n");
        return 1;
    }
    it->second();
    return 0;
}

} // namespace
} // namespace dogwoodvalve::experiments

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return dogwoodvalve::experiments::run(argc > 1 ? argv[1] : "");
}
