#include "gateway/requests/front_api.h"

#include "daemon/log.h"
#include "gateway/requests/request_limits.h"
#include "gateway/requests/request_session.h"
#include "net/http_status.h"
#include "net/http_text.h"

namespace dogwoodvalve {

namespace {

/// A leaving host accepts requests for this long: callers cache the answer to a look-up for a few
/// seconds, and a stream that starts within this time can still end before the process is killed.
constexpr Duration LeavingAcceptTime = 2900ms;
/// Time after the start of the process for which requests wait for the first configuration.
constexpr Duration MaxStartUpHold = 400ms;
/// A host without a configuration or the list of servers probably has both by then, or is not
/// returned by look-ups any more. One without memory has taken room back from stalled clients.
constexpr Duration RetryAfterNotReady = 500ms;

/// The status of a refusal of a request whose body could not be read.
int refusalStatus(const Error &error)
{
    if (error.kind == ErrorKind::Overloaded)
        return StatusUnavailable;
    return error.kind == ErrorKind::TooLarge ? StatusContentTooLarge : StatusBadRequest;
}

} // namespace

void FrontApi::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (m_node.view().awaitsFirstReads() && m_node.now() - m_startedAt < MaxStartUpHold)
        return hold(exchange);
    serve(exchange);
}

// A host that has just started gets its configuration within a few calls to the store, sooner than
// a refused caller would retry.
void FrontApi::hold(const std::shared_ptr<HttpExchange> &exchange)
{
    m_held.push_back(exchange);
    if (m_holdTimer == 0)
        m_holdTimer =
            m_node.timers().schedule(m_startedAt + MaxStartUpHold, [this] { serveHeldRequests(); });
}

void FrontApi::serveHeldRequests()
{
    m_node.timers().cancel(std::exchange(m_holdTimer, 0));
    for (const auto &exchange : std::exchange(m_held, {}))
        serve(exchange);
}

void FrontApi::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    FleetView &view = m_node.view();
    if (view.leaving())
        exchange->closeAfterResponse();
    AcceptedRequest request;
    request.exchange = exchange;
    request.arrivedAt = m_node.now();
    request.caller = m_node.dialect().decodeRequest(*exchange);
    request.configuration = view.configuration();
    if (!request.configuration || (!view.ready() && !view.leaving()))
        return refuse(
            exchange, request.caller, StatusUnavailable,
            {ErrorKind::Unavailable, "the configuration is not known yet", "send it again later"});
    if (view.leavingFor(LeavingAcceptTime))
        return refuse(exchange, request.caller, StatusUnavailable,
                      {ErrorKind::Unavailable, "this host is leaving", "use another address"});
    request.route =
        request.configuration->findRoute(request.caller.host, pathOf(exchange->target()));
    if (!request.route)
        return refuse(exchange, request.caller, StatusNotFound,
                      {ErrorKind::NotFound, "no route for this host and path",
                       "see the routes in the configuration"});
    request.rank = requestRank(request.route->priority, std::nullopt);
    if (!request.route->allowUnauthenticated && request.configuration->requiresKeys()) {
        if (!view.keysFresh())
            return refuse(
                exchange, request.caller, StatusUnavailable,
                {ErrorKind::Unavailable, "keys can't be checked now", "use another address"});
        const WorkspaceRule *workspace = request.configuration->findWorkspace(request.caller.key);
        if (!workspace)
            return refuse(exchange, request.caller, StatusUnauthorized,
                          {ErrorKind::Unauthorized, "unknown key", "use a valid key"});
        request.workspace = workspace->name;
        request.rank = requestRank(request.route->priority, workspace->priority);
    }
    const WeightedService *service = chooseService(*request.route, m_node.random().fraction());
    request.service = service ? request.configuration->findService(service->service) : nullptr;
    if (!request.service)
        return refuse(
            exchange, request.caller, StatusUnavailable,
            {ErrorKind::Unavailable, "the route's service is not configured", "add the service"});
    readBody(std::move(request));
}

void FrontApi::readBody(AcceptedRequest request)
{
    auto exchange = request.exchange;
    auto shared = std::make_shared<AcceptedRequest>(std::move(request));
    exchange->readBody(MaxRequestBodyBytes, [this, shared](Result<std::string> body) {
        if (!body) {
            // A caller that disconnected while it sent the body needs no answer.
            if (body.error().kind != ErrorKind::Unavailable)
                refuse(shared->exchange, shared->caller, refusalStatus(body.error()), body.error());
            return;
        }
        shared->body = std::make_shared<const std::string>(std::move(body.value()));
        shared->fingerprint = fingerprintOf(*shared);
        makeSession(m_node, std::move(*shared))->start();
    });
}

void FrontApi::refuse(const std::shared_ptr<HttpExchange> &exchange, const CallerRequest &caller,
                      int status, const Error &error)
{
    LogEvent::decision("refused")
        .field("request", caller.id)
        .field("status", status)
        .field("reason", error.message)
        .field("body_bytes", exchange->header("Content-Length"))
        .field("version",
               m_node.view().configuration() ? m_node.view().configuration()->version() : 0)
        .field("configuration_age_ms", m_node.view().configurationAge().count() / 1000);
    m_node.metrics().countRequest("refused");
    const auto pause =
        status == StatusUnavailable ? std::optional<Duration>(RetryAfterNotReady) : std::nullopt;
    exchange->respond(status, m_node.dialect().refusalFields(caller.id, pause),
                      errorBody(error, "not_run"));
}

} // namespace dogwoodvalve
