#pragma once

#include "gateway/request_session.h"

#include <dogwoodvalve/event_stream.h>

#include <set>

namespace dogwoodvalve {

/// A generation on a path of engines: the first engine streams the events of the whole path. Only
/// whole events reach the caller, with ids that rise by one. When a part of the path dies or
/// stalls, the stream goes on on another path after the last event that was delivered.
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
    /// A part of the path in hand.
    struct ReservedPart
    {
        std::string server;
        std::string address;
        std::int64_t startedAtMs = 0;
        std::shared_ptr<ServerLoad> load;
        double committed = 0;
        double backlogMs = 0;
    };

    void deliverEvents();
    void recordProgress();
    void releaseBacklog();
    void scheduleStallCheck(TimePoint at);
    void checkStall();
    Duration stallTimeout() const;
    void handleNonStreamAnswer();
    void handleFailedAnswer();
    void failOver(std::string_view reason, bool ran);
    void recordFailure(const ReservedPart &part, ServerEvidence evidence);

    SequenceSize m_size;
    std::vector<ReservedPart> m_parts;
    EnginePath m_path;
    /// Servers that have failed this request.
    std::set<std::string> m_excludedServers;
    EventSplitter m_splitter;
    EventOrderChecker m_eventOrder;
    int m_deliveredEvents = 0;
    Duration m_timeToFirstEvent {};
    Duration m_longestGap {};
    int m_attemptEvents = 0;
    TimePoint m_lastProgressAt {};
    TimePoint m_lastEventAt {};
    TimePoint m_interruptedAt {};
    TimerId m_stallTimer = 0;
    bool m_streaming = false;
};

} // namespace dogwoodvalve
