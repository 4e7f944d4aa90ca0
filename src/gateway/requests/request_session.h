#pragma once

#include "daemon/log.h"
#include "gateway/gateway_node.h"
#include "gateway/requests/wait_queue.h"
#include "net/http_status.h"

#include <memory>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// A caller's request with the route and the service that the configuration at its arrival gave it.
struct AcceptedRequest
{
    FleetConfigurationPointer configuration;
    const RouteRule *route = nullptr;
    const ServiceRule *service = nullptr;
    std::string workspace;
    /// As requestRank().
    int rank = 0;
    std::shared_ptr<HttpExchange> exchange;
    CallerRequest caller;
    SharedBytes body;
    /// Equal for requests with the same method, host, target, key and body. It can't be the id of a
    /// part of a prompt.
    std::string fingerprint;
    TimePoint arrivedAt {};
};

/// The fingerprint of a request whose other members are set.
std::string fingerprintOf(const AcceptedRequest &request);

/// One request of a caller from its arrival to its final answer. Each attempt sends it to one
/// server; the subclass decides what happens when an attempt fails.
class RequestSession : public WaitingRequest, public std::enable_shared_from_this<RequestSession>
{
public:
    RequestSession(GatewayNode &node, AcceptedRequest request);
    ~RequestSession() override = default;

    RequestSession(const RequestSession &) = delete;
    RequestSession &operator=(const RequestSession &) = delete;

    /// Sends the request to a server, queues it until servers have capacity, or refuses it.
    void start();

    bool isWaiting() const override { return m_isWaiting && !m_ended; }
    bool isInterrupted() const override { return m_responded || attemptOpen(); }
    int rank() const override { return m_request.rank; }
    /// Gives the request its final answer because the process exits before its deadline.
    void endAtExit();
    /// Ends a waiting request if its wait is over before the servers that want a pause can serve
    /// it.
    void refuseIfServersPause();
    /// Ends a request whose prompt has a part in quarantine, unless an answer to it is past its
    /// beginning. Returns whether it did.
    bool endIfQuarantined();

protected:
    /// Time until the deadline of the request.
    Duration timeLeft() const { return m_deadline - m_node.now(); }
    /// The longest wait for capacity after which the answer can still meet the route's target for
    /// the first byte.
    Duration maxUsefulWait() const;
    /// Adds the fields of this kind of request to the log event of its end.
    virtual void addOutcomeFields(LogEvent &event) const;
    /// Releases what open attempts have reserved on servers and closes their connections.
    virtual void closeAttempts() = 0;
    /// Whether a server may still answer.
    virtual bool attemptOpen() const = 0;
    /// Whether an open attempt has delivered a part of the answer.
    virtual bool attemptDelivers() const { return false; }

    /// Whether a new request may start, or be queued. Requests that were sent before are not asked.
    virtual AdmissionDecision admission() { return {}; }
    /// How long a request whose attempt failed may wait for another server.
    virtual Duration maxFailoverWait() const = 0;
    /// Starts an attempt if servers have capacity, or queues the request. A request that was sent
    /// before goes to the front of the queue. One that gets no capacity within the wait timeout
    /// gets its final answer then, unless an attempt is open.
    void startOrEnqueue(bool atFront);
    /// As startOrEnqueue(), but while the request may have crashed a server, only after a moment:
    /// other hosts may be about to tell of another crash. A request that has a part in doubt waits
    /// until a trial has shown whether the part crashes servers, or is the trial.
    void startUnlessSuspect(bool atFront);
    /// What the error that ended an attempt shows about its server. A request that other hosts did
    /// not forward because of a pause has shown that the server is alive.
    static ServerEvidence lossEvidence(bool sent, const Error &error);
    /// What may have crashed a server on which this request's answer has stopped.
    StoppedRequest stoppedRequest(bool undelivered, TimePoint sentAt) const;
    /// An attempt has ended without showing whether the part in doubt crashes servers.
    void endTrial();
    /// Limits the time in the queue, from now on.
    void startWaitTimer(Duration time);
    void leaveQueue();
    /// Sends the request to a server. The events object must outlive the returned client, or close
    /// it.
    std::shared_ptr<HttpClientRequest> dispatch(const ServerRegistration &server,
                                                const DispatchRequest &request,
                                                std::string_view reason, HttpClientEvents &events);
    /// Whether the attempts of the route and the retry budget allow another attempt. Reserves it in
    /// the budget, once for each attempt that is then sent.
    bool tryTakeRetry();

    /// Ends the request with an error that the gateway answers itself. The body's outcome tells the
    /// caller whether the request may have run.
    void refuse(int status, const Error &error, std::optional<Duration> retryAfter);
    /// As refuse(), for a request that may have run. A stream that has begun is aborted.
    void fail(int status, const Error &error);
    /// Ends the request after its last attempt: fails it if it may have run, refuses it otherwise.
    void giveUp(const Error &error, Duration retryAfter);
    /// Releases everything that the request holds, and logs and counts its outcome.
    void finish(std::string_view outcome, std::string_view reason);

    GatewayNode &m_node;
    AcceptedRequest m_request;
    /// What could crash a server: the request itself, by its fingerprint, and the shared parts of
    /// its prompt.
    std::vector<std::string> m_crashSuspects;
    TimePoint m_deadline {};
    std::string m_pathText;
    int m_attempts = 0;
    /// Attempts that may have run; the others don't count towards the route's maximum.
    int m_ranAttempts = 0;
    /// The request was sent to a server that has not answered that it did not run it.
    bool m_mayHaveRun = false;
    bool m_responded = false;
    /// An answer to the request has gone on past its beginning, so that it does not crash servers.
    bool m_wentOn = false;
    bool m_ended = false;
    bool m_isWaiting = false;

private:
    void onDeadline();
    void onCallerDisconnected();
    /// As refuseIfServersPause(), for a request that may wait for this time. Returns whether it
    /// ended the request.
    bool endIfServersPauseLonger(Duration longestWait);
    void onWaitTimeout();
    /// Refuses a new request that the fleet does not admit. Returns whether it did.
    bool refuseUnlessAdmitted();
    /// Whether the request may have crashed a server a short while ago.
    bool isSuspect() const;
    /// The first part of the prompt that is in doubt.
    std::optional<QuarantinedPart> findDoubtful() const;
    /// Ends a request with a part in doubt that may have crashed a server itself, or that has
    /// waited for a trial too long. Returns whether it did.
    bool endIfDoubtful(std::string_view part);
    /// Whether the request has to wait for the trial of a part in doubt. Makes the request the
    /// trial if it may be.
    bool waitsForTrial(const QuarantinedPart &doubtful);
    void startWhenHoldEnds(bool atFront, TimePoint holdEndsAt);
    /// Gives a reserved retry back that will not be sent.
    void releaseRetry();

    TimerId m_deadlineTimer = 0;
    TimerId m_waitTimer = 0;
    TimerId m_suspectTimer = 0;
    /// Since when the request waits because of a part in doubt.
    std::optional<TimePoint> m_doubtedSince;
    /// The part in doubt for which this request is the trial.
    std::string m_triedPart;
    /// The next attempt is reserved in the retry budget and waits to be sent.
    bool m_retryReserved = false;
    TimePoint m_waitEndsAt {};
};

/// Creates a GenerationSession for a generation on a layered service, and a PlainSession otherwise.
std::shared_ptr<RequestSession> makeSession(GatewayNode &node, AcceptedRequest request);

} // namespace dogwoodvalve
