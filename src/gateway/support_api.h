#pragma once

#include "gateway/gateway_node.h"
#include "net/http_server.h"

namespace dogwoodvalve {

/// Answers everything that is not a caller's request: look-ups of host addresses, readiness checks,
/// metrics, and requests of other hosts for the configuration and the registrations of servers.
class SupportApi : public HttpHandler
{
public:
    explicit SupportApi(GatewayNode &node)
        : m_node(node)
    { }

    void handle(const std::shared_ptr<HttpExchange> &exchange) override;

    static constexpr const char *ConfigurationPath = "/configuration";
    /// The query after=END asks only for records after this end of the log.
    static constexpr const char *RegistrationsPath = "/registrations";

private:
    void answerLookup(HttpExchange &exchange);
    void answerRegistrations(HttpExchange &exchange);

    GatewayNode &m_node;
};

} // namespace dogwoodvalve
