#include "gateway/requests/request_session.h"

#include "core/duration_math.h"
#include "core/mutation.h"
#include "gateway/requests/generation_session.h"
#include "gateway/requests/plain_session.h"
#include "net/endpoint.h"
#include "net/http_text.h"

#include <dogwoodvalve/hash.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace dogwoodvalve {

namespace {

/// Hosts and servers are at most a few milliseconds apart, so a server that has not accepted the
/// connection by then is overloaded or dead.
constexpr Duration ConnectTimeout = 150ms;
/// Attempts that may end without the request having run, beyond the route's maximum of attempts.
constexpr int MaxRefusedAttempts = 2;
/// A request that may have crashed a server is held until it is known that it did not, but no
/// longer than this, in which the findings of other hosts arrive in a fleet without relays.
constexpr Duration MaxSuspectHold = 300ms;
constexpr Duration HoldCheckInterval = 20ms;
/// When a caller should retry whose request waited for a trial in vain.
constexpr Duration RetryAfterDoubt = 1s;
/// Repeats of a request are held that may have crashed a server within this time.
constexpr Duration SuspicionTime = 10s;
/// Fraction of the route's target for the first byte that a request may wait here; the rest is left
/// for the server.
constexpr double MaxWaitFraction = 0.6;
/// Predictions can be too short: a queued request is refused only after this many times its longest
/// useful wait.
constexpr int WaitTimeoutFactor = 2;
/// Callers that are refused because all servers pause are told to return within this fraction of
/// the time left after the end of the pause.
constexpr double PauseRetrySpread = 0.25;

} // namespace

std::string fingerprintOf(const AcceptedRequest &request)
{
    // Each hash is the seed of the next one, so that the boundaries between the texts count.
    std::uint64_t hash = 0;
    for (const std::string_view text :
         {request.exchange->method(), request.caller.host, request.exchange->target(),
          request.caller.key, std::string_view(*request.body)})
        hash = stableHash(text, hash);
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%s%016" PRIx64, PromptQuarantine::RequestPrefix.data(),
                  hash);
    return text.data();
}

RequestSession::RequestSession(GatewayNode &node, AcceptedRequest request)
    : m_node(node)
    , m_request(std::move(request))
{
    Duration allowed = m_request.route->timeout;
    if (m_request.caller.deadline)
        allowed = std::min(allowed, *m_request.caller.deadline);
    m_deadline = m_request.arrivedAt + allowed;
    m_crashSuspects = m_request.caller.sharedPromptParts;
    m_crashSuspects.insert(m_crashSuspects.begin(), m_request.fingerprint);
}

void RequestSession::start()
{
    const auto self = shared_from_this();
    m_node.sessionStarted(self);
    m_node.retryBudget(m_request.service->name).recordRequest(m_node.now());
    m_request.exchange->onClosed([weak = weak_from_this()] {
        if (const auto session = weak.lock())
            session->onCallerDisconnected();
    });
    m_deadlineTimer = m_node.timers().schedule(m_deadline, [weak = weak_from_this()] {
        if (const auto session = weak.lock())
            session->onDeadline();
    });
    startUnlessSuspect(false);
}

bool RequestSession::isSuspect() const
{
    return m_node.crashes().isOpen(m_request.fingerprint)
        || m_node.view().quarantine().isSuspect(m_request.fingerprint,
                                                m_node.now() - SuspicionTime);
}

void RequestSession::startUnlessSuspect(bool atFront)
{
    startWhenHoldEnds(atFront, m_node.now() + MaxSuspectHold);
}

void RequestSession::startWhenHoldEnds(bool atFront, TimePoint holdEndsAt)
{
    if (endIfQuarantined())
        return;
    const TimePoint now = m_node.now();
    const auto doubtful = findDoubtful();
    if (doubtful && endIfDoubtful(doubtful->id))
        return;
    const bool suspect = now < holdEndsAt && isSuspect() && !mutated("gateway-hold-no-suspects");
    if (!suspect && !(doubtful && waitsForTrial(*doubtful)))
        return startOrEnqueue(atFront);
    m_suspectTimer = m_node.timers().schedule(now + HoldCheckInterval,
                                              [weak = weak_from_this(), atFront, holdEndsAt] {
                                                  const auto self = weak.lock();
                                                  if (self && !self->m_ended)
                                                      self->startWhenHoldEnds(atFront, holdEndsAt);
                                              });
}

std::optional<QuarantinedPart> RequestSession::findDoubtful() const
{
    if (m_wentOn)
        return std::nullopt;
    return m_node.view().quarantine().findDoubtful(m_crashSuspects, m_node.now());
}

bool RequestSession::endIfDoubtful(std::string_view part)
{
    const TimePoint now = m_node.now();
    if (!m_doubtedSince)
        m_doubtedSince = now;
    if (m_ranAttempts == 0 && now - *m_doubtedSince < std::min(PromptTrials::MaxHold, timeLeft()))
        return false;
    giveUp({ErrorKind::Unavailable,
            "part " + std::string(part) + " of the prompt may crash servers",
            "send it again later"},
           RetryAfterDoubt);
    return true;
}

bool RequestSession::waitsForTrial(const QuarantinedPart &doubtful)
{
    PromptTrials &trials = m_node.trials();
    if (m_triedPart == doubtful.id)
        return false;
    if (!trials.mayBegin(doubtful.id, doubtful.until - PromptQuarantine::CrashRetention))
        return true;
    endTrial();
    m_triedPart = doubtful.id;
    trials.begin(m_triedPart);
    LogEvent::decision("prompt_part_trial")
        .field("request", m_request.caller.id)
        .field("part", m_triedPart)
        .field("held_ms", (m_node.now() - *m_doubtedSince).count() / 1000);
    return false;
}

void RequestSession::endTrial()
{
    if (!m_triedPart.empty())
        m_node.trials().end(std::exchange(m_triedPart, {}));
}

ServerEvidence RequestSession::lossEvidence(bool sent, const Error &error)
{
    if (sent)
        return ServerEvidence::Failed;
    return error.kind == ErrorKind::Overloaded ? ServerEvidence::Refused
                                               : ServerEvidence::Unreachable;
}

StoppedRequest RequestSession::stoppedRequest(bool undelivered, TimePoint sentAt) const
{
    return {m_crashSuspects, undelivered, m_triedPart, sentAt};
}

Duration RequestSession::maxUsefulWait() const
{
    return scaled(m_request.route->firstByteTarget, MaxWaitFraction);
}

void RequestSession::startOrEnqueue(bool atFront)
{
    WaitQueue &queue = m_node.queue(m_request.service->name);
    m_isWaiting = false;
    if (endIfQuarantined())
        return;
    if (!atFront && refuseUnlessAdmitted())
        return;
    if ((atFront || !queue.blocksArrivals(rank())) && tryStart())
        return;
    if (m_ended || endIfServersPauseLonger(atFront ? maxFailoverWait() : maxUsefulWait()))
        return;
    // Trials that waited for capacity would all begin when it returns.
    if (!m_triedPart.empty() && !attemptOpen())
        return giveUp({ErrorKind::Overloaded, "no server has capacity to try a part of the prompt",
                       "send it again later"},
                      RetryAfterDoubt);
    m_isWaiting = true;
    if (atFront) {
        startWaitTimer(maxFailoverWait());
        return queue.pushFront(shared_from_this());
    }
    const TimePoint now = m_node.now();
    const Duration wait = queue.predictor().timeToComplete(queue.waitingWork(rank()) + work(), now);
    const WaitDecision decision =
        decideWait(wait, maxUsefulWait(), timeLeft(), m_node.random().fraction());
    LogEvent::decision(decision.wait ? "queued" : "shed")
        .field("request", m_request.caller.id)
        .field("service", m_request.service->name)
        .field("predicted_wait_ms", wait.count() / 1000)
        .field("max_useful_wait_ms", maxUsefulWait().count() / 1000)
        .field("waiting", queue.size())
        .field("servers_age_ms", m_node.view().serversAge().count() / 1000);
    if (decision.wait) {
        startWaitTimer(maxUsefulWait() * WaitTimeoutFactor);
        return queue.push(shared_from_this());
    }
    refuse(StatusUnavailable,
           {ErrorKind::Overloaded, "no server will have capacity in time", "send it again later"},
           decision.retryAfter);
}

bool RequestSession::refuseUnlessAdmitted()
{
    const AdmissionDecision decision = admission();
    if (!decision.isRefused())
        return false;
    LogEvent::decision("not_admitted")
        .field("request", m_request.caller.id)
        .field("service", m_request.service->name)
        .field("workspace", m_request.workspace)
        .field("rank", rank())
        .field("reason", toString(decision.outcome))
        .field("load", decision.load)
        .field("retry_after_ms", decision.retryAfter.count() / 1000);
    m_node.metrics().countNotAdmitted(toString(decision.outcome), rank());
    const std::string_view reason = decision.outcome == AdmissionOutcome::OverShare
        ? "the workspace has its share of the servers"
        : "more urgent requests need the servers";
    refuse(StatusUnavailable, {ErrorKind::Overloaded, std::string(reason), "send it again later"},
           decision.retryAfter);
    return true;
}

bool RequestSession::endIfServersPauseLonger(Duration longestWait)
{
    const auto at = m_node.view().servesAgainAt(*m_request.service);
    const Duration wait = at ? *at - m_node.now() : Duration::zero();
    if (!at || m_responded || attemptOpen() || (wait <= longestWait && wait < timeLeft())
        || mutated("gateway-wait-out-pauses"))
        return false;
    giveUp({ErrorKind::Overloaded, "all servers have asked for a pause", "send it again later"},
           scaled(wait, 1 + PauseRetrySpread * m_node.random().fraction()));
    return true;
}

void RequestSession::refuseIfServersPause()
{
    if (isWaiting())
        endIfServersPauseLonger(m_waitEndsAt - m_node.now());
}

bool RequestSession::endIfQuarantined()
{
    const auto part = m_node.view().quarantine().find(m_crashSuspects, m_node.now());
    // A trial under way shows more than the evidence that came while it ran.
    const bool onTrial = !m_triedPart.empty() && attemptOpen();
    if (!part || m_ended || attemptDelivers() || onTrial || mutated("gateway-ignore-quarantine"))
        return false;
    const bool whole = part->id == m_request.fingerprint;
    const Error error {ErrorKind::Unavailable,
                       whole ? "this request has crashed servers"
                             : "part " + part->id + " of the prompt has crashed servers",
                       whole ? "do not send it again" : "leave this part out"};
    giveUp(error, part->until - m_node.now());
    return true;
}

void RequestSession::startWaitTimer(Duration time)
{
    m_node.timers().cancel(m_waitTimer);
    m_waitEndsAt = m_node.now() + time;
    m_waitTimer = m_node.timers().schedule(m_waitEndsAt, [weak = weak_from_this()] {
        if (const auto session = weak.lock())
            session->onWaitTimeout();
    });
}

void RequestSession::leaveQueue()
{
    m_isWaiting = false;
    releaseRetry();
    m_node.timers().cancel(std::exchange(m_waitTimer, 0));
}

void RequestSession::onWaitTimeout()
{
    m_waitTimer = 0;
    if (!isWaiting())
        return;
    if (attemptOpen())
        return leaveQueue();
    const Error error {ErrorKind::Overloaded, "no server had capacity in time",
                       "send it again later"};
    if (m_mayHaveRun || m_responded)
        return fail(StatusBadGateway, error);
    const WaitQueue &queue = m_node.queue(m_request.service->name);
    const Duration wait = queue.predictor().timeToComplete(queue.waitingWork(rank()), m_node.now());
    refuse(StatusUnavailable, error,
           decideWait(wait, Duration::zero(), timeLeft(), m_node.random().fraction()).retryAfter);
}

std::shared_ptr<HttpClientRequest> RequestSession::dispatch(const ServerRegistration &server,
                                                            const DispatchRequest &request,
                                                            std::string_view reason,
                                                            HttpClientEvents &events)
{
    const auto endpoint = parseEndpoint(server.address);
    if (std::exchange(m_retryReserved, false))
        m_node.retryBudget(m_request.service->name).recordSent(m_node.now());
    leaveQueue();
    m_node.view().recordRequest(server.id, server.startedAtMs);
    ++m_attempts;
    m_mayHaveRun = true;
    m_node.metrics().countDispatch(reason);
    LogEvent::decision("dispatch")
        .field("request", m_request.caller.id)
        .field("route", m_request.route->name)
        .field("workspace", m_request.workspace)
        .field("fingerprint", m_request.fingerprint)
        .field("server", server.id)
        .field("path", m_pathText)
        .field("reason", reason)
        .field("attempt", m_attempts)
        .field("version", m_request.configuration->version())
        .field("servers_age_ms", m_node.view().serversAge().count() / 1000)
        .field("time_left_ms", request.timeLeft.count() / 1000);
    HttpRequestHead head = m_node.dialect().encodeDispatch(*m_request.exchange, request);
    head.bodyBytes = m_request.body->size();
    auto client = m_node.connections().createClient(server, m_request.caller.id);
    client->start(endpoint.value(), head, ConnectTimeout, events);
    client->writeBody(m_request.body);
    return client;
}

bool RequestSession::tryTakeRetry()
{
    if (m_ranAttempts >= m_request.route->maxAttempts
        || m_attempts >= m_request.route->maxAttempts + MaxRefusedAttempts)
        return false;
    if (timeLeft() <= Duration::zero())
        return false;
    m_retryReserved = m_retryReserved || m_node.tryReserveRetry(m_request.service->name);
    return m_retryReserved;
}

void RequestSession::releaseRetry()
{
    if (std::exchange(m_retryReserved, false))
        m_node.retryBudget(m_request.service->name).release();
}

void RequestSession::refuse(int status, const Error &error, std::optional<Duration> retryAfter)
{
    if (m_ended)
        return;
    m_request.exchange->respond(status,
                                m_node.dialect().refusalFields(m_request.caller.id, retryAfter),
                                errorBody(error, m_mayHaveRun ? "unknown" : "not_run"));
    finish("refused", error.message);
}

void RequestSession::fail(int status, const Error &error)
{
    if (m_ended)
        return;
    if (m_responded) {
        // Closing calls back, and this is not the caller's disconnect.
        m_request.exchange->onClosed(nullptr);
        m_request.exchange->abort();
        return finish("cut", error.message);
    }
    m_request.exchange->respond(status,
                                m_node.dialect().refusalFields(m_request.caller.id, std::nullopt),
                                errorBody(error, "unknown"));
    finish("failed", error.message);
}

void RequestSession::giveUp(const Error &error, Duration retryAfter)
{
    if (m_mayHaveRun || m_responded)
        return fail(StatusBadGateway, error);
    refuse(StatusUnavailable, error, retryAfter);
}

void RequestSession::finish(std::string_view outcome, std::string_view reason)
{
    if (m_ended)
        return;
    m_ended = true;
    m_isWaiting = false;
    const auto self = shared_from_this();
    m_request.exchange->onClosed(nullptr);
    m_node.timers().cancel(m_deadlineTimer);
    m_node.timers().cancel(m_waitTimer);
    m_node.timers().cancel(m_suspectTimer);
    const bool hadOpenAttempt = attemptOpen();
    closeAttempts();
    endTrial();
    releaseRetry();
    m_node.metrics().countRequest(outcome);
    const bool failed = outcome == "failed" || outcome == "cut";
    LogEvent event = failed ? LogEvent::failure("request") : LogEvent::decision("request");
    event.field("request", m_request.caller.id)
        .field("route", m_request.route->name)
        .field("workspace", m_request.workspace)
        .field("outcome", outcome)
        .field("reason", reason)
        .field("attempts", m_attempts)
        .field("attempt_open", hadOpenAttempt)
        .field("path", m_pathText)
        .field("ms", (m_node.now() - m_request.arrivedAt).count() / 1000);
    addOutcomeFields(event);
    m_node.sessionEnded(self);
}

void RequestSession::addOutcomeFields(LogEvent &) const
{ }

void RequestSession::onDeadline()
{
    m_deadlineTimer = 0;
    if (m_mayHaveRun || m_responded)
        return fail(StatusGatewayTimeout,
                    {ErrorKind::Timeout, "no complete answer before the deadline", ""});
    refuse(
        StatusUnavailable,
        {ErrorKind::Timeout, "no server had capacity before the deadline", "send it again later"},
        std::nullopt);
}

void RequestSession::endAtExit()
{
    const Error error {ErrorKind::Unavailable, "this host exits", "use another address"};
    if (m_mayHaveRun || m_responded)
        return fail(StatusBadGateway, error);
    refuse(StatusUnavailable, error, Duration::zero());
}

void RequestSession::onCallerDisconnected()
{
    finish("caller_left", "the caller closed its connection");
}

std::shared_ptr<RequestSession> makeSession(GatewayNode &node, AcceptedRequest request)
{
    if (request.service->isLayered() && request.caller.size)
        return std::make_shared<GenerationSession>(node, std::move(request));
    return std::make_shared<PlainSession>(node, std::move(request));
}

} // namespace dogwoodvalve
