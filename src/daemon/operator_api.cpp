#include "daemon/operator_api.h"

#include "codec/change_codec.h"
#include "codec/object_reader.h"
#include "codec/spec_codec.h"
#include "daemon/caller_answers.h"
#include "daemon/log.h"
#include "net/http_text.h"

#include <openssl/crypto.h>

#include <algorithm>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

constexpr std::size_t MaxChangeBytes = 1024 * 1024;
constexpr std::string_view BearerPrefix = "Bearer ";

void respondJson(const std::shared_ptr<HttpExchange> &exchange, int status, const json &body)
{
    const std::vector<HttpField> fields {{"Content-Type", "application/json"}};
    exchange->respond(status, fields,
                      body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

void respondError(const std::shared_ptr<HttpExchange> &exchange, const Error &error)
{
    respondJson(
        exchange, httpStatus(error),
        {{"error",
          {{"kind", toString(error.kind)}, {"message", error.message}, {"remedy", error.remedy}}}});
}

json objectJson(const ObjectId &id, const ConfigurationState::StoredObject &object)
{
    return {{"kind", toString(id.kind)},
            {"name", id.name},
            {"version", object.version},
            {"change", object.changeId},
            {"spec", writeSpec(object.spec)}};
}

json candidateJson(const Candidate &candidate)
{
    return {{"server", candidate.server->name}, {"scoreMicros", candidate.score()},
            {"load", candidate.load},           {"stepMicros", candidate.stepCost},
            {"linkMicros", candidate.linkCost}, {"prefixMicros", candidate.prefixCredit}};
}

/// Applies a change to a copy of the state and returns an error for each selector that matches
/// nothing as a result. Empty if the change would be rejected.
std::vector<Error> findNewlyUnmatched(const ConfigurationState &state, const Change &change)
{
    ConfigurationState next = state;
    BackendServerRegistry registry;
    const auto before = Configuration::compile(state, registry, "check");
    const auto outcome = next.apply(next.nextOffset(), change);
    if (!outcome || !outcome.value().accepted)
        return {};
    const auto after = Configuration::compile(next, registry, "check");
    std::vector<Error> old = findUnmatched(*before, state);
    std::vector<Error> found = findUnmatched(*after, next);
    // Selectors that already match nothing without this change are not reported.
    std::erase_if(found, [&](const Error &error) {
        return std::any_of(old.begin(), old.end(),
                           [&](const Error &it) { return it.message == error.message; });
    });
    return found;
}

Router makeExplainRouter(std::string_view policy)
{
    return Router(makeRoutingPolicy(policy).value(), 1);
}

} // namespace

OperatorApi::OperatorApi(ControlPlane &control, std::function<void()> drain)
    : m_control(control)
    , m_drain(std::move(drain))
    , m_router(makeExplainRouter(control.context().settings().policy))
{ }

bool OperatorApi::authorised(const HttpExchange &exchange) const
{
    const std::string &token = m_control.context().settings().operatorToken;
    const std::string_view header = exchange.header("Authorization");
    if (header.size() != BearerPrefix.size() + token.size()
        || header.substr(0, BearerPrefix.size()) != BearerPrefix)
        return false;
    return CRYPTO_memcmp(header.data() + BearerPrefix.size(), token.data(), token.size()) == 0;
}

void OperatorApi::handle(const Exchange &exchange)
{
    const std::string_view path = pathOf(exchange->target());
    const bool post = exchange->method() == "POST";
    EntryContext &context = m_control.context();
    if (path == "/metrics") {
        const std::vector<HttpField> fields {{"Content-Type", "text/plain; version=0.0.4"}};
        return exchange->respond(200, fields, context.metrics().text());
    }
    if (path == "/healthz")
        return respondJson(exchange, 200, {{"ok", true}});
    if (path == "/readyz") {
        const bool ready = context.ready && !context.isolated && !context.draining;
        return respondJson(exchange, ready ? 200 : 503, {{"ready", ready}});
    }
    if (!authorised(*exchange))
        return respondError(exchange,
                            {ErrorKind::Unauthorized, "the operator token is wrong",
                             "pass the operatorToken of the entry host's settings with --token"});
    if (path == "/operator/objects")
        return respondObjects(exchange);
    if (path == "/operator/outcome")
        return respondOutcome(exchange);
    if (path == "/operator/status")
        return respondStatus(exchange);
    if (path == "/operator/explain")
        return respondExplanation(exchange);
    if (post && path == "/operator/changes")
        return receiveChange(exchange);
    if (post && path == "/operator/log")
        return updateLogSettings(exchange);
    if (post && path == "/operator/drain") {
        respondJson(exchange, 200, {{"draining", true}});
        return m_drain();
    }
    respondError(exchange, {ErrorKind::NotFound, "nothing is served at this path", ""});
}

void OperatorApi::respondObjects(const Exchange &exchange) const
{
    const std::string_view kind = queryParameter(exchange->target(), "kind");
    const std::string_view name = queryParameter(exchange->target(), "name");
    const ConfigurationState &state = m_control.follower().state();
    json list = json::array();
    for (const auto &[id, object] : state.objects()) {
        if ((kind.empty() || toString(id.kind) == kind) && (name.empty() || id.name == name))
            list.push_back(objectJson(id, object));
    }
    respondJson(exchange, 200, {{"offset", state.nextOffset()}, {"objects", list}});
}

void OperatorApi::respondOutcome(const Exchange &exchange) const
{
    const std::string_view id = queryParameter(exchange->target(), "id");
    const ChangeOutcome *outcome = m_control.follower().state().outcome(id);
    if (!outcome)
        return respondError(exchange,
                            {ErrorKind::NotFound,
                             "no change '" + std::string(id) + "' is known here",
                             "try again once the log is reachable"});
    respondJson(exchange, 200, outcomeToJson(*outcome));
}

void OperatorApi::respondStatus(const Exchange &exchange) const
{
    EntryContext &context = m_control.context();
    const ConfigurationFollower &follower = m_control.follower();
    json members = json::array();
    for (const Member &member : m_control.membership().members())
        members.push_back({{"name", member.name},
                           {"address", member.address},
                           {"zone", member.zone},
                           {"state", toString(member.state)},
                           {"boot", member.boot}});
    json servers = json::array();
    const TimePoint now = m_control.timers().now();
    const ConfigurationPointer configuration = context.configuration();
    for (const ConfiguredServer &server : configuration->servers())
        servers.push_back({{"name", server.name},
                           {"address", server.spec->address},
                           {"inFlight", server.state->inFlight()},
                           {"load", server.state->estimatedLoad(now)},
                           {"stepMicros", server.state->stepTime().count()},
                           {"ejected", server.state->ejected(now)},
                           {"draining", server.spec->draining || server.state->leaving()}});
    const std::size_t waiting = context.withAdmission(
        [](const AdmissionController &controller) { return controller.waiting(); });
    respondJson(exchange, 200,
                {{"name", context.settings().name},
                 {"configuration", follower.state().nextOffset()},
                 {"snapshot", follower.lastSnapshot()},
                 {"ready", context.ready.load()},
                 {"isolated", context.isolated.load()},
                 {"draining", context.draining.load()},
                 {"logReachable", follower.logReachable()},
                 {"openRequests", context.openRequests.load()},
                 {"waitingRequests", waiting},
                 {"members", members},
                 {"servers", servers}});
}

void OperatorApi::respondExplanation(const Exchange &exchange)
{
    const std::string_view target = exchange->target();
    const std::string_view pipelineName = queryParameter(target, "pipeline");
    const std::string_view workspaceName = queryParameter(target, "workspace");
    EntryContext &context = m_control.context();
    const ConfigurationPointer configuration = context.configuration();
    const ConfiguredPipeline *pipeline = configuration->pipeline(pipelineName);
    const ConfiguredWorkspace *workspace = configuration->workspaceByName(workspaceName);
    if (!pipeline || !workspace)
        return respondError(exchange,
                            {ErrorKind::NotFound, "there is no such pipeline or workspace",
                             "'dogwoodvalve get' lists them"});
    json stages = json::array();
    for (std::size_t s = 0; s < pipeline->spec->stages.size(); ++s) {
        RoutingQuery query;
        query.pipeline = pipeline;
        query.stage = s;
        query.placementClass = workspace->placementClass;
        query.entryZone = configuration->zoneIndex(context.settings().zone);
        query.now = m_control.timers().now();
        FilterCounts filtered;
        json list = json::array();
        const auto candidates = m_router.candidates(*configuration, query, filtered);
        for (const Candidate &candidate : candidates)
            list.push_back(candidateJson(candidate));
        std::sort(list.begin(), list.end(), [](const json &a, const json &b) {
            return a["scoreMicros"].get<double>() < b["scoreMicros"].get<double>();
        });
        const LayerRange &range = pipeline->spec->stages[s];
        stages.push_back(
            {{"layers", std::to_string(range.first) + '-' + std::to_string(range.last)},
             {"candidates", list},
             {"draining", filtered.draining},
             {"ejected", filtered.ejected}});
    }
    respondJson(exchange, 200,
                {{"pipeline", pipelineName},
                 {"workspace", workspaceName},
                 {"policy", m_router.policy().name()},
                 {"placementClass", workspace->placementClass},
                 {"stages", stages}});
}

void OperatorApi::receiveChange(const Exchange &exchange)
{
    const bool allowUnmatched = queryParameter(exchange->target(), "allowUnmatched") == "true";
    exchange->readBody(MaxChangeBytes, [this, exchange, allowUnmatched](Result<std::string> body) {
        if (!body)
            return respondError(exchange, body.error());
        publish(exchange, body.value(), allowUnmatched);
    });
}

void OperatorApi::publish(const Exchange &exchange, const std::string &body, bool allowUnmatched)
{
    const Result<Change> change = readChange(body);
    if (!change)
        return respondError(exchange, change.error());
    const ConfigurationState &state = m_control.follower().state();
    if (const ChangeOutcome *known = state.outcome(change.value().id))
        return respondJson(exchange, 200, outcomeToJson(*known));
    if (const auto rejection = state.validate(change.value()))
        return respondJson(exchange, 200, outcomeToJson(*rejection));
    const std::vector<Error> problems = findNewlyUnmatched(state, change.value());
    if (!allowUnmatched && !problems.empty())
        return respondError(exchange, problems.front());
    LogEvent("change_received")
        .field("change", change.value().id)
        .field("author", change.value().author)
        .field("operations", change.value().operations.size());
    m_control.publishChange(change.value(), [exchange](const Result<ChangeOutcome> &outcome) {
        if (!outcome)
            return respondError(exchange, outcome.error());
        LogEvent("change_settled")
            .field("change", outcome.value().id)
            .field("accepted", outcome.value().accepted ? "true" : "false")
            .field("reason", outcome.value().reason);
        respondJson(exchange, 200, outcomeToJson(outcome.value()));
    });
}

void OperatorApi::updateLogSettings(const Exchange &exchange)
{
    exchange->readBody(MaxChangeBytes, [exchange](Result<std::string> body) {
        const json object = json::parse(body ? body.value() : "", nullptr, false);
        ObjectReader reader(object, "");
        const Result<LogLevel> level = logLevelFromString(reader.text("level", "info"));
        const auto rate =
            static_cast<std::uint32_t>(reader.integer("decisionsPerSecond", 0, 0, 1'000'000));
        reader.rejectUnknownKeys();
        if (reader.failure())
            return respondError(exchange, *reader.failure());
        if (!level)
            return respondError(exchange, level.error());
        setLogLevel(level.value());
        setDecisionLogRate(rate);
        respondJson(exchange, 200, {{"ok", true}});
    });
}

} // namespace dogwoodvalve
