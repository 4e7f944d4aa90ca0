#pragma once

#include "net/http_server.h"
#include "platform_core.h"

#include <dogwoodvalve/random.h>

#include <boost/asio/io_context.hpp>

namespace dogwoodvalve::testtool {

/// The pretended platform behind HTTP:
///
///     POST /log/STREAM               appends the body; answers {"offset": N}
///     GET  /log/STREAM?from=N&max=M  answers {"firstKept", "from", "end", "records"}
///     GET  /hosts                    the host list
///     POST /hosts                    replaces the host list
///     POST /faults                   switches faults on and off
class PlatformServer : public HttpHandler
{
public:
    PlatformServer(boost::asio::io_context &loop, TimerService &timers, double appendsPerSecond,
                   std::size_t recordsKept, std::uint64_t seed);

    Result<void> listen(const boost::asio::ip::tcp::endpoint &endpoint);
    void handle(const std::shared_ptr<HttpExchange> &exchange) override;
    unsigned short port() const { return m_server.port(); }
    PlatformCore &core() { return m_core; }

private:
    void answer(const std::shared_ptr<HttpExchange> &exchange);
    void appendRecord(const std::shared_ptr<HttpExchange> &exchange, const std::string &stream);
    void readRecords(const std::shared_ptr<HttpExchange> &exchange, const std::string &stream);
    void respondHosts(const std::shared_ptr<HttpExchange> &exchange);
    void replaceHosts(const std::shared_ptr<HttpExchange> &exchange);
    void applyFaults(const std::shared_ptr<HttpExchange> &exchange);

    TimerService &m_timers;
    PlatformCore m_core;
    HttpServer m_server;
    Random m_random;
};

} // namespace dogwoodvalve::testtool
