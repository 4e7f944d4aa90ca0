#pragma once

#include "net/client_account.h"

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

/// Limits of a server and its connections. Sizes are in bytes.
struct HttpServerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    std::size_t maxConnections = 20'000;
    Duration headerTimeout = 10s;
    Duration idleTimeout = 75s;
    Duration stallTimeout = 30s;
    /// Whether the port is for the platform and other hosts, which may take the last connections of
    /// the account.
    bool internal = false;

    /// The same for an internal port.
    HttpServerLimits forInternalPort() const
    {
        HttpServerLimits limits = *this;
        limits.internal = true;
        return limits;
    }
};

/// A received request and its response. Must only be called on the thread of the server's event
/// loop. After the connection has closed, responding and writing do nothing.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual std::string_view method() const = 0;
    /// Path and query as received.
    virtual std::string_view target() const = 0;
    /// The value of a header field, or an empty view.
    virtual std::string_view header(std::string_view name) const = 0;
    virtual std::span<const HttpField> headers() const = 0;
    virtual std::string remoteAddress() const = 0;

    /// Reads the complete body. Errors: TooLarge if it is longer than the limit in bytes,
    /// Malformed, Overloaded if the process has no room for it, Unavailable if the peer
    /// disconnected.
    virtual void readBody(std::size_t limit, std::function<void(Result<std::string>)> done) = 0;
    /// Reads the next part of the body. An empty part marks the end of the body.
    virtual void readBodyPart(std::function<void(Result<std::string_view>)> done) = 0;
    /// Tells how many bytes the handler holds for the request in place of those it told before, up
    /// to its response; the body that readBody() has read is counted anyway. Returns false if the
    /// process has no room for them.
    virtual bool tryHold([[maybe_unused]] std::size_t bytes) { return true; }

    /// Sends a response with a complete body.
    virtual void respond(int status, std::span<const HttpField> fields, std::string_view body) = 0;
    /// Begins a response whose body is written in parts.
    virtual void beginStream(int status, std::span<const HttpField> fields) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void endStream() = 0;
    /// Sends "Connection: close" with the response and closes the connection after it, for hosts
    /// that are shutting down. Must be called before the response begins.
    virtual void closeAfterResponse() { }
    /// Closes the connection without ending the body, so that the peer detects that the response is
    /// incomplete.
    virtual void abort() = 0;

    virtual bool responded() const = 0;
    /// Bytes of the response that are not yet passed to the operating system.
    virtual std::size_t pendingBytes() const = 0;
    /// Calls back once, when no more bytes are pending.
    virtual void onDrained(std::function<void()> callback) = 0;
    /// Calls back once if the connection closes before the response is complete.
    virtual void onClosed(std::function<void()> callback) = 0;
};

/// Handles requests. Called on the thread of the event loop.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual void handle(const std::shared_ptr<HttpExchange> &exchange) = 0;
};

/// An HTTP/1.1 server on one event loop. Request and response bodies are streamed; headers, bodies,
/// connections and idle time are bounded. Several servers may listen on one port, one per loop.
class HttpServer
{
public:
    /// What the clients hold is counted in the account, or in one of the server's own that has the
    /// whole machine.
    HttpServer(boost::asio::io_context &loop, HttpHandler &handler, HttpServerLimits limits,
               std::shared_ptr<ClientAccount> account = nullptr);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    Result<void> listen(const boost::asio::ip::tcp::endpoint &endpoint);

    /// Stops accepting connections. Open connections stay open.
    void stopAccepting();

    std::size_t connections() const;
    /// The number of requests whose responses are not completely sent. May be called on any thread.
    int exchangesInFlight() const;
    unsigned short port() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace dogwoodvalve
