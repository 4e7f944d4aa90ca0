#pragma once

#include "gateway/request_session.h"

#include <set>

namespace dogwoodvalve {

/// A request to a plain service: any server can take it, and its answer is delivered when it is
/// whole, so that a broken one can still be replaced where the request may be repeated.
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
    void handleFailedAttempt(ServerEvidence evidence, std::string_view reason, bool ran);
    void deliver();

    std::shared_ptr<ServerLoad> m_load;
    std::string m_server;
    std::int64_t m_serverStartedAtMs = 0;
    std::set<std::string> m_triedServers;
};

} // namespace dogwoodvalve
