#pragma once

#include "gateway/requests/generation_attempt.h"
#include "gateway/requests/request_session.h"

#include <map>
#include <set>

namespace dogwoodvalve {

/// A generation on a path of engines, of which the first streams the events. Only complete events
/// with consecutive ids are delivered to the caller.
///
/// An engine without an event for a while may be lost, or may go on a moment later. So a silent
/// attempt stays open while the stream is resumed on another path after the last delivered event,
/// if the route, its attempts, the retry budget and the engines allow that. The attempt that
/// delivers the next event goes on, and the others are closed. The gateway itself ends an answer
/// only when no attempt is left, or at the deadline.
class GenerationSession : public RequestSession, public GenerationAttemptObserver
{
public:
    GenerationSession(GatewayNode &node, AcceptedRequest request);
    ~GenerationSession() override;

    bool tryStart() override;
    double work() const override { return m_size.total(); }

    void onStreamData(GenerationAttempt &attempt) override;
    void onAnswerEnd(GenerationAttempt &attempt) override;
    void onAttemptError(GenerationAttempt &attempt, const Error &error) override;

protected:
    AdmissionDecision admission() override;
    Duration maxFailoverWait() const override;
    void closeAttempts() override;
    bool attemptOpen() const override { return !m_open.empty(); }
    bool attemptDelivers() const override;
    void addOutcomeFields(LogEvent &event) const override;

private:
    ReservedPart reservedPart(const PathServer &server, LayerSpan layers) const;
    void startAttempt(std::span<const PathServer> servers, EnginePath path);
    void closeAttempt(GenerationAttempt &attempt);
    /// Lets the attempt go on that has delivered an event, and closes the others.
    void continueWith(GenerationAttempt &attempt);
    void beginStream(const GenerationAttempt &attempt);
    /// Updates latencies after an event was delivered.
    void recordEventTimes();
    void limitPendingBytes(const std::shared_ptr<GenerationAttempt> &attempt);

    void scheduleStallCheck(GenerationAttempt &attempt, TimePoint at);
    void checkStall(GenerationAttempt &attempt);
    /// Excludes the servers that may be lost for a while, and has them probed.
    void suspectLoss(GenerationAttempt &attempt, std::span<const ReservedPart *const> stalled);
    /// Starts or queues another attempt beside the silent ones, if there may be one.
    void resumeBesideSilentAttempts();

    /// Handles an answer without a stream: an engine of the path refused the request or failed it.
    void handleNonStreamAnswer(GenerationAttempt &attempt);
    /// Handles an error of the engine, or an answer that is not this engine's to this request. An
    /// error of the engine is forwarded to the caller if the request may not be retried.
    void handleFailedAnswer(GenerationAttempt &attempt);
    /// Closes the attempt. If it was the last one, resumes the stream on another path, or ends the
    /// request if it may not be retried. A request that may have run is retried only on a route for
    /// resumable requests.
    void failAttempt(GenerationAttempt &attempt, std::string_view reason, bool ran);
    /// An attempt on these servers has stopped. If its answer had just begun, that may be because
    /// of its prompt.
    void inquireCrash(const GenerationAttempt &attempt,
                      std::span<const ReservedPart *const> servers, AnswerLoss loss);
    /// Whether the attempt's prompt may have crashed the engine.
    bool mayHaveCrashed(const GenerationAttempt &attempt) const;
    /// Starts the next attempt later, when it is known better whether the prompt crashes engines.
    void holdRetry();
    /// Records, once for each attempt, that its answer has gone on past its beginning.
    void recordServed(GenerationAttempt &attempt);
    void countRun(GenerationAttempt &attempt, bool ran);
    /// Excludes the server from this request and reports the evidence to the health checks.
    void recordFailure(const ReservedPart &part, ServerEvidence evidence);
    void reportEvidence(const ReservedPart &part, ServerEvidence evidence);

    SequenceSize m_size;
    RequestDemand m_demand;
    std::vector<std::shared_ptr<GenerationAttempt>> m_open;
    /// Expectations of the last path.
    Duration m_expectedFirstEvent {};
    Duration m_expectedStep {};
    /// Servers that failed this request; no further attempt uses them.
    std::set<std::string> m_excludedServers;
    TimerId m_holdTimer = 0;
    /// When servers stalled this request.
    std::map<std::string, TimePoint, std::less<>> m_suspectedAt;
    EventOrderChecker m_eventOrder;
    int m_deliveredEvents = 0;
    Duration m_timeToFirstEvent {};
    Duration m_longestGap {};
    TimePoint m_lastEventAt {};
    /// Last progress before the stream was interrupted; unset while it runs.
    TimePoint m_interruptedAt {};
};

} // namespace dogwoodvalve
