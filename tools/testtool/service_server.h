#pragma once

#include "net/http_server.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>

namespace dogwoodvalve::testtool {

/// A pretended plain service. It echoes method, path and body, and counts how often each value
/// of the field Test-Id came, so that a test can tell whether a call ran twice.
///
///     GET /test/counts    {"ID": N, ...}
///     /test/slow/MILLIS   answers after a while
///     /test/drop          closes without an answer, after it has counted
class ServiceServer : public HttpHandler
{
public:
    ServiceServer(boost::asio::io_context &loop, TimerService &timers);

    Result<void> listen(const boost::asio::ip::tcp::endpoint &endpoint);
    void handle(const std::shared_ptr<HttpExchange> &exchange) override;
    const std::map<std::string, int> &counts() const { return m_counts; }
    unsigned short port() const { return m_server.port(); }

private:
    void echo(const std::shared_ptr<HttpExchange> &exchange);

    TimerService &m_timers;
    HttpServer m_server;
    std::map<std::string, int> m_counts;
};

} // namespace dogwoodvalve::testtool
