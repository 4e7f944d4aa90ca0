#pragma once

#include "gateway/request_session.h"

#include <set>

namespace dogwoodvalve {

/// A request to a plain service, which any of its servers can answer. The answer is buffered until
/// it is complete, so that a request that may be repeated can be retried if the answer breaks off.
class PlainSession : public RequestSession
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
    void releaseAttempt() override;

private:
    /// Closes the attempt and retries the request, or ends it if it may not be retried.
    void handleFailedAttempt(ServerEvidence evidence, std::string_view reason, bool ran);
    void deliver();

    std::shared_ptr<ServerLoad> m_load;
    std::string m_server;
    std::int64_t m_serverStartedAtMs = 0;
    std::set<std::string> m_triedServers;
};

} // namespace dogwoodvalve
