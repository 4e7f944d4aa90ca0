#pragma once

#include "daemon/completion_session.h"
#include "daemon/proxy_session.h"
#include "net/http_server.h"

#include <memory>
#include <optional>
#include <set>
#include <string_view>

namespace dogwoodvalve {

/// HTTP API for callers: completions, models, the list of entry hosts, and plain services.
class CallerApi : public HttpHandler
{
public:
    explicit CallerApi(SessionEnvironment &environment)
        : m_environment(environment)
    { }

    void handle(const std::shared_ptr<HttpExchange> &exchange) override;

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    /// An authenticated caller, the configuration in force at that time, and the request's key.
    struct Caller
    {
        ConfigurationPointer configuration;
        const ConfiguredWorkspace *workspace = nullptr;
        std::optional<RequestKey> key;
    };

    bool refuseIfDrainingOrIsolated(const Exchange &exchange);
    bool refuseIfNotReady(const Exchange &exchange);
    std::optional<Caller> authenticateCaller(const Exchange &exchange);
    std::optional<Caller> acceptRequest(const Exchange &exchange);
    bool handleKeyVerdict(const Exchange &exchange, const Caller &caller, KeyDecision decision);
    bool admitKey(const Exchange &exchange, const Caller &caller);
    bool forwardToOwner(const Exchange &exchange, const Caller &caller);
    bool forwardToHome(const Exchange &exchange, CompletionKind kind, const Caller &caller);
    void forward(const Exchange &exchange, const Member &member, std::string_view workspace,
                 std::function<void()> unreachable);
    void handleCompletion(const Exchange &exchange, CompletionKind kind);
    void complete(const Exchange &exchange, CompletionKind kind, Caller caller);
    Result<CompletionRequest> parseWithinRoom(HttpExchange &exchange, CompletionKind kind,
                                              std::string_view body) const;
    void runCompletion(const Exchange &exchange, CompletionKind kind, const Caller &caller,
                       std::string_view body);
    void handleService(const Exchange &exchange);
    void rotateHomes(std::vector<Member> &entries, int homesPerWorkspace);
    void respondEntries(const Exchange &exchange);
    void respondModels(const Exchange &exchange);
    void respondHealth(const Exchange &exchange);
    void respondReady(const Exchange &exchange);
    void refuse(const Exchange &exchange, const Error &error, Outcome outcome);
    void settleKey(const Caller &caller, Outcome outcome);
    void startProxy(const std::shared_ptr<ProxySession> &session);

    SessionEnvironment &m_environment;
    /// Answers to /v1/entries so far, which decide the home host to list first.
    std::size_t m_entryListings = 0;
    std::set<std::shared_ptr<ProxySession>> m_proxies;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
