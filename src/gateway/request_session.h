#pragma once

#include "daemon/log.h"
#include "gateway/gateway_node.h"
#include "gateway/wait_queue.h"
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
    int priority = 5;
    std::shared_ptr<HttpExchange> exchange;
    CallerRequest caller;
    std::string body;
    TimePoint arrivedAt {};
};

/// One request of a caller from its arrival to its final answer. Each attempt sends it to one
/// server; the subclass decides what happens when an attempt fails.
class RequestSession : public HttpClientEvents,
                       public WaitingRequest,
                       public std::enable_shared_from_this<RequestSession>
{
public:
    RequestSession(GatewayNode &node, AcceptedRequest request);
    ~RequestSession() override = default;

    RequestSession(const RequestSession &) = delete;
    RequestSession &operator=(const RequestSession &) = delete;

    /// Sends the request to a server, queues it until servers have capacity, or refuses it.
    void start();

    bool isWaiting() const override { return m_isWaiting && !m_ended; }
    /// Ends a waiting request if its wait is over before the servers that want a pause can serve
    /// it.
    void refuseIfServersPause();

protected:
    /// Time until the deadline of the request.
    Duration timeLeft() const { return m_deadline - m_node.now(); }
    /// The longest wait for capacity after which the answer can still meet the route's target for
    /// the first byte.
    Duration maxUsefulWait() const;
    /// Adds the fields of this kind of request to the log event of its end.
    virtual void addOutcomeFields(LogEvent &event) const;
    /// Releases what the current attempt has reserved on servers.
    virtual void releaseAttempt() = 0;

    /// How long a request whose attempt failed may wait for another server.
    virtual Duration maxFailoverWait() const = 0;
    /// Starts an attempt if servers have capacity, or queues the request. A request that was sent
    /// before goes to the front of the queue. One that gets no capacity within the wait timeout
    /// gets its final answer then.
    void startOrEnqueue(bool atFront);
    void dispatch(const ServerRegistration &server, const DispatchRequest &request,
                  std::string_view reason);
    /// Releases the attempt's reservations and closes its connection.
    void closeAttempt();
    /// Whether the request may be sent to another server; takes the attempt from the retry budget.
    /// An attempt that did not run doesn't count towards the route's maximum.
    bool tryBeginRetry(bool lastAttemptRan);

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
    std::shared_ptr<HttpClientRequest> m_client;
    TimePoint m_deadline {};
    std::string m_pathText;
    /// What has arrived of the answer to the current attempt.
    ServerAnswer m_answer;
    std::vector<HttpField> m_answerFields;
    std::string m_answerBody;
    int m_attempts = 0;
    int m_ranAttempts = 0;
    /// The request was sent to a server that has not answered that it did not run it.
    bool m_mayHaveRun = false;
    bool m_responded = false;
    bool m_ended = false;
    bool m_isWaiting = false;

private:
    void onDeadline();
    void onCallerDisconnected();
    void startWaitTimer(Duration time);
    /// As refuseIfServersPause(), for a request that may wait for this time. Returns whether it
    /// ended the request.
    bool endIfServersPauseLonger(Duration longestWait);
    void onWaitTimeout();

    TimerId m_deadlineTimer = 0;
    TimerId m_waitTimer = 0;
    TimePoint m_waitEndsAt {};
};

/// Creates a GenerationSession for a generation on a layered service, and a PlainSession otherwise.
std::shared_ptr<RequestSession> makeSession(GatewayNode &node, AcceptedRequest request);

} // namespace dogwoodvalve
