#pragma once

#include "net/asio_timer_service.h"
#include "net/http_connection.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace dogwoodvalve::testing {

inline constexpr std::size_t BodyLimit = 1000;
/// A body that doesn't fit into the buffers of a connection, and the pieces it is sent in.
inline constexpr std::size_t LongBody = 4 * 1024 * 1024;
inline constexpr std::size_t Piece = 64 * 1024;
inline constexpr auto PauseBetweenPieces = std::chrono::milliseconds(2);

/// Responds with the length of the body. /stream responds with ten parts, /flood without end,
/// /hang never, /refuse before it has read the body, /refuse-early while it reads the body.
class EchoHandler : public HttpHandler
{
public:
    void handle(const std::shared_ptr<HttpExchange> &exchange) override
    {
        ++requests;
        if (exchange->target() == "/refuse")
            return exchange->respond(404, {}, "refused");
        if (exchange->target() == "/refuse-early") {
            exchange->readBody(2 * LongBody, [this](const Result<std::string> &body) {
                if (!body)
                    ++unreadBodies;
            });
            return exchange->respond(404, {}, "refused");
        }
        if (exchange->target() == "/stream") {
            exchange->beginStream(200, {});
            for (int i = 0; i < 10; ++i)
                exchange->write("part " + std::to_string(i) + "\n");
            return exchange->endStream();
        }
        if (exchange->target() == "/flood") {
            exchange->beginStream(200, {});
            exchange->onClosed([this] { ++closedExchanges; });
            return flood(exchange);
        }
        if (exchange->target() == "/hang") {
            exchange->onClosed([this] { ++closedExchanges; });
            heldExchange = exchange;
            return;
        }
        exchange->readBody(BodyLimit, [exchange](Result<std::string> body) {
            if (body)
                exchange->respond(200, {}, std::to_string(body.value().size()));
            else
                exchange->respond(body.error().kind == ErrorKind::TooLarge ? 413 : 400, {}, "");
        });
    }

    void flood(const std::shared_ptr<HttpExchange> &exchange)
    {
        exchange->write(std::string(100'000, 'x'));
        maxPendingBytes = std::max(maxPendingBytes.load(), exchange->pendingBytes());
        exchange->onDrained([this, exchange] { flood(exchange); });
    }

    std::shared_ptr<HttpExchange> heldExchange;
    std::atomic<int> requests {0};
    std::atomic<int> unreadBodies {0};
    std::atomic<int> closedExchanges {0};
    std::atomic<std::size_t> maxPendingBytes {0};
};

/// A server on its own thread.
class RunningServer
{
public:
    explicit RunningServer(std::size_t maxBodyBytes = 10 * BodyLimit)
    {
        HttpServerLimits limits;
        limits.maxHeaderBytes = 2000;
        limits.maxBodyBytes = maxBodyBytes;
        limits.maxConnections = 50;
        limits.headerTimeout = 300ms;
        limits.idleTimeout = 300ms;
        limits.stallTimeout = 600ms;
        m_server = std::make_unique<HttpServer>(m_loop, handler, limits);
        m_server->listen({boost::asio::ip::make_address("127.0.0.1"), 0}).value();
        port = m_server->port();
        m_thread = std::thread([this] { m_loop.run(); });
    }

    ~RunningServer()
    {
        m_loop.stop();
        m_thread.join();
        handler.heldExchange.reset();
    }

    int exchangesInFlight() const { return m_server->exchangesInFlight(); }

    EchoHandler handler;
    unsigned short port = 0;

private:
    boost::asio::io_context m_loop {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work {
        m_loop.get_executor()};
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

/// A raw connection, for clients that violate the protocol.
class RawClient
{
public:
    explicit RawClient(unsigned short port)
    {
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }

    void send(std::string_view text)
    {
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(text.data(), text.size()), ec);
    }

    /// Sends a body in pieces with pauses. Returns false if the connection broke meanwhile.
    bool sendSlowly(std::size_t bytes)
    {
        const std::string piece(Piece, 'x');
        boost::system::error_code ec;
        for (std::size_t sent = 0; sent < bytes && !ec; sent += piece.size()) {
            boost::asio::write(socket, boost::asio::buffer(piece), ec);
            std::this_thread::sleep_for(PauseBetweenPieces);
        }
        return !ec;
    }

    /// Reads until the server closes the connection, and returns whether it did so in order.
    bool closedInOrder()
    {
        std::string rest;
        boost::system::error_code ec;
        boost::asio::read(socket, boost::asio::dynamic_buffer(rest), ec);
        return ec == boost::asio::error::eof && rest.empty();
    }

    /// Reads until the server closes the connection.
    std::string readAll()
    {
        std::string text;
        boost::system::error_code ec;
        boost::asio::read(socket, boost::asio::dynamic_buffer(text), ec);
        return text;
    }

    /// The body of the next response, or the message of the error that occurred.
    std::string readAnswer()
    {
        boost::system::error_code ec;
        boost::beast::http::response<boost::beast::http::string_body> answer;
        boost::beast::http::read(socket, m_buffer, answer, ec);
        return ec ? ec.message() : answer.body();
    }

    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket socket {loop};

private:
    boost::beast::flat_buffer m_buffer;
};

} // namespace dogwoodvalve::testing
