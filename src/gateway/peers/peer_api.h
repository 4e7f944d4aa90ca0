#pragma once

#include "gateway/servers/forwarded_request.h"
#include "net/http_server.h"

namespace dogwoodvalve {

/// Answers other hosts. Only they may have requests forwarded, as nothing is checked on the way.
class PeerApi : public HttpHandler
{
public:
    /// Requests that are not to be forwarded go to the other handler.
    PeerApi(GatewayNode &node, HttpHandler &support)
        : m_node(node)
        , m_support(support)
    { }

    void handle(const std::shared_ptr<HttpExchange> &exchange) override
    {
        if (!tryForwardRequest(m_node, exchange))
            m_support.handle(exchange);
    }

private:
    GatewayNode &m_node;
    HttpHandler &m_support;
};

} // namespace dogwoodvalve
