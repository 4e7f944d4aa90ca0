#include "gateway/generation_session.h"

#include "daemon/log.h"

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Unsent bytes to the caller beyond which the engine is not read.
constexpr std::size_t HighWaterBytes = 128 * 1024;
/// A stream without events for this many expected pauses, and at least the least time, may have
/// lost a part of its path. Callers leave after 2 s of silence.
constexpr int StallPauseFactor = 8;
constexpr Duration MinStallTimeout = 350ms;
/// Waiting for the first event includes the queues of all engines of the path.
constexpr int FirstEventTimeoutFactor = 4;
constexpr Duration MinFirstEventTimeout = 700ms;
/// If all parts of a silent stream's path serve others, the stream is held up rather than lost.
constexpr Duration MaxStallTimeout = 1300ms;
/// Callers abandon a stream that has been silent this long.
constexpr Duration CallerSilenceTimeout = 2s;
constexpr Duration RetryAfterRefusal = 500ms;
/// Engines admit 0 first; the middle of their ten levels stands for routes of rank 1.
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

/// The prompt was read, or is not read any more.
void GenerationSession::releaseBacklog()
{
    for (ReservedPart &part : m_parts)
        part.load->backlogMs =
            std::max(0.0, part.load->backlogMs - std::exchange(part.backlogMs, 0));
}

void GenerationSession::addOutcomeFields(LogEvent &event) const
{
    event.field("events", m_deliveredEvents)
        .field("first_ms", m_timeToFirstEvent.count() / 1000)
        .field("longest_gap_ms", m_longestGap.count() / 1000)
        .field("expected_first_ms", m_path.timeToFirstEvent.count() / 1000)
        .field("expected_step_us", m_path.stepTime.count());
}

void GenerationSession::onHead(int status, std::span<const HttpField> fields)
{
    m_answer = m_node.dialect().decodeAnswer(status, fields, m_request.caller.id);
    m_streaming = status == 200 && m_answer.stamped && m_answer.idMatches && !m_answer.encoded;
    if (!m_streaming || !m_responded)
        m_answerFields = m_node.dialect().answerFields(fields);
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
    std::string whole;
    bool inOrder = true;
    while (inOrder) {
        const auto event = m_splitter.next();
        if (!event)
            break;
        const EventVerdict verdict = m_eventOrder.check(event->id);
        inOrder = verdict != EventVerdict::OutOfOrder;
        if (verdict != EventVerdict::Deliver)
            continue;
        whole += event->bytes;
        ++m_deliveredEvents;
        ++m_attemptEvents;
    }
    if (!whole.empty()) {
        if (!std::exchange(m_responded, true)) {
            m_request.exchange->beginStream(m_answer.status, m_answerFields);
            m_timeToFirstEvent = m_node.now() - m_request.arrivedAt;
            m_node.metrics().observeFirstByte(m_timeToFirstEvent);
        }
        m_request.exchange->write(whole);
        recordProgress();
    }
    if (!inOrder || m_splitter.overflowed())
        return failOver("the engine's events are out of order", true);
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
    m_stallTimer = m_node.timers().subscribe(at, [weak = weak_from_this()] {
        const auto self = std::static_pointer_cast<GenerationSession>(weak.lock());
        if (self && !self->m_ended && !self->m_parts.empty())
            self->checkStall();
    });
}

/// Looks for parts over which no stream at all has brought an event since this one fell silent.
void GenerationSession::checkStall()
{
    const TimePoint now = m_node.now();
    const Duration silence = now - m_lastProgressAt;
    // A caller that does not read holds its own stream up.
    if (silence < stallTimeout() || m_request.exchange->pendingBytes() > 0)
        return scheduleStallCheck(
            std::max(m_lastProgressAt + stallTimeout(), now + MinStallTimeout));
    std::vector<const ReservedPart *> silent;
    for (const ReservedPart &part : m_parts) {
        if (now - part.load->lastProgressAt >= MinStallTimeout)
            silent.push_back(&part);
    }
    if (silent.empty() && silence < MaxStallTimeout)
        return scheduleStallCheck(now + MinStallTimeout);
    // With several silent parts any of them may be the dead one; single ones are blamed.
    if (silent.size() == 1)
        recordFailure(*silent.front(), ServerEvidence::Unreachable);
    for (const ReservedPart *part : silent) {
        m_excludedServers.insert(part->server);
        m_node.survey().probeNow(part->server);
    }
    failOver("no event for too long", true);
}

void GenerationSession::recordFailure(const ReservedPart &part, ServerEvidence evidence)
{
    m_excludedServers.insert(part.server);
    if (evidence == ServerEvidence::Unreachable)
        m_node.survey().probeNow(part.server);
    m_node.view().health().recordEvidence(part.server, part.startedAtMs, evidence, m_node.now());
    LogEvent::decision("server_blamed")
        .field("request", m_request.caller.id)
        .field("server", part.server)
        .field("streams", part.load->streams)
        .field("silent_ms", (m_node.now() - part.load->lastProgressAt).count() / 1000)
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

/// The engine has run the request and failed it, or the answer is not its own. Its own failure
/// reaches the caller if the request may not be tried elsewhere.
void GenerationSession::handleFailedAnswer()
{
    if (!m_parts.empty())
        recordFailure(m_parts.front(), ServerEvidence::Failed);
    const bool own = m_answer.stamped && m_answer.idMatches && !m_answer.encoded;
    if (!own || m_answer.status == 200 || m_responded)
        return failOver("the answer is not the engine's own", true);
    if (tryBeginRetry(true)) {
        closeAttempt();
        return startOrEnqueue(true);
    }
    m_responded = true;
    m_request.exchange->respond(m_answer.status, m_answerFields, m_answerBody);
    finish("complete", std::to_string(m_answer.status));
}

/// An answer that is no stream: the engine, or another one of the path, did not take the request,
/// or failed it.
void GenerationSession::handleNonStreamAnswer()
{
    if (!m_answer.notRun)
        return handleFailedAnswer();
    const auto at = std::find_if(m_parts.begin(), m_parts.end(), [this](const ReservedPart &part) {
        return part.address == m_answer.faultyAddress;
    });
    const ReservedPart &faulty = at == m_parts.end() ? m_parts.front() : *at;
    // The same status tells of a dead part and of one that is short of memory; a part that serves
    // other streams is not dead.
    const bool serves = m_node.now() - faulty.load->lastProgressAt < MinFirstEventTimeout;
    recordFailure(faulty,
                  m_answer.status == StatusMisdirectedRequest || !serves
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
        .field("silent_ms", (m_node.now() - m_lastProgressAt).count() / 1000)
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
