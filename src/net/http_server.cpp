#include "net/http_connection.h"

#include <boost/asio/steady_timer.hpp>
#include <sys/socket.h>

namespace dogwoodvalve {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int ListenBacklog = 4096;
/// Bytes in each direction that the operating system holds for a connection. It counts its own
/// overhead too and doubles them for that.
constexpr int SocketBufferBytes = 64 * 1024;
/// Pause after a connection could not be accepted, which repeats at once without one.
constexpr Duration AcceptRetryDelay = 20ms;

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    Impl(asio::io_context &loop, HttpHandler &handler, HttpServerLimits limits,
         std::shared_ptr<ClientAccount> account)
        : m_loop(loop)
        , m_acceptor(loop)
        , m_retryTimer(loop)
        , m_handler(handler)
        , m_limits(limits)
        , m_account(account ? std::move(account)
                            : std::make_shared<ClientAccount>(
                                clientLimits(effectiveMachineSize(MachineSize {}))))
    { }

    Result<void> listen(const tcp::endpoint &endpoint);
    void accept();
    void acceptLater();

    asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    HttpHandler &m_handler;
    HttpServerLimits m_limits;
    std::shared_ptr<ClientAccount> m_account;
    std::shared_ptr<ServerCounters> m_counters = std::make_shared<ServerCounters>();
    bool m_stopped = false;
};

Result<void> HttpServer::Impl::listen(const tcp::endpoint &endpoint)
{
    error_code ec;
    const auto failed = [&] {
        return Error {ErrorKind::Unavailable,
                      "cannot listen on " + endpoint.address().to_string() + ":"
                          + std::to_string(endpoint.port()) + ": " + ec.message(),
                      "use a free address of this host"};
    };
    m_acceptor.open(endpoint.protocol(), ec);
    if (ec)
        return failed();
    const int on = 1;
    ::setsockopt(m_acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    // Connections inherit the sizes, which must be known when they are made.
    m_acceptor.set_option(tcp::acceptor::receive_buffer_size(SocketBufferBytes), ec);
    m_acceptor.set_option(tcp::acceptor::send_buffer_size(SocketBufferBytes), ec);
    m_acceptor.bind(endpoint, ec);
    if (ec)
        return failed();
    m_acceptor.listen(ListenBacklog, ec);
    if (ec)
        return failed();
    accept();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void HttpServer::Impl::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
        if (self->m_stopped || ec == asio::error::operation_aborted)
            return;
        if (ec && ec != asio::error::connection_aborted)
            return self->acceptLater();
        if (!ec && self->m_counters->connections < self->m_limits.maxConnections) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<HttpConnection>(std::move(socket), self->m_handler, self->m_limits,
                                             self->m_counters, self->m_account)
                ->start();
        }
        self->accept();
    });
}

void HttpServer::Impl::acceptLater()
{
    m_retryTimer.expires_after(AcceptRetryDelay);
    m_retryTimer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec && !self->m_stopped)
            self->accept();
    });
}

HttpServer::HttpServer(asio::io_context &loop, HttpHandler &handler, HttpServerLimits limits,
                       std::shared_ptr<ClientAccount> account)
    : m_impl(std::make_shared<Impl>(loop, handler, limits, std::move(account)))
{ }

HttpServer::~HttpServer()
{
    stopAccepting();
}

Result<void> HttpServer::listen(const tcp::endpoint &endpoint)
{
    return m_impl->listen(endpoint);
}

void HttpServer::stopAccepting()
{
    m_impl->m_stopped = true;
    error_code ec;
    m_impl->m_acceptor.close(ec);
    m_impl->m_retryTimer.cancel();
}

std::size_t HttpServer::connections() const
{
    return m_impl->m_counters->connections;
}

int HttpServer::exchangesInFlight() const
{
    return m_impl->m_counters->exchangesInFlight.load(std::memory_order_relaxed);
}

unsigned short HttpServer::port() const
{
    error_code ec;
    return m_impl->m_acceptor.local_endpoint(ec).port();
}

} // namespace dogwoodvalve
