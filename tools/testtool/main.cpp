#include "caller.h"
#include "engine_server.h"
#include "load_report.h"
#include "net/asio_loop_services.h"
#include "net/endpoint.h"
#include "path_fleet.h"
#include "platform_server.h"
#include "relay.h"
#include "service_server.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(listen, "127.0.0.1:6000", "address to listen on; engines take the ports that follow");
DEFINE_int32(count, 1, "engines: how many, on ports one after another");
DEFINE_string(model, "m", "engines: name of the model");
DEFINE_int32(first_layer, 0, "engines: first layer");
DEFINE_int32(last_layer, 11, "engines: last layer");
DEFINE_int32(batch, 16, "engines: sequences in a step");
DEFINE_int32(step_micros, 20000, "engines: time of a step");
DEFINE_int32(prefill_micros, 100, "engines: time for each position of a prompt");
DEFINE_double(appends_per_second, 400, "platform: rate of the log");
DEFINE_int32(records_kept, 100000, "platform: records that a stream keeps");
DEFINE_string(target, "", "relay: where connections go");
DEFINE_string(control, "", "relay: address that switches faults");
DEFINE_string(entries, "127.0.0.1:8001", "load: caller addresses, separated by commas");
DEFINE_string(key, "demo-key", "load: key of the workspace");
DEFINE_string(pipeline, "chat", "load: pipeline");
DEFINE_int32(layers, 24, "load: layers of the model, for the expected answers");
DEFINE_double(rate, 10, "load: requests a second");
DEFINE_double(seconds, 10, "load: duration");
DEFINE_int32(burst, 0, "load: this many requests at once instead");
DEFINE_int32(min_tokens, 8, "load: shortest answer");
DEFINE_int32(max_tokens, 32, "load: longest answer");
DEFINE_int32(min_prompt, 40, "load: shortest prompt, in characters");
DEFINE_int32(max_prompt, 400, "load: longest prompt, in characters");
DEFINE_double(shared_prefix, 0, "load: share of requests with a common prefix");
DEFINE_double(keyed, 0, "load: share of requests with a key");
DEFINE_int32(patience_seconds, 60, "load: a request that takes longer has failed");
DEFINE_uint64(seed, 1, "seed of all random choices");
DEFINE_bool(come_back, false, "load: send refused requests again when the answer says");
DEFINE_string(report, "", "load: file for the results as JSON");

namespace dogwoodvalve::testtool {
namespace {

boost::asio::ip::tcp::endpoint endpointOf(const std::string &text)
{
    return parseEndpoint(text).value();
}

/// Runs a loop until SIGTERM or SIGINT.
int runUntilSignal(boost::asio::io_context &loop)
{
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&loop](boost::system::error_code, int) { loop.stop(); });
    loop.run();
    return 0;
}

int runPlatform()
{
    boost::asio::io_context loop(1);
    AsioTimerService timers(loop);
    PlatformServer server(loop, timers, FLAGS_appends_per_second,
                          static_cast<std::size_t>(FLAGS_records_kept), FLAGS_seed);
    server.listen(endpointOf(FLAGS_listen)).value();
    return runUntilSignal(loop);
}

int runEngines()
{
    boost::asio::io_context loop(1);
    AsioTimerService timers(loop);
    EngineProfile profile;
    profile.model = FLAGS_model;
    profile.layers = {FLAGS_first_layer, FLAGS_last_layer};
    profile.batch = FLAGS_batch;
    profile.stepTime = Duration(FLAGS_step_micros);
    profile.prefillPerToken = Duration(FLAGS_prefill_micros);
    std::vector<std::unique_ptr<EngineServer>> servers;
    auto endpoint = endpointOf(FLAGS_listen);
    for (int i = 0; i < FLAGS_count; ++i) {
        servers.push_back(std::make_unique<EngineServer>(
            loop, timers, profile, FLAGS_seed + static_cast<std::uint64_t>(i)));
        servers.back()->listen(endpoint).value();
        endpoint.port(static_cast<unsigned short>(endpoint.port() + 1));
    }
    return runUntilSignal(loop);
}

int runPathFleet()
{
    boost::asio::io_context loop(1);
    AsioTimerService timers(loop);
    PathFleet fleet(loop, timers, FLAGS_count);
    fleet.listen(endpointOf(FLAGS_listen)).value();
    return runUntilSignal(loop);
}

int runService()
{
    boost::asio::io_context loop(1);
    AsioTimerService timers(loop);
    ServiceServer server(loop, timers);
    server.listen(endpointOf(FLAGS_listen)).value();
    return runUntilSignal(loop);
}

int runRelay()
{
    boost::asio::io_context loop(1);
    Relay relay(loop, endpointOf(FLAGS_target));
    relay.listen(endpointOf(FLAGS_listen)).value();
    relay.listenControl(endpointOf(FLAGS_control)).value();
    return runUntilSignal(loop);
}

LoadOptions loadOptions()
{
    LoadOptions options;
    std::istringstream list(FLAGS_entries);
    for (std::string entry; std::getline(list, entry, ',');)
        options.entries.push_back(entry);
    options.key = FLAGS_key;
    options.pipeline = FLAGS_pipeline;
    options.model = FLAGS_model;
    options.layers = FLAGS_layers;
    options.rate = FLAGS_rate;
    options.seconds = FLAGS_seconds;
    options.burst = FLAGS_burst;
    options.minTokens = FLAGS_min_tokens;
    options.maxTokens = FLAGS_max_tokens;
    options.minPrompt = FLAGS_min_prompt;
    options.maxPrompt = FLAGS_max_prompt;
    options.sharedPrefix = FLAGS_shared_prefix;
    options.keyed = FLAGS_keyed;
    options.seed = FLAGS_seed;
    options.comeBack = FLAGS_come_back;
    options.patience = std::chrono::seconds(FLAGS_patience_seconds);
    return options;
}

/// Exit code 1: an answer was wrong.
int runLoad()
{
    boost::asio::io_context loop(1);
    AsioLoopServices services(loop);
    TimerService &timers = services.timers();
    const LoadOptions options = loadOptions();
    const std::vector<PlannedRequest> plan = planLoad(options);
    Caller caller(services, options);
    const TimePoint start = timers.now() + 200ms;
    LoadReport report(options, start);
    const auto done = [&](const PlannedRequest &request, const CallResult &result) {
        report.add(request, result);
        if (report.ended() == plan.size())
            loop.stop();
    };
    caller.lookUp([&](bool) {});
    for (const PlannedRequest &request : plan)
        timers.schedule(start + request.at, [&caller, &request, &done, start] {
            caller.call(request, start + request.at, done);
        });
    const auto keepAlive = boost::asio::make_work_guard(loop);
    if (!plan.empty())
        loop.run();
    std::cout << report.toText();
    if (!FLAGS_report.empty())
        std::ofstream(FLAGS_report) << report.toJson().dump(1) << '\n';
    return report.wrong() == 0 ? 0 : 1;
}

int run(const std::string &name)
{
    if (name == "platform")
        return runPlatform();
    if (name == "engines")
        return runEngines();
    if (name == "path-fleet")
        return runPathFleet();
    if (name == "service")
        return runService();
    if (name == "relay")
        return runRelay();
    if (name == "load")
        return runLoad();
    std::fprintf(
        stderr,
        "usage: dogwoodvalve-testtool platform|engines|path-fleet|service|relay|load [--FLAGS]\n");
    return 1;
}

} // namespace
} // namespace dogwoodvalve::testtool

int main(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return dogwoodvalve::testtool::run(name);
    } catch (const std::exception &e) {
        std::fprintf(stderr, "dogwoodvalve-testtool: %s\n", e.what());
        return 1;
    }
}
