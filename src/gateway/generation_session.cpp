#include "gateway/generation_session.h"

#include "daemon/log.h"

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Reading from the engine pauses while more bytes than this wait to be sent to the caller.
constexpr std::size_t HighWaterBytes = 128 * 1024;
/// A stream without an event for this many times its expected pause, and at least MinStallTimeout,
/// may have lost an engine of its path. Callers close a stream after 2 s without an event.
constexpr int StallPauseFactor = 8;
constexpr Duration MinStallTimeout = 350ms;
/// The wait for the first event includes the queues of all engines of the path.
constexpr int FirstEventTimeoutFactor = 4;
constexpr Duration MinFirstEventTimeout = 700ms;
/// If all engines of the path make progress on other streams, the stream is probably delayed and
/// not lost, so the timeout is longer.
constexpr Duration MaxStallTimeout = 1300ms;
/// Callers close a stream that has had no event for this long.
constexpr Duration CallerSilenceTimeout = 2s;
constexpr Duration RetryAfterRefusal = 500ms;
/// Engines have ten levels of urgency and admit 0 first; the middle one stands for routes of
/// rank 1.
constexpr int MaxUrgency = 9;

std::string describePath(std::span<const PathServer> servers, std::span<const PathPart> parts)
{
    std::string text;
    for (const PathPart &part : parts) {
        if (!text.empty())
            text += ',';
        text += std::string(servers[part.server].id) + ':' + std::to_string(part.layers.first) + '-'
            + std::to_string(part.layers.end);
    }
    return text;
}

} // namespace

GenerationSession::GenerationSession(GatewayNode &node, AcceptedRequest request)
    : RequestSession(node, std::move(request))
    , m_eventOrder(m_request.caller.lastEventId)
{
    m_size = *m_request.caller.size;
    if (m_size.answerTokens <= 0)
        m_size.answerTokens = m_request.service->engine->usualAnswerTokens;
}

GenerationSession::~GenerationSession()
{
    m_node.timers().cancel(m_stallTimer);
}

Duration GenerationSession::maxFailoverWait() const
{
    return m_responded ? CallerSilenceTimeout - (m_node.now() - m_lastProgressAt) : maxUsefulWait();
}

bool GenerationSession::tryStart()
{
    FleetView &view = m_node.view();
    const EngineProfile &profile = *m_request.service->engine;
    std::vector<PathServer> servers = view.pathServers(*m_request.service);
    std::erase_if(servers, [this](const PathServer &server) {
        return m_excludedServers.count(std::string(server.id)) > 0;
    });
    const PathSelector selector(profile.layers, profile.stepsPerPass, HopCosts {});
    auto path = selector.selectFromSample(servers, m_size, m_node.random());
    if (!path)
        return false;
    m_path = std::move(*path);
    m_pathText = describePath(servers, m_path.parts);
    std::vector<DispatchPart> parts;
    m_parts.clear();
    for (const PathPart &part : m_path.parts) {
        const PathServer &server = servers[part.server];
        const ServerRegistration *registration = view.registry().find(server.id);
        ReservedPart reserved {registration->id,
                               registration->address,
                               registration->startedAtMs,
                               view.load(server.id),
                               m_size.total() * part.layers.size(),
                               server.prefillMsPerTokenLayer * m_size.promptTokens
                                   * part.layers.size()};
        reserved.load->committed += reserved.committed;
        reserved.load->backlogMs += reserved.backlogMs;
        ++reserved.load->streams;
        view.health().recordDispatch(reserved.server, reserved.startedAtMs, m_node.now());
        m_parts.push_back(std::move(reserved));
        parts.push_back({registration->address, part.layers});
    }
    DispatchRequest request;
    const ServerRegistration *first = view.registry().find(m_parts.front().server);
    request.server = first;
    request.workspace = m_request.workspace;
    request.timeLeft = timeLeft();
    if (m_eventOrder.lastDeliveredId())
        request.lastEventId = m_eventOrder.lastDeliveredId();
    request.path = parts;
    request.urgency = std::clamp(m_request.priority, 0, MaxUrgency);
    m_splitter.discardUnfinished();
    m_answerBody.clear();
    m_attemptEvents = 0;
    m_lastProgressAt = m_node.now();
    dispatch(*first, request, m_attempts == 0 ? "least_time" : "continue");
    scheduleStallCheck(m_lastProgressAt + stallTimeout());
    return true;
}

void GenerationSession::releaseAttempt()
{
    m_node.timers().cancel(m_stallTimer);
    m_stallTimer = 0;
    if (m_parts.empty())
        return;
    releaseBacklog();
    for (const ReservedPart &part : m_parts) {
        part.load->committed -= part.committed;
        --part.load->streams;
    }
    m_parts.clear();
    m_node.queue(m_request.service->name).predictor().recordCompleted(m_size.total(), m_node.now());
}

/// Called when the engines have read the prompt, or will not read it.
void GenerationSession::releaseBacklog()
{
    for (ReservedPart &part : m_parts)
        part.load->backlogMs =
            std::max(0.0, part.load->backlogMs - std::exchange(part.backlogMs, 0));
}

void GenerationSession::addOutcomeFields(LogEvent &event) const
{
    event.field("events", m_deliveredEvents)
        .field("first_event_ms", m_timeToFirstEvent.count() / 1000)
        .field("longest_gap_ms", m_longestGap.count() / 1000)
        .field("expected_first_event_ms", m_path.timeToFirstEvent.count() / 1000)
        .field("expected_step_us", m_path.stepTime.count());
}

void GenerationSession::onHead(int status, std::span<const HttpField> fields)
{
    m_answer = m_node.dialect().decodeAnswer(status, fields, m_request.caller.id);
    recordNotices();
    m_streaming = status == StatusOk && m_answer.stamped && m_answer.idMatches && !m_answer.encoded;
    if (!m_streaming || !m_responded)
        m_answerFields = m_node.dialect().answerFields(fields);
}

void GenerationSession::recordNotices()
{
    for (const ReservedPart &part : m_parts) {
        if (&part == &m_parts.front())
            m_node.recordNotice(part.server, part.startedAtMs, m_answer.notice);
        else if (part.address == m_answer.faultyAddress)
            m_node.recordNotice(part.server, part.startedAtMs,
                                {false, m_answer.notice.pause, m_answer.notice.pauseUnreadable});
        else if (m_answer.status == StatusOk)
            m_node.recordNotice(part.server, part.startedAtMs, {});
    }
}

void GenerationSession::onBody(std::string_view part)
{
    if (!m_streaming) {
        m_answerBody += part;
        return;
    }
    m_splitter.append(part);
    deliverEvents();
}

void GenerationSession::deliverEvents()
{
    const auto keep = shared_from_this();
    std::string completeEvents;
    bool inOrder = true;
    while (inOrder) {
        const auto event = m_splitter.next();
        if (!event)
            break;
        const EventVerdict verdict = m_eventOrder.check(event->id);
        inOrder = verdict != EventVerdict::OutOfOrder;
        if (verdict != EventVerdict::Deliver)
            continue;
        completeEvents += event->bytes;
        ++m_deliveredEvents;
        ++m_attemptEvents;
    }
    if (!completeEvents.empty()) {
        if (!std::exchange(m_responded, true)) {
            m_request.exchange->beginStream(m_answer.status, m_answerFields);
            m_timeToFirstEvent = m_node.now() - m_request.arrivedAt;
            m_node.metrics().observeFirstByte(m_timeToFirstEvent);
        }
        m_request.exchange->write(completeEvents);
        recordProgress();
    }
    if (!inOrder || m_splitter.overflowed())
        return failOver("the engine's events are out of order or too long", true);
    if (m_request.exchange->pendingBytes() > HighWaterBytes && m_client) {
        m_client->pauseReading(true);
        m_request.exchange->onDrained([weak = weak_from_this()] {
            const auto self = std::static_pointer_cast<GenerationSession>(weak.lock());
            if (self && self->m_client)
                self->m_client->pauseReading(false);
        });
    }
}

void GenerationSession::recordProgress()
{
    const TimePoint now = m_node.now();
    if (m_lastEventAt != TimePoint {}) {
        m_node.metrics().observeEventGap(now - m_lastEventAt);
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
    }
    m_lastEventAt = now;
    if (m_interruptedAt != TimePoint {}) {
        m_node.metrics().observeFailover(now - m_interruptedAt);
        m_interruptedAt = {};
    }
    m_lastProgressAt = now;
    releaseBacklog();
    for (const ReservedPart &part : m_parts)
        part.load->lastProgressAt = now;
}

Duration GenerationSession::stallTimeout() const
{
    if (m_attemptEvents == 0)
        return std::max<Duration>(MinFirstEventTimeout,
                                  m_path.timeToFirstEvent * FirstEventTimeoutFactor);
    const int steps = m_request.service->engine->stepsPerPass;
    return std::max<Duration>(MinStallTimeout, m_path.stepTime * steps * StallPauseFactor);
}

void GenerationSession::scheduleStallCheck(TimePoint at)
{
    m_stallTimer = m_node.timers().schedule(at, [weak = weak_from_this()] {
        const auto self = std::static_pointer_cast<GenerationSession>(weak.lock());
        if (self && !self->m_ended && !self->m_parts.empty())
            self->checkStall();
    });
}

/// Looks for the engines of the path on which no stream has made progress lately.
void GenerationSession::checkStall()
{
    const TimePoint now = m_node.now();
    const Duration sinceProgress = now - m_lastProgressAt;
    // A caller that does not read blocks its own stream.
    if (sinceProgress < stallTimeout() || m_request.exchange->pendingBytes() > 0)
        return scheduleStallCheck(
            std::max(m_lastProgressAt + stallTimeout(), now + MinStallTimeout));
    std::vector<const ReservedPart *> stalled;
    for (const ReservedPart &part : m_parts) {
        if (now - part.load->lastProgressAt >= MinStallTimeout)
            stalled.push_back(&part);
    }
    if (stalled.empty() && sinceProgress < MaxStallTimeout)
        return scheduleStallCheck(now + MinStallTimeout);
    // With several stalled engines any of them may be the dead one, so a failure is recorded only
    // if there is one.
    if (stalled.size() == 1)
        recordFailure(*stalled.front(), ServerEvidence::Unreachable);
    for (const ReservedPart *part : stalled) {
        m_excludedServers.insert(part->server);
        m_node.survey().probeNow(part->server);
    }
    failOver("no event within the stall timeout", true);
}

void GenerationSession::recordFailure(const ReservedPart &part, ServerEvidence evidence)
{
    m_excludedServers.insert(part.server);
    if (evidence == ServerEvidence::Unreachable)
        m_node.survey().probeNow(part.server);
    m_node.view().health().recordEvidence(part.server, part.startedAtMs, evidence, m_node.now());
    LogEvent::decision("server_failure")
        .field("request", m_request.caller.id)
        .field("server", part.server)
        .field("streams", part.load->streams)
        .field("since_progress_ms", (m_node.now() - part.load->lastProgressAt).count() / 1000)
        .field("evidence", toString(evidence));
}

void GenerationSession::onEnd()
{
    const auto keep = shared_from_this();
    if (!m_streaming)
        return handleNonStreamAnswer();
    if (m_splitter.unfinishedBytes() > 0)
        return failOver("the stream ended within an event", true);
    if (!std::exchange(m_responded, true))
        m_request.exchange->beginStream(m_answer.status, m_answerFields);
    for (const ReservedPart &part : m_parts)
        m_node.view().health().recordEvidence(part.server, part.startedAtMs, ServerEvidence::Served,
                                              m_node.now());
    m_request.exchange->endStream();
    finish("complete", std::to_string(m_answer.status));
}

void GenerationSession::handleFailedAnswer()
{
    if (!m_parts.empty())
        recordFailure(m_parts.front(), ServerEvidence::Failed);
    const bool own = m_answer.stamped && m_answer.idMatches && !m_answer.encoded;
    if (!own || m_answer.status == StatusOk || m_responded)
        return failOver(
            "the engine failed, or its answer is unstamped, encoded or for another request", true);
    if (tryBeginRetry(true)) {
        closeAttempt();
        return startOrEnqueue(true);
    }
    m_responded = true;
    m_request.exchange->respond(m_answer.status, m_answerFields, m_answerBody);
    finish("complete", std::to_string(m_answer.status));
}

void GenerationSession::handleNonStreamAnswer()
{
    if (!m_answer.notRun)
        return handleFailedAnswer();
    const auto at = std::find_if(m_parts.begin(), m_parts.end(), [this](const ReservedPart &part) {
        return part.address == m_answer.faultyAddress;
    });
    const ReservedPart &faulty = at == m_parts.end() ? m_parts.front() : *at;
    // The status is the same for a dead engine and for one without free memory. An engine that
    // makes progress on other streams is not dead.
    const bool makesProgress = m_node.now() - faulty.load->lastProgressAt < MinFirstEventTimeout;
    recordFailure(faulty,
                  m_answer.status == StatusMisdirectedRequest || !makesProgress
                      ? ServerEvidence::Unreachable
                      : ServerEvidence::Refused);
    failOver("engine " + faulty.server + " refused with " + std::to_string(m_answer.status), false);
}

void GenerationSession::onError(const Error &error)
{
    const auto keep = shared_from_this();
    const bool sent = m_client && m_client->anyByteSent();
    if (!m_parts.empty())
        recordFailure(m_parts.front(), sent ? ServerEvidence::Failed : ServerEvidence::Unreachable);
    failOver(error.message, sent);
}

void GenerationSession::failOver(std::string_view reason, bool ran)
{
    if (m_ended)
        return;
    LogEvent::decision("attempt_failed")
        .field("request", m_request.caller.id)
        .field("path", m_pathText)
        .field("reason", reason)
        .field("events", m_deliveredEvents)
        .field("since_progress_ms", (m_node.now() - m_lastProgressAt).count() / 1000)
        .field("may_have_run", ran);
    if (m_interruptedAt == TimePoint {})
        m_interruptedAt = m_lastProgressAt;
    m_mayHaveRun = ran || m_ranAttempts > 0;
    closeAttempt();
    const bool repeatable = m_request.route->retryPolicy == RetryPolicy::Resumable || !ran;
    if (repeatable && tryBeginRetry(ran))
        return startOrEnqueue(true);
    giveUp({ErrorKind::Unavailable, std::string(reason), "send it again later"}, RetryAfterRefusal);
}

} // namespace dogwoodvalve
