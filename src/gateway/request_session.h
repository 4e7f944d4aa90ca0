#pragma once

#include "daemon/log.h"
#include "gateway/gateway_node.h"
#include "gateway/wait_queue.h"
#include "net/http_status.h"

#include <memory>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// A caller's request, checked against the configuration that was in force when it came.
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

/// One request of a caller from its arrival to its final answer. It is sent to one server at a
/// time; what happens when that fails is up to the kind of request.
class RequestSession : public HttpClientEvents,
                       public WaitingRequest,
                       public std::enable_shared_from_this<RequestSession>
{
public:
    RequestSession(GatewayNode &node, AcceptedRequest request);
    ~RequestSession() override = default;

    RequestSession(const RequestSession &) = delete;
    RequestSession &operator=(const RequestSession &) = delete;

    /// Starts the request, lets it wait for room, or refuses it.
    void start();

    bool isWaiting() const override { return m_isWaiting && !m_ended; }

protected:
    /// What the deadline leaves.
    Duration timeLeft() const { return m_deadline - m_node.now(); }
    /// The longest wait for room after which the answer is still on time.
    Duration maxUsefulWait() const;
    /// Adds what only this kind of request knows to the line of its end.
    virtual void addOutcomeFields(LogEvent &event) const;
    /// Gives up what the attempt in hand has taken on servers.
    virtual void releaseAttempt() = 0;

    /// How long a request that has lost its server may look for another one.
    virtual Duration maxFailoverWait() const = 0;
    /// Looks for room now or later. Goes before others if the request is under way already. A
    /// request that finds none in useful time gets its final answer then.
    void startOrEnqueue(bool atFront);
    void dispatch(const ServerRegistration &server, const DispatchRequest &request,
                  std::string_view reason);
    void closeAttempt();
    /// Whether the request may be sent to another server. An attempt that never ran counts against
    /// the budget only.
    bool tryBeginRetry(bool lastAttemptRan);

    /// The final answer, made here. The outcome names what callers may rely on.
    void refuse(int status, const Error &error, std::optional<Duration> retryAfter);
    void fail(int status, const Error &error);
    /// No further attempt is made: says truthfully whether the request may have run.
    void giveUp(const Error &error, Duration retryAfter);
    void finish(std::string_view outcome, std::string_view reason);

    GatewayNode &m_node;
    AcceptedRequest m_request;
    std::shared_ptr<HttpClientRequest> m_client;
    TimePoint m_deadline {};
    std::string m_pathText;
    /// The answer of the attempt in hand, and what of it has come.
    ServerAnswer m_answer;
    std::vector<HttpField> m_answerFields;
    std::string m_answerBody;
    int m_attempts = 0;
    int m_ranAttempts = 0;
    /// Bytes of the request were handed to a server that has not said that it did not run it.
    bool m_mayHaveRun = false;
    bool m_responded = false;
    bool m_ended = false;
    bool m_isWaiting = false;

private:
    void onDeadline();
    void onCallerDisconnected();
    void startWaitTimer(Duration time);
    void onWaitTimeout();

    TimerId m_deadlineTimer = 0;
    TimerId m_waitTimer = 0;
};

/// Makes the session that suits the service.
std::shared_ptr<RequestSession> makeSession(GatewayNode &node, AcceptedRequest request);

} // namespace dogwoodvalve
