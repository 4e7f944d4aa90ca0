#include "gateway/requests/plain_session.h"

#include "core/mutation.h"
#include "daemon/log.h"

#include <dogwoodvalve/plain_selector.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

constexpr int FirstServerError = 500;
/// Bytes of an answer that are buffered. A server that sends more fails the request.
constexpr std::size_t MaxAnswerBytes = 8U << 20;
/// Range of the random number by which hosts choose among servers with equal load.
constexpr std::uint64_t TieBreakRange = 64;
/// When a caller should retry after all servers refused its request.
constexpr Duration RetryAfterRefusal = 300ms;

} // namespace

bool PlainSession::tryStart()
{
    FleetView &view = m_node.view();
    const TimePoint now = m_node.now();
    std::vector<const ServerRegistration *> servers =
        view.availableServers(m_request.service->name);
    std::erase_if(servers,
                  [&](const ServerRegistration *server) { return !view.acceptsRequest(*server); });
    std::vector<PlainServer> candidates;
    candidates.reserve(servers.size());
    for (const ServerRegistration *server : servers) {
        const auto load = view.load(server->id);
        candidates.push_back({server->slots,
                              load->inFlight + view.hosts().inFlightByPeers(server->id, now),
                              m_triedServers.count(server->id) > 0, load->lastSentAt});
    }
    const auto picked = pickLeastOutstanding(candidates, m_node.random().next() % TieBreakRange);
    if (!picked)
        return false;
    const ServerRegistration &server = *servers[*picked];
    m_load = view.load(server.id);
    ++m_load->inFlight;
    m_load->lastSentAt = now;
    m_server = server.id;
    m_pathText = server.id;
    m_serverStartedAtMs = server.startedAtMs;
    m_triedServers.insert(server.id);
    m_answerFields.clear();
    m_answerBody.clear();
    m_answered = false;
    DispatchRequest request;
    request.server = &server;
    request.workspace = m_request.workspace;
    request.timeLeft = timeLeft();
    view.health().recordDispatch(server.id, server.startedAtMs, now);
    m_sentAt = now;
    m_client = dispatch(server, request, m_attempts == 0 ? "least_outstanding" : "retry", *this);
    return true;
}

Duration PlainSession::maxFailoverWait() const
{
    return maxUsefulWait();
}

void PlainSession::closeAttempts()
{
    if (const auto load = std::exchange(m_load, nullptr)) {
        --load->inFlight;
        m_node.queue(m_request.service->name).predictor().recordCompleted(1, m_node.now());
    }
    const auto client = std::exchange(m_client, nullptr);
    if (!client)
        return;
    // Whatever ends the attempt, the server may have crashed because of it.
    if (client->anyByteSent() && !m_answered && !mutated("gateway-ask-only-about-lost-connections"))
        m_node.crashes().open(m_server, m_serverStartedAtMs,
                              stoppedRequest(m_answerBody.empty(), m_sentAt), AnswerLoss::GivenUp);
    client->close();
}

bool PlainSession::tryBeginRetry(bool lastAttemptRan)
{
    m_ranAttempts += lastAttemptRan ? 1 : 0;
    if (m_request.route->retryPolicy == RetryPolicy::AtMostOnce && lastAttemptRan
        && !mutated("gateway-repeat-unsafe"))
        return false;
    return tryTakeRetry();
}

void PlainSession::onHead(int status, std::span<const HttpField> fields)
{
    m_answer = m_node.dialect().decodeAnswer(status, fields, m_request.caller.id);
    m_load->lastAnsweredAt = m_node.now();
    m_node.recordNotice(m_server, m_serverStartedAtMs, m_answer.notice);
    m_node.view().recordRateNotice(m_server, m_serverStartedAtMs, m_answer.notice, m_sentAt);
    m_answerFields = m_node.dialect().answerFields(fields);
}

void PlainSession::onBody(std::string_view part)
{
    const auto keep = shared_from_this();
    const std::size_t bytes = m_answerBody.size() + part.size();
    if (bytes <= MaxAnswerBytes && !m_request.exchange->tryHold(bytes))
        return fail(StatusBadGateway,
                    {ErrorKind::Overloaded, "this host has no memory for the answer", ""});
    if (bytes <= MaxAnswerBytes) {
        m_answerBody += part;
        return;
    }
    handleFailedAttempt(ServerEvidence::Failed, "the answer is too long", true);
}

void PlainSession::onEnd()
{
    const auto keep = shared_from_this();
    m_answered = m_answer.isOwn();
    if (m_answered && !m_answer.notRun)
        m_node.view().recordServed(m_crashSuspects, m_sentAt);
    if (m_answer.notRun && m_answer.idMatches)
        return handleFailedAttempt(ServerEvidence::Refused, "the server refused the request",
                                   false);
    if (!m_answer.isDeliverable())
        return handleFailedAttempt(
            ServerEvidence::Failed,
            "the answer is unstamped, encoded, for another request or an unfounded refusal", true);
    if (m_answer.status >= FirstServerError
        && m_request.route->retryPolicy == RetryPolicy::Idempotent && tryBeginRetry(true)) {
        closeAttempts();
        return startOrEnqueue(true);
    }
    deliver();
}

void PlainSession::deliver()
{
    m_node.view().health().recordEvidence(m_server, m_serverStartedAtMs, ServerEvidence::Served,
                                          m_node.now());
    m_node.metrics().observeFirstByte(m_node.now() - m_request.arrivedAt);
    m_responded = true;
    m_request.exchange->respond(m_answer.status, m_answerFields, m_answerBody);
    finish("complete", std::to_string(m_answer.status));
}

void PlainSession::onError(const Error &error)
{
    const auto keep = shared_from_this();
    const bool sent = m_client && m_client->anyByteSent();
    if (sent)
        m_node.crashes().open(m_server, m_serverStartedAtMs,
                              stoppedRequest(m_answerBody.empty(), m_sentAt),
                              AnswerLoss::ConnectionEnded);
    handleFailedAttempt(lossEvidence(sent, error), error.message, sent);
}

void PlainSession::handleFailedAttempt(ServerEvidence evidence, std::string_view reason, bool ran)
{
    m_node.view().health().recordEvidence(m_server, m_serverStartedAtMs, evidence, m_node.now());
    LogEvent::decision("attempt_failed")
        .field("request", m_request.caller.id)
        .field("server", m_server)
        .field("reason", reason)
        .field("may_have_run", ran);
    m_mayHaveRun = ran || m_ranAttempts > 0;
    closeAttempts();
    endTrial();
    if (tryBeginRetry(ran))
        return startUnlessSuspect(true);
    giveUp({ErrorKind::Unavailable, std::string(reason), "send it again later"}, RetryAfterRefusal);
}

} // namespace dogwoodvalve
