#include "daemon/caller_api.h"

#include "daemon/caller_answers.h"
#include "net/endpoint.h"
#include "net/http_text.h"

#include <dogwoodvalve/membership.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

constexpr std::string_view KeyField = "Dogwoodvalve-Request-Key";
constexpr std::string_view IdempotentField = "Dogwoodvalve-Idempotent";
constexpr std::string_view ForwardedField = "Dogwoodvalve-Forwarded-By";
constexpr std::string_view ServicePrefix = "/services/";
/// How long a caller may cache the list of entry hosts.
constexpr int EntriesTtlSeconds = 30;
constexpr Duration ForwardConnectTimeout = 500ms;
/// Parsing one request takes at most 1 of so many parts of what clients may hold.
constexpr std::size_t MaxParsingParts = 2;
/// Copies of a prompt that exist while its request runs: the request's, the sequence's, and the
/// step's on its way to an engine.
constexpr std::size_t PromptCopies = 3;

std::string_view workspaceName(const Result<const ConfiguredWorkspace *> &workspace)
{
    return workspace ? std::string_view(workspace.value()->name) : std::string_view();
}

bool markedNotIdempotent(const HttpExchange &exchange)
{
    return equalsIgnoringCase(exchange.header(IdempotentField), "false");
}

Error keyError(KeyDecision decision)
{
    switch (decision) {
    case KeyDecision::Running:
        return {ErrorKind::Conflict, "the request with this key is running",
                "wait for its answer; do not send it again"};
    case KeyDecision::Used:
        return {ErrorKind::Conflict, "the request with this key has run or may have run",
                "find out whether it took effect, then use a new key if needed"};
    case KeyDecision::Expired:
        return {ErrorKind::Expired, "the key has expired, so it is unknown whether its request ran",
                "find out whether it took effect, then use a new key if needed"};
    case KeyDecision::Full:
        return {ErrorKind::Overloaded, "this host can't remember more request keys for now",
                "send it again later"};
    default:
        return {ErrorKind::Unavailable, "the host that issued the key can't be reached",
                "find out whether the request took effect, then use a new key if needed"};
    }
}

/// The outcome that is reported with a refused key. A full ledger refuses only keys that it does
/// not hold, so their requests have not run.
Outcome keyOutcome(KeyDecision decision)
{
    return decision == KeyDecision::Full ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace

void CallerApi::handle(const Exchange &exchange)
{
    const std::string_view path = pathOf(exchange->target());
    const std::string_view method = exchange->method();
    if (path.substr(0, ServicePrefix.size()) == ServicePrefix)
        return handleService(exchange);
    const bool chat = path == "/v1/chat/completions";
    if (chat || path == "/v1/completions") {
        if (method != "POST")
            return respondFailure(m_environment.context(), exchange, 405,
                                  {ErrorKind::InvalidArgument, "this path accepts only POST", ""},
                                  Outcome::NotRun, 1s);
        return handleCompletion(exchange, chat ? CompletionKind::Chat : CompletionKind::Text);
    }
    if (method == "GET" && path == "/v1/entries")
        return respondEntries(exchange);
    if (method == "GET" && path == "/v1/models")
        return respondModels(exchange);
    if (method == "GET" && path == "/healthz")
        return respondHealth(exchange);
    if (method == "GET" && path == "/readyz")
        return respondReady(exchange);
    refuse(exchange, {ErrorKind::NotFound, "nothing is served at this path", "see docs/HTTP.md"},
           Outcome::NotRun);
}

void CallerApi::refuse(const Exchange &exchange, const Error &error, Outcome outcome)
{
    respondFailure(m_environment.context(), exchange, httpStatus(error), error, outcome, 1s);
}

/// Refuses the request, naming other entry hosts, if this host is draining or isolated. Returns
/// whether it did.
bool CallerApi::refuseIfDrainingOrIsolated(const Exchange &exchange)
{
    EntryContext &context = m_environment.context();
    std::string reason;
    if (context.draining.load(std::memory_order_relaxed))
        reason = "this host is draining";
    else if (context.isolated.load(std::memory_order_relaxed))
        reason = "this host can't confirm that its configuration is current";
    if (reason.empty())
        return false;
    respondFailure(context, exchange, 503,
                   {ErrorKind::Unavailable, reason, "send it to another entry host"},
                   Outcome::NotRun, 1s);
    return true;
}

/// Refuses the request if this host has no confirmed configuration yet, since it then knows neither
/// callers nor keys. Returns whether it did. The outcome of a request with a key is unknown, since
/// the request may have run before.
bool CallerApi::refuseIfNotReady(const Exchange &exchange)
{
    EntryContext &context = m_environment.context();
    if (context.ready.load(std::memory_order_relaxed))
        return false;
    respondFailure(context, exchange, 503,
                   {ErrorKind::Unavailable, "this host has no confirmed configuration yet",
                    "send it to another entry host"},
                   exchange->header(KeyField).empty() ? Outcome::NotRun : Outcome::Unknown, 1s);
    return true;
}

std::optional<CallerApi::Caller> CallerApi::authenticateCaller(const Exchange &exchange)
{
    Caller caller;
    caller.configuration = m_environment.context().configuration();
    const auto workspace = authenticate(*caller.configuration, *exchange);
    if (!workspace) {
        refuse(exchange, workspace.error(), Outcome::NotRun);
        return std::nullopt;
    }
    caller.workspace = workspace.value();
    const std::string_view keyText = exchange->header(KeyField);
    if (keyText.empty())
        return caller;
    Result<RequestKey> key = RequestKey::parse(keyText);
    if (!key) {
        refuse(exchange, key.error(), Outcome::NotRun);
        return std::nullopt;
    }
    caller.key = std::move(key).value();
    return caller;
}

void CallerApi::settleKey(const Caller &caller, Outcome outcome)
{
    if (!caller.key)
        return;
    m_environment.context().withKeyLedger(
        [&](KeyLedger &keys) { keys.recordOutcome(caller.workspace->name, *caller.key, outcome); });
}

/// Refuses or forwards a request whose key does not allow it to run here. Returns whether it did.
bool CallerApi::handleKeyVerdict(const Exchange &exchange, const Caller &caller,
                                 KeyDecision decision)
{
    if (decision == KeyDecision::Run)
        return false;
    if (decision == KeyDecision::OtherOwner && forwardToOwner(exchange, caller))
        return true;
    refuse(exchange, keyError(decision), keyOutcome(decision));
    return true;
}

/// Marks the request's key as used, if it has one, as the last check before the request runs.
/// Returns whether the request may run.
bool CallerApi::admitKey(const Exchange &exchange, const Caller &caller)
{
    if (!caller.key)
        return true;
    const KeyDecision decision = m_environment.context().withKeyLedger([&](KeyLedger &keys) {
        return keys.admit(caller.workspace->name, *caller.key, m_environment.loop().timers().now());
    });
    return !handleKeyVerdict(exchange, caller, decision);
}

/// Authenticates a request and checks that this host may run it. The key is checked before whether
/// the host is draining or isolated, because that refusal has the outcome "not run", which would be
/// false for a key whose request has run before.
std::optional<CallerApi::Caller> CallerApi::acceptRequest(const Exchange &exchange)
{
    if (refuseIfNotReady(exchange))
        return std::nullopt;
    std::optional<Caller> caller = authenticateCaller(exchange);
    if (!caller)
        return std::nullopt;
    if (caller->key) {
        const KeyDecision decision = m_environment.context().withKeyLedger([&](KeyLedger &keys) {
            return keys.peek(caller->workspace->name, *caller->key,
                             m_environment.loop().timers().now());
        });
        if (handleKeyVerdict(exchange, *caller, decision))
            return std::nullopt;
    }
    if (refuseIfDrainingOrIsolated(exchange))
        return std::nullopt;
    return caller;
}

/// Forwards a request to the process that issued its key, which alone may run it. Returns false if
/// that process is unknown or dead, or if the request has been forwarded already.
bool CallerApi::forwardToOwner(const Exchange &exchange, const Caller &caller)
{
    if (!exchange->header(ForwardedField).empty())
        return false;
    const std::vector<Member> members = m_environment.context().members();
    const auto owner = std::find_if(members.begin(), members.end(), [&](const Member &member) {
        return member.name == caller.key->prefix.entryHost && member.boot == caller.key->prefix.boot
            && member.state != MemberState::Dead;
    });
    if (owner == members.end())
        return false;
    forward(exchange, *owner, caller.workspace->name, [this, exchange] {
        refuse(exchange, keyError(KeyDecision::OtherOwner), Outcome::Unknown);
    });
    return true;
}

/// Forwards a request of a workspace with limits to a home host of the workspace, where the limits
/// are enforced. The request runs here if that host can't be reached. Returns false if it need not
/// be forwarded; a request with a key stays here, as this host issued the key.
bool CallerApi::forwardToHome(const Exchange &exchange, CompletionKind kind, const Caller &caller)
{
    const WorkspaceLimits &limits = caller.workspace->spec->limits;
    const bool limited =
        limits.requestsPerSecond > 0 || limits.concurrentRequests > 0 || limits.tokensPerSecond > 0;
    if (!limited || caller.key || !exchange->header(ForwardedField).empty())
        return false;
    const auto homes = m_environment.context().workspaceHomes(caller.workspace->name);
    if (homes.isHome)
        return false;
    forward(exchange, homes.preferred, caller.workspace->name,
            [this, exchange, kind, caller] { complete(exchange, kind, caller); });
    return true;
}

void CallerApi::forward(const Exchange &exchange, const Member &member, std::string_view workspace,
                        std::function<void()> unreachable)
{
    const auto endpoint = parseEndpoint(member.address);
    if (!endpoint)
        return unreachable();
    ProxyRequest request;
    request.targets = {{member.name, endpoint.value(), nullptr}};
    request.path = exchange->target();
    request.addedFields = {{std::string(ForwardedField), m_environment.context().settings().name}};
    request.passAuthorization = true;
    request.timeout = m_environment.context().settings().requestTimeout;
    request.connectTimeout = ForwardConnectTimeout;
    request.workspace = workspace;
    request.kind = "forward";
    m_environment.context().openRequests.fetch_add(1, std::memory_order_relaxed);
    const auto session = std::make_shared<ProxySession>(
        m_environment.context(), m_environment.loop(), exchange, std::move(request),
        [this](Outcome) {
            m_environment.context().openRequests.fetch_sub(1, std::memory_order_relaxed);
        });
    session->onUnreachable([this, unreachable = std::move(unreachable)] {
        m_environment.context().openRequests.fetch_sub(1, std::memory_order_relaxed);
        unreachable();
    });
    startProxy(session);
}

void CallerApi::handleCompletion(const Exchange &exchange, CompletionKind kind)
{
    std::optional<Caller> caller = acceptRequest(exchange);
    if (!caller || forwardToHome(exchange, kind, *caller))
        return;
    complete(exchange, kind, std::move(*caller));
}

void CallerApi::complete(const Exchange &exchange, CompletionKind kind, Caller caller)
{
    if (!admitKey(exchange, caller))
        return;
    const std::size_t limit = m_environment.context().settings().http.maxBodyBytes;
    exchange->readBody(
        limit, [this, exchange, kind, caller = std::move(caller)](Result<std::string> body) {
            if (body)
                return runCompletion(exchange, kind, caller, body.value());
            settleKey(caller, Outcome::NotRun);
            refuse(exchange, body.error(), Outcome::NotRun);
        });
}

/// Parses a request that the process has room for. What is held of it afterwards is counted until
/// it is answered. Errors: those of readCompletionRequest(), TooLarge, Overloaded.
Result<CompletionRequest> CallerApi::parseWithinRoom(HttpExchange &exchange, CompletionKind kind,
                                                     std::string_view body) const
{
    const ClientLimits &limits = m_environment.context().clients()->limits();
    const std::size_t parsing = parsingBytes(body);
    if (parsing > limits.bytes / MaxParsingParts)
        return Error {ErrorKind::TooLarge, "the body has too many members", "send fewer members"};
    if (!exchange.tryHold(parsing))
        return noRoomForRequest();
    Result<CompletionRequest> request = readCompletionRequest(kind, body);
    if (request && !exchange.tryHold(request.value().prompt.size() * PromptCopies))
        return noRoomForRequest();
    return request;
}

void CallerApi::runCompletion(const Exchange &exchange, CompletionKind kind, const Caller &caller,
                              std::string_view body)
{
    Result<CompletionRequest> request = parseWithinRoom(*exchange, kind, body);
    Result<void> valid = BOOST_OUTCOME_V2_NAMESPACE::success();
    if (!request)
        valid = request.error();
    else if (!caller.configuration->pipeline(request.value().model))
        valid = Error {ErrorKind::NotFound, "there is no pipeline '" + request.value().model + "'",
                       "GET /v1/models lists the pipelines"};
    if (!valid) {
        settleKey(caller, Outcome::NotRun);
        return refuse(exchange, valid.error(), Outcome::NotRun);
    }
    const bool idempotent = !caller.key && !markedNotIdempotent(*exchange);
    m_environment.startSession(std::make_shared<CompletionSession>(
        m_environment, exchange, caller.configuration, *caller.workspace,
        std::move(request).value(), idempotent, caller.key));
}

/// Starts a session and keeps it alive until it has ended and the current turn of the event loop is
/// over, since the session may still be on the stack when it ends.
void CallerApi::startProxy(const std::shared_ptr<ProxySession> &session)
{
    m_proxies.insert(session);
    session->onReleased([this, weak = std::weak_ptr(session)] {
        m_environment.loop().post([this, weak, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                m_proxies.erase(weak.lock());
        });
    });
    session->start();
}

void CallerApi::handleService(const Exchange &exchange)
{
    std::optional<Caller> caller = acceptRequest(exchange);
    if (!caller)
        return;
    const std::string_view rest = exchange->target().substr(ServicePrefix.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    const ConfiguredService *service = caller->configuration->service(rest.substr(0, end));
    if (!service)
        return refuse(exchange,
                      {ErrorKind::NotFound,
                       "there is no service '" + std::string(rest.substr(0, end)) + "'",
                       "ask the operator for the name of the service"},
                      Outcome::NotRun);
    if (!admitKey(exchange, *caller))
        return;
    ProxyRequest request;
    request.path = rest.substr(end);
    if (request.path.empty() || request.path.front() != '/')
        request.path.insert(0, "/");
    const TimePoint now = m_environment.loop().timers().now();
    for (const std::uint32_t i : service->candidates[caller->workspace->placementClass]) {
        const ConfiguredServer &server = caller->configuration->servers()[i];
        const auto endpoint = parseEndpoint(server.spec->address);
        if (!endpoint || server.spec->draining || server.state->leaving()
            || server.state->ejected(now))
            continue;
        request.targets.push_back({server.name, endpoint.value(), server.state});
    }
    std::stable_sort(request.targets.begin(), request.targets.end(),
                     [](const ProxyTarget &a, const ProxyTarget &b) {
                         return a.server->inFlight() < b.server->inFlight();
                     });
    const auto &methods = service->spec->idempotentMethods;
    request.idempotent = !caller->key && !markedNotIdempotent(*exchange)
        && std::find(methods.begin(), methods.end(), exchange->method()) != methods.end();
    request.addedFields = {{"Dogwoodvalve-Workspace", caller->workspace->name}};
    request.timeout = m_environment.context().settings().requestTimeout;
    request.workspace = caller->workspace->name;
    request.kind = "service";
    m_environment.context().openRequests.fetch_add(1, std::memory_order_relaxed);
    startProxy(std::make_shared<ProxySession>(
        m_environment.context(), m_environment.loop(), exchange, std::move(request),
        [this, caller = *caller](Outcome outcome) {
            settleKey(caller, outcome);
            m_environment.context().openRequests.fetch_sub(1, std::memory_order_relaxed);
        }));
}

/// Rotates the home hosts at the head of the list, so that successive callers start with different
/// ones.
void CallerApi::rotateHomes(std::vector<Member> &entries, int homesPerWorkspace)
{
    const auto homes = std::min(entries.size(), static_cast<std::size_t>(homesPerWorkspace));
    if (homes == 0)
        return;
    const auto first = entries.begin() + static_cast<std::ptrdiff_t>(m_entryListings++ % homes);
    std::rotate(entries.begin(), first, entries.begin() + static_cast<std::ptrdiff_t>(homes));
}

void CallerApi::respondEntries(const Exchange &exchange)
{
    EntryContext &context = m_environment.context();
    const ConfigurationPointer configuration = context.configuration();
    const auto workspace = authenticate(*configuration, *exchange);
    const std::string ranked =
        workspace ? std::string(workspaceName(workspace)) : exchange->remoteAddress();
    std::vector<Member> entries = rankEntryHosts(context.members(), ranked);
    rotateHomes(entries, context.settings().homesPerWorkspace);
    json list = json::array();
    for (const Member &member : entries)
        list.push_back({{"name", member.name},
                        {"address", member.address},
                        {"zone", member.zone},
                        {"region", member.region}});
    const KeyPrefix prefix = context.withKeyLedger(
        [&](KeyLedger &keys) { return keys.currentPrefix(m_environment.loop().timers().now()); });
    const json body = {{"entries", list},
                       {"ttl", EntriesTtlSeconds},
                       {"keyPrefix", prefix.text()},
                       {"self", context.settings().name}};
    exchange->respond(200, commonFields(context, "application/json", "complete"), body.dump());
}

void CallerApi::respondModels(const Exchange &exchange)
{
    const std::optional<Caller> caller = authenticateCaller(exchange);
    if (!caller)
        return;
    json list = json::array();
    for (const ConfiguredPipeline &pipeline : caller->configuration->pipelines())
        list.push_back({{"id", pipeline.name},
                        {"object", "model"},
                        {"created", 0},
                        {"owned_by", "dogwoodvalve"}});
    const json body = {{"object", "list"}, {"data", list}};
    exchange->respond(200, commonFields(m_environment.context(), "application/json", "complete"),
                      body.dump());
}

void CallerApi::respondHealth(const Exchange &exchange)
{
    const json body = {{"ok", true},
                       {"configuration", m_environment.context().configuration()->nextOffset()},
                       {"boot", m_environment.context().boot()}};
    exchange->respond(200, commonFields(m_environment.context(), "application/json", "complete"),
                      body.dump());
}

void CallerApi::respondReady(const Exchange &exchange)
{
    if (refuseIfNotReady(exchange) || refuseIfDrainingOrIsolated(exchange))
        return;
    respondHealth(exchange);
}

} // namespace dogwoodvalve
