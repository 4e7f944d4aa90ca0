#pragma once

#include "net/http_server.h"

#include <boost/asio/io_context.hpp>

namespace dogwoodvalve {

/// Receives the events of one outgoing request. onEnd or onError is the last event. onError comes
/// in place of the head if that is malformed, and in place of onEnd if the connection was lost
/// before the end of the body.
class HttpClientEvents
{
public:
    virtual ~HttpClientEvents() = default;
    virtual void onConnected() { }
    /// The head of the final response, with a status from 200 to 599.
    virtual void onHead(int status, std::span<const HttpField> fields) = 0;
    virtual void onBody(std::string_view part) = 0;
    virtual void onEnd() = 0;
    virtual void onError(const Error &error) = 0;
    /// All bytes written so far have been passed to the operating system.
    virtual void onDrained() { }
};

/// The request line and header of an outgoing request. The client adds the Connection field, the
/// fields that give the length of the body, and Host if it is missing.
struct HttpRequestHead
{
    std::string method;
    std::string target;
    std::vector<HttpField> fields;
    /// If true, the body is sent in chunks and its length is not known in advance; if false, it is
    /// bodyBytes bytes long.
    bool chunked = false;
    std::size_t bodyBytes = 0;
};

/// Bytes that several requests may send without a copy of their own.
using SharedBytes = std::shared_ptr<const std::string>;

/// One outgoing HTTP/1.1 request on its own connection. Request and response bodies are streamed
/// at the same time. Must only be called on the thread of the event loop.
class HttpClientRequest : public std::enable_shared_from_this<HttpClientRequest>
{
public:
    static std::shared_ptr<HttpClientRequest> create(boost::asio::io_context &loop);

    virtual ~HttpClientRequest() = default;

    /// Starts the request. The events object must outlive the request, or close() must be called
    /// before it is destroyed.
    virtual void start(const boost::asio::ip::tcp::endpoint &endpoint, const HttpRequestHead &head,
                       Duration connectTimeout, HttpClientEvents &events) = 0;
    virtual void write(std::string_view part) = 0;
    /// Writes a whole body whose length the head has told. To be called once, after start().
    virtual void writeBody(const SharedBytes &body) { write(*body); }
    virtual void finishBody() = 0;
    /// While paused, the response is not read, so that TCP flow control slows the sender down.
    virtual void pauseReading(bool paused) = 0;
    /// Whether writing any byte of the request to the connection has begun.
    virtual bool anyByteSent() const = 0;
    virtual bool connected() const = 0;
    virtual std::size_t pendingBytes() const = 0;
    /// Ends the request without further events.
    virtual void close() = 0;
};

/// Pauses reading the answer to a request while more than `highWaterBytes` of the response that
/// passes it on are pending.
void pauseWhilePending(HttpExchange &exchange, const std::shared_ptr<HttpClientRequest> &request,
                       std::size_t highWaterBytes);

} // namespace dogwoodvalve
