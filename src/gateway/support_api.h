#pragma once

#include "gateway/gateway_node.h"
#include "net/http_server.h"

#include <cstdint>
#include <string>

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
    /// The query form=zlib asks for the compressed document.
    static constexpr const char *CompressedForm = "zlib";
    /// The query after=END asks only for records after this end of the log.
    static constexpr const char *RegistrationsPath = "/registrations";

private:
    void answerLookup(HttpExchange &exchange);
    void answerConfiguration(HttpExchange &exchange);
    void answerRegistrations(HttpExchange &exchange);

    GatewayNode &m_node;
    std::string m_compressedConfiguration;
    /// The version that is compressed; 0 if none is.
    std::uint64_t m_compressedVersion = 0;
};

} // namespace dogwoodvalve
