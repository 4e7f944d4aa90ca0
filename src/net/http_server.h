#pragma once

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/timer_service.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// One header field.
struct HttpField
{
    std::string name;
    std::string value;
};

/// What bounds a connection from outside. Sizes are bytes.
struct HttpServerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    std::size_t maxConnections = 20'000;
    Duration headerTimeout = 10s;
    Duration idleTimeout = 75s;
    Duration stallTimeout = 30s;
    /// Reading of a request's body stops while more than this waits to be written.
    std::size_t writeHighWatermark = 256 * 1024;
};

/// A request that arrived and the answer to it. All calls come from the thread of the server's
/// event loop. Calls after the connection has closed do nothing.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual std::string_view method() const = 0;
    /// Path and query as sent.
    virtual std::string_view target() const = 0;
    /// The value of a header field, or an empty view.
    virtual std::string_view header(std::string_view name) const = 0;
    virtual std::span<const HttpField> headers() const = 0;
    virtual std::string remoteAddress() const = 0;

    /// Reads the whole body, up to the limit in bytes.
    virtual void readBody(std::size_t limit, std::function<void(Result<std::string>)> done) = 0;
    /// Reads the next part of the body; an empty part says that the body has ended.
    virtual void readBodyPart(std::function<void(Result<std::string_view>)> done) = 0;

    /// Answers at once with a whole body.
    virtual void respond(int status, std::span<const HttpField> fields, std::string_view body) = 0;
    /// Begins an answer whose body is written in parts.
    virtual void beginStream(int status, std::span<const HttpField> fields) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void endStream() = 0;
    /// Closes the connection behind the answer, which says so. For a host that is leaving; to be
    /// called before the answer begins.
    virtual void closeAfterResponse() { }
    /// Closes the connection without ending the body, so that the peer sees that it is cut.
    virtual void abort() = 0;

    virtual bool responded() const = 0;
    /// Bytes that wait to be taken by the peer.
    virtual std::size_t pendingBytes() const = 0;
    /// Calls back once when no more bytes wait.
    virtual void onDrained(std::function<void()> callback) = 0;
    /// Calls back once if the peer goes away before the answer is whole.
    virtual void onClosed(std::function<void()> callback) = 0;
};

/// Takes each request. Called on the thread of the event loop.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual void handle(const std::shared_ptr<HttpExchange> &exchange) = 0;
};

/// An HTTP/1.1 server on one event loop: streamed bodies both ways, bounded headers, bodies,
/// connections and idle time. Several servers may listen on one port, one for each loop.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &loop, HttpHandler &handler, HttpServerLimits limits);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    Result<void> listen(const boost::asio::ip::tcp::endpoint &endpoint);

    /// Stops accepting. Connections that are open stay so.
    void stopAccepting();

    std::size_t connections() const;
    /// Requests whose answers are not yet wholly handed to the network. Any thread may ask.
    int exchangesInFlight() const;
    unsigned short port() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace dogwoodvalve
