#pragma once

#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve::testtool {

/// Faults of a relayed way.
struct RelayFaults
{
    /// New connections are refused and old ones broken.
    bool cut = false;
    /// Bytes towards the target vanish; connections stay open.
    bool swallowForward = false;
    /// Bytes from the target vanish; connections stay open.
    bool swallowBackward = false;
    Duration delay {};
};

/// An answer that a relay gives in place of its target, byte for byte.
struct RelayAnswer
{
    std::string bytes;
    /// Whether the connection is reset a moment later, with the rest of the request unread.
    /// Otherwise it ends in good order.
    bool reset = false;
};

/// Decides by the head of a connection's first request. Without an answer it is passed on.
using RelayAnswerer = std::function<std::optional<RelayAnswer>(std::string_view requestHead)>;

/// Passes TCP connections on to a target, with faults that are switched by POST /faults on a
/// control address.
class Relay : public HttpHandler
{
public:
    Relay(boost::asio::io_context &loop, boost::asio::ip::tcp::endpoint target);

    Result<void> listen(const boost::asio::ip::tcp::endpoint &endpoint);
    Result<void> listenControl(const boost::asio::ip::tcp::endpoint &endpoint);
    unsigned short port() const;
    void setFaults(const RelayFaults &faults);
    /// For connections that are accepted from now on.
    void setAnswerer(RelayAnswerer answerer) { m_answerer = std::move(answerer); }
    void handle(const std::shared_ptr<HttpExchange> &exchange) override;

private:
    class Pair;

    void accept();

    boost::asio::io_context &m_loop;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpServer m_control;
    RelayFaults m_faults;
    RelayAnswerer m_answerer;
    std::vector<std::weak_ptr<Pair>> m_pairs;
};

} // namespace dogwoodvalve::testtool
