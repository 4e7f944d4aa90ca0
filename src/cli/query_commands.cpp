#include "cli/query_commands.h"

#include "cli/operator_client.h"
#include "codec/yaml_reader.h"
#include "daemon/entry_process.h"
#include "gateway/gateway_process.h"
#include "platform/adapter.h"

#include <gflags/gflags.h>

#include <cstdio>

DECLARE_string(settings);
DEFINE_string(change, "", "id of the change whose outcome to show");
DEFINE_string(pipeline, "", "name of a pipeline");
DEFINE_string(workspace, "", "name of a workspace");

namespace dogwoodvalve {

using nlohmann::json;

namespace {

ExitCode printOutcome()
{
    const Result<json> answer = callOperatorApi("GET", "/operator/outcome", "id=" + FLAGS_change);
    if (!answer)
        return reportError(answer.error());
    if (wantsJson()) {
        printJson(answer.value());
        return ExitCode::Done;
    }
    const bool accepted = answer.value().value("accepted", false);
    std::printf("change %s: %s%s\n", FLAGS_change.c_str(),
                accepted ? "accepted" : "rejected: ", answer.value().value("reason", "").c_str());
    return accepted ? ExitCode::Done : ExitCode::Rejected;
}

std::string displayText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printStage(const json &stage)
{
    std::printf("layers %s (draining %s, failing %s)\n", displayText(stage["layers"]).c_str(),
                displayText(stage["draining"]).c_str(), displayText(stage["ejected"]).c_str());
    std::printf("  %-24s %12s %8s %10s %10s %10s\n", "server", "score_us", "load", "step_us",
                "link_us", "prefix_us");
    for (const json &it : stage["candidates"])
        std::printf("  %-24s %12.0f %8.1f %10.0f %10.0f %10.0f\n",
                    displayText(it["server"]).c_str(), it["scoreMicros"].get<double>(),
                    it["load"].get<double>(), it["stepMicros"].get<double>(),
                    it["linkMicros"].get<double>(), it["prefixMicros"].get<double>());
}

} // namespace

ExitCode runGet(const Arguments &arguments)
{
    if (!FLAGS_change.empty())
        return printOutcome();
    std::string query;
    if (!arguments.empty())
        query = "kind=" + arguments[0];
    if (arguments.size() > 1)
        query += "&name=" + arguments[1];
    const Result<json> answer = callOperatorApi("GET", "/operator/objects", query);
    if (!answer)
        return reportError(answer.error());
    if (wantsJson()) {
        printJson(answer.value());
        return ExitCode::Done;
    }
    for (const json &it : answer.value()["objects"])
        std::printf("%s/%s version=%s change=%s %s\n", displayText(it["kind"]).c_str(),
                    displayText(it["name"]).c_str(), displayText(it["version"]).c_str(),
                    displayText(it["change"]).c_str(), it["spec"].dump().c_str());
    return ExitCode::Done;
}

ExitCode runStatus(const Arguments &)
{
    const Result<json> answer = callOperatorApi("GET", "/operator/status");
    if (!answer)
        return reportError(answer.error());
    const json &status = answer.value();
    if (wantsJson()) {
        printJson(status);
        return ExitCode::Done;
    }
    for (const char *key : {"name", "configuration", "snapshot", "ready", "isolated", "draining",
                            "logReachable", "openRequests", "waitingRequests"})
        std::printf("%s: %s\n", key, displayText(status[key]).c_str());
    std::printf("members:\n");
    for (const json &it : status["members"])
        std::printf("  %-16s %-22s %-12s %s\n", displayText(it["name"]).c_str(),
                    displayText(it["address"]).c_str(), displayText(it["zone"]).c_str(),
                    displayText(it["state"]).c_str());
    std::printf("servers:\n");
    for (const json &it : status["servers"])
        std::printf("  %-24s in_flight=%s load=%.1f step_us=%s ejected=%s draining=%s\n",
                    displayText(it["name"]).c_str(), displayText(it["inFlight"]).c_str(),
                    it["load"].get<double>(), displayText(it["stepMicros"]).c_str(),
                    displayText(it["ejected"]).c_str(), displayText(it["draining"]).c_str());
    return ExitCode::Done;
}

ExitCode runExplain(const Arguments &)
{
    const Result<json> answer = callOperatorApi(
        "GET", "/operator/explain", "pipeline=" + FLAGS_pipeline + "&workspace=" + FLAGS_workspace);
    if (!answer)
        return reportError(answer.error());
    if (wantsJson()) {
        printJson(answer.value());
        return ExitCode::Done;
    }
    std::printf("pipeline %s, workspace %s, policy %s\n", FLAGS_pipeline.c_str(),
                FLAGS_workspace.c_str(), displayText(answer.value()["policy"]).c_str());
    for (const json &stage : answer.value()["stages"])
        printStage(stage);
    return ExitCode::Done;
}

ExitCode runEntry(const Arguments &)
{
    const Result<std::string> text = readFile(FLAGS_settings);
    if (!text)
        return reportError(text.error());
    const auto settings = readSettings(text.value(), FLAGS_settings);
    if (!settings)
        return reportError(settings.error());
    return static_cast<ExitCode>(runEntryProcess(settings.value()));
}

ExitCode runGateway(const Arguments &)
{
    const GatewaySettingsReader reader = []() -> Result<GatewaySettings> {
        const Result<std::string> text = readFile(FLAGS_settings);
        if (!text)
            return text.error();
        return readGatewaySettings(text.value(), FLAGS_settings);
    };
    const Result<GatewaySettings> settings = reader();
    if (!settings)
        return reportError(settings.error());
    const GatewayPlatformFactory platform = [&settings](LoopServices &loop) {
        return platform::makePlatform(loop, settings.value().store, settings.value().serverDrain);
    };
    return static_cast<ExitCode>(runGatewayProcess(settings.value(), reader, platform));
}

} // namespace dogwoodvalve
