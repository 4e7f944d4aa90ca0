#include "gateway/requests/generation_session.h"

#include "core/mutation.h"
#include "daemon/log.h"

#include <algorithm>
#include <array>

namespace dogwoodvalve {

namespace {

/// Reading from the engine pauses while more bytes than this wait to be sent to the caller.
constexpr std::size_t HighWaterBytes = 128 * 1024;
/// If all engines of the path make progress on other streams, the stream is probably delayed and
/// not lost, so the timeout is longer.
constexpr Duration MaxStallTimeout = 1300ms;
/// An engine that delivered an event of any stream within this time is not dead.
constexpr Duration RecentProgressWindow = 700ms;
/// A server that stalled the request is not chosen again for this long. After that, the health
/// checks decide.
constexpr Duration SuspicionTime = 2s;
constexpr Duration RetryAfterRefusal = 500ms;
/// A request that may have crashed an engine is not sent to another one for this long. If it is one
/// of several that do, all hosts know by then.
constexpr Duration CrashRetryHold = 1s;
constexpr Duration MinStallTimeout = GenerationAttempt::MinStallTimeout;

} // namespace

GenerationSession::GenerationSession(GatewayNode &node, AcceptedRequest request)
    : RequestSession(node, std::move(request))
    , m_demand(node, *m_request.service, m_request.rank, m_request.workspace)
    , m_eventOrder(m_request.caller.lastEventId)
{
    m_size = *m_request.caller.size;
    if (m_size.answerTokens <= 0)
        m_size.answerTokens = m_request.service->engine->usualAnswerTokens;
    m_demand.setTokens(m_size.total());
}

GenerationSession::~GenerationSession()
{
    m_node.timers().cancel(m_holdTimer);
}

AdmissionDecision GenerationSession::admission()
{
    m_demand.recordAsked();
    return m_demand.decide(timeLeft());
}

// A stream that has begun can't be refused any more, so it waits until its deadline. Callers that
// are no longer interested disconnect.
Duration GenerationSession::maxFailoverWait() const
{
    return m_responded || attemptOpen() ? timeLeft() : maxUsefulWait();
}

bool GenerationSession::tryStart()
{
    const bool isNew = m_attempts == 0;
    if (isNew && m_demand.decide(timeLeft()).outcome != AdmissionOutcome::Admitted)
        return false;
    const EngineProfile &profile = *m_request.service->engine;
    std::vector<PathServer> servers = m_node.view().pathServers(*m_request.service);
    std::erase_if(servers, [this](const PathServer &server) {
        const auto suspected = m_suspectedAt.find(server.id);
        return m_excludedServers.count(std::string(server.id)) > 0
            || (suspected != m_suspectedAt.end() && !m_node.connections().cutOff()
                && m_node.now() - suspected->second < SuspicionTime);
    });
    const PathSelector selector(profile.layers, profile.stepsPerPass, HopCosts {});
    auto path = selector.selectFromSample(servers, m_size, m_node.random());
    if (!path)
        return false;
    startAttempt(servers, std::move(*path));
    return true;
}

ReservedPart GenerationSession::reservedPart(const PathServer &server, LayerSpan layers) const
{
    FleetView &view = m_node.view();
    const ServerRegistration *registration = view.registry().find(server.id);
    return {registration->id,
            registration->address,
            registration->startedAtMs,
            view.load(server.id),
            m_size.total() * layers.size(),
            server.prefillMsPerTokenLayer * m_size.promptTokens * layers.size()};
}

void GenerationSession::startAttempt(std::span<const PathServer> servers, EnginePath path)
{
    std::vector<DispatchPart> dispatched;
    std::vector<ReservedPart> reserved;
    for (const PathPart &part : path.parts) {
        reserved.push_back(reservedPart(servers[part.server], part.layers));
        dispatched.push_back({reserved.back().address, part.layers});
    }
    m_pathText = describePath(servers, path.parts);
    m_expectedFirstEvent = path.timeToFirstEvent;
    m_expectedStep = path.stepTime;
    DispatchRequest request;
    const ServerRegistration *first = m_node.view().registry().find(reserved.front().server);
    request.server = first;
    request.workspace = m_request.workspace;
    request.timeLeft = timeLeft();
    if (m_eventOrder.lastDeliveredId())
        request.lastEventId = m_eventOrder.lastDeliveredId();
    request.path = dispatched;
    request.urgency = m_node.admission().urgency(*m_request.service, rank());
    auto attempt = std::make_shared<GenerationAttempt>(
        m_node, *this, m_request.caller.id, std::move(path), std::move(reserved), m_pathText);
    m_open.push_back(attempt);
    m_demand.recordStarted();
    attempt->setClient(
        dispatch(*first, request, m_attempts == 0 ? "least_time" : "continue", *attempt));
    scheduleStallCheck(
        *attempt, m_node.now() + attempt->stallTimeout(m_request.service->engine->stepsPerPass));
}

void GenerationSession::closeAttempt(GenerationAttempt &attempt)
{
    if (attempt.anyByteSent() && !attempt.countedAsServed
        && !mutated("gateway-ask-only-about-lost-streams"))
        inquireCrash(attempt, attempt.allParts(), AnswerLoss::GivenUp);
    attempt.close();
    m_demand.recordEnded();
    m_node.queue(m_request.service->name).predictor().recordCompleted(m_size.total(), m_node.now());
    std::erase_if(m_open, [&attempt](const auto &it) { return it.get() == &attempt; });
}

void GenerationSession::closeAttempts()
{
    while (!m_open.empty()) {
        const auto attempt = m_open.back();
        closeAttempt(*attempt);
    }
}

bool GenerationSession::attemptDelivers() const
{
    return std::any_of(m_open.begin(), m_open.end(),
                       [](const auto &it) { return it->anyEvent() && !it->isBeginning(); });
}

void GenerationSession::inquireCrash(const GenerationAttempt &attempt,
                                     std::span<const ReservedPart *const> servers, AnswerLoss loss)
{
    // An engine that has failed or refused the request itself was alive after it.
    const bool answered = !attempt.isStream() && attempt.answer().isOwn();
    const bool wentOn = attempt.anyEvent() && !attempt.isBeginning();
    if (answered || wentOn)
        return;
    for (const ReservedPart *part : servers)
        m_node.crashes().open(part->server, part->startedAtMs,
                              stoppedRequest(!attempt.anyEvent(), attempt.startedAt()), loss);
}

bool GenerationSession::mayHaveCrashed(const GenerationAttempt &attempt) const
{
    return attempt.isBeginning() && !attempt.anyEvent()
        && m_node.view().quarantine().anyUnproven(m_request.caller.sharedPromptParts)
        && !mutated("gateway-hold-no-retry");
}

void GenerationSession::holdRetry()
{
    m_node.timers().cancel(m_holdTimer);
    m_holdTimer =
        m_node.timers().schedule(m_node.now() + CrashRetryHold, [weak = weak_from_this()] {
            const auto self = std::static_pointer_cast<GenerationSession>(weak.lock());
            if (!self || self->m_ended)
                return;
            self->m_holdTimer = 0;
            self->startUnlessSuspect(true);
        });
}

void GenerationSession::recordServed(GenerationAttempt &attempt)
{
    m_wentOn = true;
    if (!std::exchange(attempt.countedAsServed, true))
        m_node.view().recordServed(m_crashSuspects, attempt.begunAt());
}

void GenerationSession::addOutcomeFields(LogEvent &event) const
{
    event.field("events", m_deliveredEvents)
        .field("first_event_ms", m_timeToFirstEvent.count() / 1000)
        .field("longest_gap_ms", m_longestGap.count() / 1000)
        .field("expected_first_event_ms", m_expectedFirstEvent.count() / 1000)
        .field("expected_step_us", m_expectedStep.count());
}

void GenerationSession::onStreamData(GenerationAttempt &attempt)
{
    const auto keep = shared_from_this();
    const auto keepAttempt = attempt.shared_from_this();
    std::string completeEvents;
    bool inOrder = true;
    while (inOrder) {
        const auto event = attempt.splitter().next();
        if (!event)
            break;
        const EventVerdict verdict = m_eventOrder.check(event->id);
        inOrder = verdict != EventVerdict::OutOfOrder;
        if (verdict != EventVerdict::Deliver)
            continue;
        completeEvents += event->bytes;
        ++m_deliveredEvents;
    }
    if (!completeEvents.empty()) {
        continueWith(attempt);
        beginStream(attempt);
        m_request.exchange->write(completeEvents);
        recordEventTimes();
        if (!attempt.isBeginning())
            recordServed(attempt);
    }
    if (!inOrder || attempt.splitter().overflowed())
        return failAttempt(attempt, "the engine's events are out of order or too long", true);
    limitPendingBytes(keepAttempt);
}

void GenerationSession::continueWith(GenerationAttempt &attempt)
{
    const std::vector<std::shared_ptr<GenerationAttempt>> open = m_open;
    for (const auto &it : open) {
        if (it.get() == &attempt)
            continue;
        countRun(*it, it->anyByteSent());
        closeAttempt(*it);
    }
    leaveQueue();
    if (std::exchange(attempt.silent, false)) {
        LogEvent::decision("attempt_resumed")
            .field("request", m_request.caller.id)
            .field("path", attempt.pathText())
            .field("silent_ms", attempt.silence().count() / 1000);
        for (const ReservedPart &part : attempt.parts()) {
            m_suspectedAt.erase(part.server);
            m_node.view().health().recordEvidence(part.server, part.startedAtMs,
                                                  ServerEvidence::ProbeSucceeded, m_node.now());
        }
        m_interruptedAt = {};
    }
    attempt.recordProgress();
}

void GenerationSession::beginStream(const GenerationAttempt &attempt)
{
    if (std::exchange(m_responded, true))
        return;
    m_request.exchange->beginStream(attempt.answer().status, attempt.answerFields());
    m_timeToFirstEvent = m_node.now() - m_request.arrivedAt;
    m_node.metrics().observeFirstByte(m_timeToFirstEvent);
}

void GenerationSession::limitPendingBytes(const std::shared_ptr<GenerationAttempt> &attempt)
{
    if (m_request.exchange->pendingBytes() <= HighWaterBytes)
        return;
    attempt->pauseReading(true);
    m_request.exchange->onDrained([weak = std::weak_ptr(attempt)] {
        if (const auto paused = weak.lock())
            paused->pauseReading(false);
    });
}

void GenerationSession::recordEventTimes()
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
}

void GenerationSession::scheduleStallCheck(GenerationAttempt &attempt, TimePoint at)
{
    attempt.stallTimer = m_node.timers().schedule(
        at, [weak = weak_from_this(), weakAttempt = attempt.weak_from_this()] {
            const auto self = std::static_pointer_cast<GenerationSession>(weak.lock());
            const auto checked = weakAttempt.lock();
            if (self && checked && !self->m_ended)
                self->checkStall(*checked);
        });
}

/// Looks for the engines of the path on which no stream has made progress lately.
void GenerationSession::checkStall(GenerationAttempt &attempt)
{
    const TimePoint now = m_node.now();
    const Duration timeout = attempt.stallTimeout(m_request.service->engine->stepsPerPass);
    // A caller that does not read blocks its own stream.
    if (attempt.silence() < timeout || m_request.exchange->pendingBytes() > 0)
        return scheduleStallCheck(
            attempt, std::max(attempt.lastProgressAt() + timeout, now + MinStallTimeout));
    if (attempt.anyPartRestarted())
        return failAttempt(attempt, "an engine of the path has restarted", true);
    scheduleStallCheck(attempt, now + MinStallTimeout);
    const std::vector<const ReservedPart *> stalled = attempt.stalledParts();
    if (stalled.empty() && attempt.silence() < MaxStallTimeout)
        return;
    suspectLoss(attempt, stalled);
    resumeBesideSilentAttempts();
}

void GenerationSession::suspectLoss(GenerationAttempt &attempt,
                                    std::span<const ReservedPart *const> stalled)
{
    if (std::exchange(attempt.silent, true))
        return;
    LogEvent::decision("attempt_silent")
        .field("request", m_request.caller.id)
        .field("path", attempt.pathText())
        .field("silent_ms", attempt.silence().count() / 1000)
        .field("stalled_servers", stalled.size())
        .field("events", m_deliveredEvents);
    inquireCrash(attempt, stalled, AnswerLoss::Silent);
    // With several stalled engines any of them may be the dead one, so a failure is recorded only
    // if there is one. On a host without links all its streams stall.
    if (stalled.size() == 1 && !m_node.connections().cutOff())
        reportEvidence(*stalled.front(), ServerEvidence::Unreachable);
    for (const ReservedPart *part : stalled) {
        m_suspectedAt[part->server] = m_node.now();
        m_node.survey().probeNow(part->server);
    }
}

void GenerationSession::resumeBesideSilentAttempts()
{
    const bool allSilent =
        std::all_of(m_open.begin(), m_open.end(), [](const auto &it) { return it->silent; });
    if (isWaiting() || !allSilent || m_request.route->retryPolicy != RetryPolicy::Resumable)
        return;
    if (mutated("gateway-close-silent-attempts"))
        return failAttempt(*m_open.back(), "no event within the stall timeout", true);
    for (const auto &it : m_open)
        countRun(*it, true);
    if (!tryTakeRetry())
        return;
    if (m_interruptedAt == TimePoint {})
        m_interruptedAt = m_open.back()->lastProgressAt();
    startOrEnqueue(true);
}

void GenerationSession::recordFailure(const ReservedPart &part, ServerEvidence evidence)
{
    m_excludedServers.insert(part.server);
    if (evidence == ServerEvidence::Unreachable)
        m_node.survey().probeNow(part.server);
    reportEvidence(part, evidence);
}

void GenerationSession::reportEvidence(const ReservedPart &part, ServerEvidence evidence)
{
    m_node.view().health().recordEvidence(part.server, part.startedAtMs, evidence, m_node.now());
    LogEvent::decision("server_failure")
        .field("request", m_request.caller.id)
        .field("server", part.server)
        .field("streams", part.load->streams)
        .field("since_progress_ms", (m_node.now() - part.load->lastProgressAt).count() / 1000)
        .field("evidence", toString(evidence));
}

void GenerationSession::onAnswerEnd(GenerationAttempt &attempt)
{
    const auto keep = shared_from_this();
    if (!attempt.isStream())
        return handleNonStreamAnswer(attempt);
    // The end of a connection may be that of the engine. Events of an earlier attempt say nothing
    // about this one.
    const bool endsEmpty = attempt.endsWithConnection() && !attempt.anyEvent();
    if (endsEmpty || attempt.splitter().unfinishedBytes() > 0) {
        recordFailure(attempt.parts().front(), ServerEvidence::Failed);
        inquireCrash(attempt, std::array {&attempt.parts().front()}, AnswerLoss::ConnectionEnded);
        return failAttempt(attempt,
                           endsEmpty ? "the stream ended before its first event"
                                     : "the stream ended within an event",
                           true);
    }
    recordServed(attempt);
    m_demand.recordServed(attempt.startedAt());
    if (!std::exchange(m_responded, true))
        m_request.exchange->beginStream(attempt.answer().status, attempt.answerFields());
    for (const ReservedPart &part : attempt.parts())
        m_node.view().health().recordEvidence(part.server, part.startedAtMs, ServerEvidence::Served,
                                              m_node.now());
    m_request.exchange->endStream();
    finish("complete", std::to_string(attempt.answer().status));
}

void GenerationSession::handleFailedAnswer(GenerationAttempt &attempt)
{
    recordFailure(attempt.parts().front(), ServerEvidence::Failed);
    const ServerAnswer &answer = attempt.answer();
    if (!answer.isDeliverable() || answer.status == StatusOk || m_responded || m_open.size() > 1)
        return failAttempt(
            attempt,
            "the engine failed, or its answer is unstamped, encoded, for another request or an "
            "unfounded refusal",
            true);
    countRun(attempt, true);
    if (m_request.route->retryPolicy != RetryPolicy::AtMostOnce && tryTakeRetry()) {
        closeAttempt(attempt);
        return startOrEnqueue(true);
    }
    m_responded = true;
    m_request.exchange->respond(answer.status, attempt.answerFields(), attempt.answerBody());
    finish("complete", std::to_string(answer.status));
}

void GenerationSession::handleNonStreamAnswer(GenerationAttempt &attempt)
{
    if (!attempt.answer().notRun || !attempt.answer().idMatches)
        return handleFailedAnswer(attempt);
    const ReservedPart &faulty = attempt.partAt(attempt.answer().faultyAddress);
    // The status is the same for a dead engine and for one without free memory.
    const bool makesProgress = m_node.now() - faulty.load->lastProgressAt < RecentProgressWindow;
    recordFailure(faulty,
                  attempt.answer().status == StatusMisdirectedRequest || !makesProgress
                      ? ServerEvidence::Unreachable
                      : ServerEvidence::Refused);
    failAttempt(attempt,
                "engine " + faulty.server + " refused with "
                    + std::to_string(attempt.answer().status),
                false);
}

void GenerationSession::onAttemptError(GenerationAttempt &attempt, const Error &error)
{
    const auto keep = shared_from_this();
    const bool sent = attempt.anyByteSent();
    recordFailure(attempt.parts().front(), lossEvidence(sent, error));
    if (sent)
        inquireCrash(attempt, std::array {&attempt.parts().front()}, AnswerLoss::ConnectionEnded);
    failAttempt(attempt, error.message, sent);
}

/// Corrects the count if an attempt that was taken for run turns out not to have run.
void GenerationSession::countRun(GenerationAttempt &attempt, bool ran)
{
    if (attempt.countedAsRun == ran)
        return;
    attempt.countedAsRun = ran;
    m_ranAttempts += ran ? 1 : -1;
}

void GenerationSession::failAttempt(GenerationAttempt &attempt, std::string_view reason, bool ran)
{
    if (m_ended)
        return;
    const auto keep = shared_from_this();
    const auto keepAttempt = attempt.shared_from_this();
    LogEvent::decision("attempt_failed")
        .field("request", m_request.caller.id)
        .field("path", attempt.pathText())
        .field("reason", reason)
        .field("events", m_deliveredEvents)
        .field("since_progress_ms", attempt.silence().count() / 1000)
        .field("may_have_run", ran)
        .field("answer_begun", attempt.isStream())
        .field("prompt_parts", loggedParts(m_request.caller.sharedPromptParts))
        .field("open_attempts", m_open.size() - 1);
    if (m_interruptedAt == TimePoint {})
        m_interruptedAt = attempt.lastProgressAt();
    countRun(attempt, ran);
    const bool held = ran && mayHaveCrashed(attempt);
    closeAttempt(attempt);
    if (!attemptOpen())
        endTrial();
    if (attemptOpen())
        return resumeBesideSilentAttempts();
    m_mayHaveRun = m_ranAttempts > 0;
    if (isWaiting())
        return startWaitTimer(maxFailoverWait());
    const bool repeatable = m_request.route->retryPolicy == RetryPolicy::Resumable || !ran;
    if (repeatable && tryTakeRetry())
        return held ? holdRetry() : startUnlessSuspect(true);
    giveUp({ErrorKind::Unavailable, std::string(reason), "send it again later"}, RetryAfterRefusal);
}

} // namespace dogwoodvalve
