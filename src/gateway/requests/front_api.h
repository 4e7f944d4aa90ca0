#pragma once

#include "gateway/gateway_node.h"
#include "net/http_server.h"

namespace dogwoodvalve {

struct AcceptedRequest;

/// Handles callers' requests: finds the route and the workspace, reads the body and starts a
/// session. Requests that the current configuration doesn't allow are refused at once.
class FrontApi : public HttpHandler
{
public:
    explicit FrontApi(GatewayNode &node)
        : m_node(node)
        , m_startedAt(node.now())
    { }

    void handle(const std::shared_ptr<HttpExchange> &exchange) override;

    /// Serves the requests that arrived before the configuration was known.
    void serveHeldRequests();

private:
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const CallerRequest &caller,
                int status, const Error &error);
    void serve(const std::shared_ptr<HttpExchange> &exchange);
    /// Keeps a request until the configuration is known, at most for a short time after the start.
    void hold(const std::shared_ptr<HttpExchange> &exchange);
    void readBody(AcceptedRequest request);

    GatewayNode &m_node;
    TimePoint m_startedAt;
    std::vector<std::shared_ptr<HttpExchange>> m_held;
    TimerId m_holdTimer = 0;
};

} // namespace dogwoodvalve
