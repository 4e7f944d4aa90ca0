#pragma once

#include "gateway/request_session.h"

#include <dogwoodvalve/event_stream.h>

#include <set>

namespace dogwoodvalve {

/// A generation on a path of engines, of which the first streams the events. Only complete events
/// with consecutive ids are delivered to the caller. When an engine of the path dies or stalls, the
/// stream is resumed on another path after the last delivered event.
class GenerationSession : public RequestSession
{
public:
    GenerationSession(GatewayNode &node, AcceptedRequest request);
    ~GenerationSession() override;

    bool tryStart() override;
    double work() const override { return m_size.total(); }

    void onHead(int status, std::span<const HttpField> fields) override;
    void onBody(std::string_view part) override;
    void onEnd() override;
    void onError(const Error &error) override;

protected:
    Duration maxFailoverWait() const override;
    void releaseAttempt() override;
    void addOutcomeFields(LogEvent &event) const override;

private:
    /// A part of the current attempt's path, with what the attempt has reserved on its server.
    struct ReservedPart
    {
        std::string server;
        std::string address;
        std::int64_t startedAtMs = 0;
        std::shared_ptr<ServerLoad> load;
        /// Context memory, in tokens x layers.
        double committed = 0;
        /// Time that the server needs to read the prompt; 0 once it was read.
        double backlogMs = 0;
    };

    /// Forwards the complete events that have arrived to the caller.
    void deliverEvents();
    /// Updates latencies and progress times after an event was delivered.
    void recordProgress();
    void releaseBacklog();
    void scheduleStallCheck(TimePoint at);
    void checkStall();
    Duration stallTimeout() const;
    /// Handles an answer without a stream: an engine of the path refused the request or failed it.
    void handleNonStreamAnswer();
    /// Handles an error of the engine, or an answer that is not this engine's to this request. An
    /// error of the engine is forwarded to the caller if the request may not be retried.
    void handleFailedAnswer();
    /// Closes the attempt and resumes the stream on another path, or ends the request if it may not
    /// be retried. A request that may have run is retried only on a route for resumable requests.
    void failOver(std::string_view reason, bool ran);
    /// Uses what the answer says about the engines of the path.
    void recordNotices();
    /// Excludes the server from this request and reports the evidence to the health checks.
    void recordFailure(const ReservedPart &part, ServerEvidence evidence);

    SequenceSize m_size;
    std::vector<ReservedPart> m_parts;
    EnginePath m_path;
    /// Servers that failed this request or stalled it; no further attempt uses them.
    std::set<std::string> m_excludedServers;
    EventSplitter m_splitter;
    EventOrderChecker m_eventOrder;
    int m_deliveredEvents = 0;
    Duration m_timeToFirstEvent {};
    Duration m_longestGap {};
    /// Events that the current attempt has delivered.
    int m_attemptEvents = 0;
    /// The start of the attempt, or its last event.
    TimePoint m_lastProgressAt {};
    TimePoint m_lastEventAt {};
    /// Last progress before the stream was interrupted; unset while it runs.
    TimePoint m_interruptedAt {};
    TimerId m_stallTimer = 0;
    bool m_streaming = false;
};

} // namespace dogwoodvalve
