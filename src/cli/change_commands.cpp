#include "cli/change_commands.h"

#include "cli/configuration_files.h"
#include "cli/operator_client.h"
#include "codec/change_codec.h"
#include "codec/spec_codec.h"
#include "codec/yaml_reader.h"
#include "daemon/settings.h"
#include "net/blocking_http_client.h"

#include <dogwoodvalve/configuration.h>

#include <gflags/gflags.h>

#include <cstdio>
#include <map>
#include <random>
#include <thread>

DEFINE_string(change_id, "", "id of the change; repeat it to retry the same change safely");
DEFINE_string(author, "", "who makes the change; default: the environment's USER");
DEFINE_bool(wait, false, "wait until the change is in force on every live entry host");
DEFINE_int32(wait_seconds, 10, "how long to wait with --wait");
DEFINE_bool(allow_unmatched, false, "accept selectors that match nothing");
DEFINE_string(settings, "", "settings file of an entry host");
DEFINE_string(server, "", "name of a backend server");
DEFINE_bool(undo, false, "undo the drain: let the server take new requests again");

namespace dogwoodvalve {

using nlohmann::json;

namespace {

constexpr Duration ChangeTimeout = 15s;
constexpr auto WaitPollInterval = std::chrono::milliseconds(100);

std::string newChangeId()
{
    std::random_device device;
    char text[40];
    std::snprintf(text, sizeof(text), "%08x%08x%08x", device(), device(), device());
    return text;
}

std::string authorName()
{
    if (!FLAGS_author.empty())
        return FLAGS_author;
    const char *user = std::getenv("USER");
    return user ? user : "operator";
}

/// An object of the configuration in force, as the entry host reports it.
struct ActiveObject
{
    std::uint64_t version = 0;
    json spec;
};

Result<std::map<std::string, ActiveObject>> fetchActiveObjects()
{
    const Result<json> answer = callOperatorApi("GET", "/operator/objects");
    if (!answer)
        return answer.error();
    std::map<std::string, ActiveObject> objects;
    for (const json &it : answer.value().value("objects", json::array())) {
        const std::string id = it.value("kind", "") + '/' + it.value("name", "");
        objects[id] = {it.value("version", std::uint64_t(0)), it.value("spec", json())};
    }
    return objects;
}

bool differs(const ObjectDeclaration &declared, const ActiveObject *active)
{
    if (!declared.spec)
        return active != nullptr;
    return !active || writeSpec(*declared.spec) != active->spec;
}

const ActiveObject *findActiveObject(const std::map<std::string, ActiveObject> &objects,
                                     const ObjectId &id)
{
    const auto it = objects.find(id.describe());
    return it == objects.end() ? nullptr : &it->second;
}

Change makeChange(const std::vector<ObjectDeclaration> &declared,
                  const std::map<std::string, ActiveObject> &active)
{
    Change change;
    change.id = FLAGS_change_id.empty() ? newChangeId() : FLAGS_change_id;
    change.author = authorName();
    for (const ObjectDeclaration &object : declared) {
        const ActiveObject *current = findActiveObject(active, object.id);
        if (!object.version && !differs(object, current))
            continue;
        const std::uint64_t base = object.version.value_or(current ? current->version : 0);
        change.operations.push_back({object.id, base, object.spec});
    }
    return change;
}

/// Names of the live entry hosts that have not applied the log up to `nextOffset` yet.
std::vector<std::string> findOutdatedEntries(std::uint64_t nextOffset)
{
    std::vector<std::string> outdated;
    const Result<json> status = callOperatorApi("GET", "/operator/status");
    if (!status)
        return {"all (the entry host does not answer)"};
    for (const json &member : status.value().value("members", json::array())) {
        if (member.value("state", "") == "dead")
            continue;
        BlockingHttpRequest request;
        request.path = "/healthz";
        request.timeout = 1s;
        const auto reply = sendBlockingRequest(member.value("address", ""), request);
        const json health = json::parse(reply ? reply.value().body : "", nullptr, false);
        const bool current =
            health.is_object() && health.value("configuration", std::uint64_t(0)) >= nextOffset;
        if (!current)
            outdated.push_back(member.value("name", ""));
    }
    return outdated;
}

ExitCode waitForAllEntries(std::uint64_t nextOffset)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_wait_seconds);
    std::vector<std::string> outdated = findOutdatedEntries(nextOffset);
    while (!outdated.empty() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(WaitPollInterval);
        outdated = findOutdatedEntries(nextOffset);
    }
    if (outdated.empty()) {
        if (!wantsJson())
            std::printf("in force on every live entry host\n");
        return ExitCode::Done;
    }
    for (const std::string &name : outdated)
        std::fprintf(stderr, "dogwoodvalve: not yet in force on %s\n", name.c_str());
    return ExitCode::NotAppliedEverywhere;
}

ExitCode submit(const Change &change)
{
    if (change.operations.empty()) {
        if (wantsJson())
            printJson({{"accepted", true}, {"operations", 0}});
        else
            std::printf("nothing to change\n");
        return ExitCode::Done;
    }
    const std::string_view query = FLAGS_allow_unmatched ? "allowUnmatched=true" : "";
    const Result<json> answer =
        callOperatorApi("POST", "/operator/changes", query, writeChange(change), ChangeTimeout);
    if (!answer) {
        if (answer.error().kind == ErrorKind::Timeout)
            std::fprintf(stderr, "dogwoodvalve: change %s: outcome unknown\n", change.id.c_str());
        return reportError(answer.error());
    }
    const Result<ChangeOutcome> outcome = outcomeFromJson(answer.value());
    if (!outcome)
        return reportError(outcome.error());
    if (wantsJson())
        printJson(answer.value());
    if (!outcome.value().accepted) {
        const std::string &other = outcome.value().conflictsWith;
        return reportError({ErrorKind::Conflict,
                            "change " + change.id + " was rejected: " + outcome.value().reason
                                + (other.empty() ? "" : ", made by change " + other),
                            "look at 'dogwoodvalve diff', then apply again"});
    }
    if (!wantsJson())
        std::printf("accepted: change %s at offset %llu, %zu objects\n", change.id.c_str(),
                    static_cast<unsigned long long>(outcome.value().offset),
                    change.operations.size());
    return FLAGS_wait ? waitForAllEntries(outcome.value().offset + 1) : ExitCode::Done;
}

ExitCode checkSettings()
{
    const Result<std::string> text = readFile(FLAGS_settings);
    if (!text)
        return reportError(text.error());
    const auto settings = readSettings(text.value(), FLAGS_settings);
    if (!settings)
        return reportError(settings.error());
    std::printf("%s: settings of entry host %s are good\n", FLAGS_settings.c_str(),
                settings.value().name.c_str());
    return ExitCode::Done;
}

} // namespace

ExitCode runApply(const Arguments &files)
{
    const auto declared = readConfigurationFiles(files);
    if (!declared)
        return reportError(declared.error());
    const auto active = fetchActiveObjects();
    if (!active)
        return reportError(active.error());
    return submit(makeChange(declared.value(), active.value()));
}

ExitCode runDiff(const Arguments &files)
{
    const auto declared = readConfigurationFiles(files);
    if (!declared)
        return reportError(declared.error());
    const auto active = fetchActiveObjects();
    if (!active)
        return reportError(active.error());
    json list = json::array();
    for (const ObjectDeclaration &object : declared.value()) {
        const ActiveObject *current = findActiveObject(active.value(), object.id);
        if (!differs(object, current))
            continue;
        const char *what = !object.spec ? "remove" : current ? "change" : "add";
        list.push_back({{"object", object.id.describe()},
                        {"what", what},
                        {"from", current ? current->spec : json()},
                        {"to", object.spec ? writeSpec(*object.spec) : json()}});
    }
    if (wantsJson()) {
        printJson(list);
        return ExitCode::Done;
    }
    for (const json &it : list) {
        std::printf("%s %s\n", it["what"].get<std::string>().c_str(),
                    it["object"].get<std::string>().c_str());
        if (!it["from"].is_null())
            std::printf("  - %s\n", it["from"].dump().c_str());
        if (!it["to"].is_null())
            std::printf("  + %s\n", it["to"].dump().c_str());
    }
    if (list.empty())
        std::printf("no difference\n");
    return ExitCode::Done;
}

ExitCode runCheck(const Arguments &files)
{
    if (!FLAGS_settings.empty()) {
        const ExitCode code = checkSettings();
        if (code != ExitCode::Done || files.empty())
            return code;
    }
    const auto declared = readConfigurationFiles(files);
    if (!declared)
        return reportError(declared.error());
    Change change {"check", "check", {}};
    for (const ObjectDeclaration &object : declared.value())
        change.operations.push_back({object.id, 0, object.spec});
    ConfigurationState state;
    const auto outcome = state.apply(0, change);
    if (!outcome.value().accepted)
        return reportError({ErrorKind::InvalidArgument, outcome.value().reason,
                            "add the missing object to the files"});
    BackendServerRegistry registry;
    const auto configuration = Configuration::compile(state, registry, "check");
    const std::vector<Error> problems = findUnmatched(*configuration, state);
    if (!FLAGS_allow_unmatched && !problems.empty()) {
        for (std::size_t i = 1; i < problems.size(); ++i)
            (void)reportError(problems[i]);
        return reportError(problems.front());
    }
    std::printf("%zu objects are good\n", declared.value().size());
    return ExitCode::Done;
}

ExitCode runDrain(const Arguments &)
{
    if (FLAGS_server.empty()) {
        const Result<json> answer = callOperatorApi("POST", "/operator/drain", "", "{}");
        if (!answer)
            return reportError(answer.error());
        std::printf(
            "the entry host refuses new requests and exits when the running ones are complete\n");
        return ExitCode::Done;
    }
    const auto answer =
        callOperatorApi("GET", "/operator/objects", "kind=server&name=" + FLAGS_server);
    if (!answer)
        return reportError(answer.error());
    const json objects = answer.value().value("objects", json::array());
    if (objects.empty())
        return reportError({ErrorKind::NotFound, "there is no server '" + FLAGS_server + "'",
                            "'dogwoodvalve get server' lists them"});
    json spec = objects.front()["spec"];
    spec["draining"] = !FLAGS_undo;
    const Result<ObjectSpec> read = readSpec(ObjectKind::Server, spec);
    if (!read)
        return reportError(read.error());
    Change change;
    change.id = FLAGS_change_id.empty() ? newChangeId() : FLAGS_change_id;
    change.author = authorName();
    Operation operation;
    operation.id.kind = ObjectKind::Server;
    operation.id.name = FLAGS_server;
    operation.baseVersion = objects.front().value("version", std::uint64_t(0));
    operation.spec = read.value();
    change.operations.push_back(std::move(operation));
    return submit(change);
}

} // namespace dogwoodvalve
