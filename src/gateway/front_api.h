#pragma once

#include "gateway/gateway_node.h"
#include "net/http_server.h"

namespace dogwoodvalve {

struct AcceptedRequest;

/// Takes callers' requests: finds route and workspace, reads the body and starts a session. What
/// can't be served by the configuration in force is answered at once.
class FrontApi : public HttpHandler
{
public:
    explicit FrontApi(GatewayNode &node)
        : m_node(node)
        , m_startedAt(node.now())
    { }

    void handle(const std::shared_ptr<HttpExchange> &exchange) override;

    /// Serves the requests that came before the configuration was known.
    void serveHeldRequests();

private:
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const CallerRequest &caller,
                int status, const Error &error);
    void serve(const std::shared_ptr<HttpExchange> &exchange);
    void hold(const std::shared_ptr<HttpExchange> &exchange);
    void readBody(AcceptedRequest request);

    GatewayNode &m_node;
    TimePoint m_startedAt;
    std::vector<std::shared_ptr<HttpExchange>> m_held;
    TimerId m_holdTimer = 0;
};

} // namespace dogwoodvalve
