#pragma once

#include "gateway/requests/request_session.h"

#include <set>

namespace dogwoodvalve {

/// A request to a plain service, which any of its servers can answer. The answer is buffered until
/// it is complete, so that a request that may be repeated can be retried if the answer breaks off.
class PlainSession : public RequestSession, public HttpClientEvents
{
public:
    using RequestSession::RequestSession;

    bool tryStart() override;
    double work() const override { return 1; }

    void onHead(int status, std::span<const HttpField> fields) override;
    void onBody(std::string_view part) override;
    void onEnd() override;
    void onError(const Error &error) override;

protected:
    Duration maxFailoverWait() const override;
    void closeAttempts() override;
    bool attemptOpen() const override { return m_client != nullptr; }

private:
    /// Closes the attempt and retries the request, or ends it if it may not be retried.
    void handleFailedAttempt(ServerEvidence evidence, std::string_view reason, bool ran);
    void deliver();
    /// Whether the request may be sent to another server after its last attempt.
    bool tryBeginRetry(bool lastAttemptRan);

    std::shared_ptr<HttpClientRequest> m_client;
    /// When the open attempt was sent.
    TimePoint m_sentAt {};
    /// What has arrived of the answer to the current attempt.
    ServerAnswer m_answer;
    std::vector<HttpField> m_answerFields;
    std::string m_answerBody;
    /// The server's answer to this request has arrived whole, so the open attempt has not crashed
    /// it.
    bool m_answered = false;
    std::shared_ptr<ServerLoad> m_load;
    std::string m_server;
    std::int64_t m_serverStartedAtMs = 0;
    std::set<std::string> m_triedServers;
};

} // namespace dogwoodvalve
