#pragma once

#include "net/http_server.h"

#include <boost/asio/io_context.hpp>

namespace dogwoodvalve {

/// Receives the events of one outgoing request. After onError or onEnd nothing follows.
class HttpClientEvents
{
public:
    virtual ~HttpClientEvents() = default;
    virtual void onConnected() { }
    virtual void onHead(int status, std::span<const HttpField> fields) = 0;
    virtual void onBody(std::string_view part) = 0;
    virtual void onEnd() = 0;
    virtual void onError(const Error &error) = 0;
    /// All bytes written so far were taken by the host's network stack.
    virtual void onDrained() { }
};

/// The head of an outgoing request. Connection and length fields are added by the client.
struct HttpRequestHead
{
    std::string method;
    std::string target;
    std::vector<HttpField> fields;
    /// True: the body follows in parts of any number; false: it follows as bodyBytes bytes.
    bool chunked = false;
    std::size_t bodyBytes = 0;
};

/// One outgoing HTTP/1.1 request on a connection of its own, with the body streamed both ways at
/// once. All calls come from the thread of the event loop.
class HttpClientRequest : public std::enable_shared_from_this<HttpClientRequest>
{
public:
    static std::shared_ptr<HttpClientRequest> create(boost::asio::io_context &loop);

    virtual ~HttpClientRequest() = default;

    /// The events must outlive the request, or close() must be called before they end.
    virtual void start(const boost::asio::ip::tcp::endpoint &endpoint, const HttpRequestHead &head,
                       Duration connectTimeout, HttpClientEvents &events) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void finishBody() = 0;
    /// While paused, no more of the answer is read, so that the sender is slowed down.
    virtual void pauseReading(bool paused) = 0;
    /// Whether any byte of the request was handed to the connection.
    virtual bool anyByteSent() const = 0;
    virtual bool connected() const = 0;
    virtual std::size_t pendingBytes() const = 0;
    /// Ends the request without further events.
    virtual void close() = 0;
};

} // namespace dogwoodvalve
