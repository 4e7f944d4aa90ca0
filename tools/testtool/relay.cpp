#include "relay.h"

#include "standin_http.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <array>

namespace dogwoodvalve::testtool {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Within this time the peer has read the answer, and its own writes wait for buffers.
constexpr Duration ResetDelay = 100ms;

} // namespace

/// Two joined connections.
class Relay::Pair : public std::enable_shared_from_this<Pair>
{
public:
    Pair(asio::io_context &loop, tcp::socket incoming, const RelayFaults &faults)
        : m_incoming(std::move(incoming))
        , m_outgoing(loop)
        , m_forward(loop)
        , m_backward(loop)
        , m_faults(faults)
    { }

    void start(const tcp::endpoint &target, const RelayAnswerer &answerer)
    {
        if (!answerer)
            return connect(target);
        asio::async_read_until(
            m_incoming, asio::dynamic_buffer(m_received), "\r\n\r\n",
            [self = shared_from_this(), target, answerer](error_code ec, std::size_t headBytes) {
                if (ec)
                    return self->close();
                auto answer = answerer(std::string_view(self->m_received).substr(0, headBytes));
                if (!answer)
                    return self->connect(target);
                self->m_answer = std::move(*answer);
                self->respond();
            });
    }

    void close()
    {
        error_code ec;
        m_incoming.close(ec);
        m_outgoing.close(ec);
    }

private:
    void connect(const tcp::endpoint &target)
    {
        m_outgoing.async_connect(target, [self = shared_from_this()](error_code ec) {
            if (ec)
                return self->close();
            asio::async_write(self->m_outgoing, asio::buffer(self->m_received),
                              [self](error_code writeError, std::size_t) {
                                  if (writeError)
                                      return self->close();
                                  self->pumpBothWays();
                              });
        });
    }

    void pumpBothWays()
    {
        pump(m_incoming, m_outgoing, m_forward, m_faults.swallowForward);
        pump(m_outgoing, m_incoming, m_backward, m_faults.swallowBackward);
    }

    void respond()
    {
        asio::async_write(m_incoming, asio::buffer(m_answer.bytes),
                          [self = shared_from_this()](error_code ec, std::size_t) {
                              if (ec)
                                  return self->close();
                              if (self->m_answer.reset)
                                  return self->resetLater();
                              self->m_incoming.shutdown(tcp::socket::shutdown_send, ec);
                              self->discard();
                          });
    }

    void resetLater()
    {
        m_forward.timer.expires_after(ResetDelay);
        m_forward.timer.async_wait([self = shared_from_this()](error_code) {
            error_code ec;
            self->m_incoming.set_option(asio::socket_base::linger(true, 0), ec);
            self->close();
        });
    }

    /// Reads on until the peer closes: a close with unread bytes would reset the connection.
    void discard()
    {
        m_incoming.async_read_some(asio::buffer(m_forward.buffer),
                                   [self = shared_from_this()](error_code ec, std::size_t) {
                                       if (ec)
                                           return self->close();
                                       self->discard();
                                   });
    }

    /// One direction's buffer and delay.
    struct Lane
    {
        explicit Lane(asio::io_context &loop)
            : timer(loop)
        { }

        std::array<char, 16 * 1024> buffer {};
        asio::steady_timer timer;
    };

    void pump(tcp::socket &from, tcp::socket &to, Lane &lane, const bool &swallow)
    {
        from.async_read_some(
            asio::buffer(lane.buffer),
            [this, self = shared_from_this(), &from, &to, &lane, &swallow](error_code ec,
                                                                           std::size_t n) {
                if (ec)
                    return close();
                if (swallow)
                    return pump(from, to, lane, swallow);
                lane.timer.expires_after(m_faults.delay);
                lane.timer.async_wait([this, self, &from, &to, &lane, &swallow, n](error_code) {
                    asio::async_write(to, asio::buffer(lane.buffer.data(), n),
                                      [this, self, &from, &to, &lane,
                                       &swallow](error_code writeError, std::size_t) {
                                          if (writeError)
                                              return close();
                                          pump(from, to, lane, swallow);
                                      });
                });
            });
    }

    tcp::socket m_incoming;
    tcp::socket m_outgoing;
    Lane m_forward;
    Lane m_backward;
    const RelayFaults &m_faults;
    /// What was read before the connection was passed on.
    std::string m_received;
    RelayAnswer m_answer;
};

Relay::Relay(asio::io_context &loop, tcp::endpoint target)
    : m_loop(loop)
    , m_target(std::move(target))
    , m_acceptor(loop)
    , m_control(loop, *this, HttpServerLimits {})
{ }

Result<void> Relay::listen(const tcp::endpoint &endpoint)
{
    error_code ec;
    m_acceptor.open(endpoint.protocol(), ec);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return Error {ErrorKind::Unavailable, "relay: " + ec.message(), "give a free address"};
    accept();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> Relay::listenControl(const tcp::endpoint &endpoint)
{
    return m_control.listen(endpoint);
}

unsigned short Relay::port() const
{
    error_code ec;
    return m_acceptor.local_endpoint(ec).port();
}

void Relay::accept()
{
    m_acceptor.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec)
            return;
        if (!m_faults.cut) {
            const auto pair = std::make_shared<Pair>(m_loop, std::move(socket), m_faults);
            std::erase_if(m_pairs, [](const auto &it) { return it.expired(); });
            m_pairs.push_back(pair);
            pair->start(m_target, m_answerer);
        }
        accept();
    });
}

void Relay::setFaults(const RelayFaults &faults)
{
    m_faults = faults;
    if (!m_faults.cut)
        return;
    for (const auto &it : m_pairs) {
        if (const auto pair = it.lock())
            pair->close();
    }
    m_pairs.clear();
}

void Relay::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    withJsonBody(exchange, [this, exchange](const nlohmann::json &body) {
        RelayFaults faults = m_faults;
        faults.cut = body.value("cut", faults.cut);
        faults.swallowForward = body.value("swallowForward", faults.swallowForward);
        faults.swallowBackward = body.value("swallowBackward", faults.swallowBackward);
        faults.delay = Duration(body.value("delayMicros", faults.delay.count()));
        setFaults(faults);
        respondJson(exchange, 200, {{"ok", true}});
    });
}

} // namespace dogwoodvalve::testtool
