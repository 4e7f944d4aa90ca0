#include "net/http_client.h"

#include "net/http_text.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <limits>

namespace dogwoodvalve {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t ReadBufferBytes = 16 * 1024;
/// A server whose head, chunk header or trailer is longer than this is not read any further.
constexpr std::size_t MaxUnparsedBytes = 128 * 1024;

class HttpClientRequestImpl : public HttpClientRequest
{
public:
    explicit HttpClientRequestImpl(asio::io_context &loop)
        : m_socket(loop)
        , m_timer(loop)
        , m_buffer(MaxUnparsedBytes)
    {
        m_parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    void start(const tcp::endpoint &endpoint, const HttpRequestHead &head, Duration connectTimeout,
               HttpClientEvents &events) override;
    void write(std::string_view part) override;
    void finishBody() override;
    void pauseReading(bool paused) override;
    bool anyByteSent() const override { return m_anyByteSent; }
    bool connected() const override { return m_connected; }
    std::size_t pendingBytes() const override
    {
        return m_queuedOutput.size() + m_outputInFlight.size();
    }
    void close() override;

private:
    std::shared_ptr<HttpClientRequestImpl> self()
    {
        return std::static_pointer_cast<HttpClientRequestImpl>(shared_from_this());
    }

    void writeHead(const HttpRequestHead &head, const tcp::endpoint &endpoint);
    void flush();
    void readHead();
    void readBody();
    void fail(ErrorKind kind, const std::string &message);

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    HttpClientEvents *m_events = nullptr;
    boost::beast::flat_buffer m_buffer;
    http::response_parser<http::buffer_body> m_parser;
    std::array<char, ReadBufferBytes> m_bodyBuffer {};
    std::string m_queuedOutput;
    std::string m_outputInFlight;
    bool m_chunked = false;
    bool m_connected = false;
    bool m_anyByteSent = false;
    bool m_paused = false;
    bool m_reading = false;
    bool m_headRead = false;
};

void HttpClientRequestImpl::start(const tcp::endpoint &endpoint, const HttpRequestHead &head,
                                  Duration connectTimeout, HttpClientEvents &events)
{
    m_events = &events;
    m_chunked = head.chunked;
    if (head.method == "HEAD")
        m_parser.skip(true);
    writeHead(head, endpoint);
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([self = self()](error_code ec) {
        if (!ec && !self->m_connected)
            self->fail(ErrorKind::Timeout, "connecting timed out");
    });
    m_socket.async_connect(endpoint, [self = self()](error_code ec) {
        if (!self->m_events)
            return;
        if (ec)
            return self->fail(ErrorKind::Unavailable, "cannot connect: " + ec.message());
        self->m_timer.cancel();
        self->m_connected = true;
        error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        self->flush();
        self->readHead();
        self->m_events->onConnected();
    });
}

void HttpClientRequestImpl::writeHead(const HttpRequestHead &head, const tcp::endpoint &endpoint)
{
    m_queuedOutput += head.method + ' ' + head.target + " HTTP/1.1\r\n";
    if (findField(head.fields, "Host").empty())
        m_queuedOutput += "Host: " + endpoint.address().to_string() + ':'
            + std::to_string(endpoint.port()) + "\r\n";
    appendFields(m_queuedOutput, head.fields);
    if (head.chunked)
        m_queuedOutput += "Transfer-Encoding: chunked\r\n";
    else if (head.bodyBytes > 0 || head.method == "POST" || head.method == "PUT")
        m_queuedOutput += "Content-Length: " + std::to_string(head.bodyBytes) + "\r\n";
    m_queuedOutput += "Connection: close\r\n\r\n";
}

void HttpClientRequestImpl::write(std::string_view part)
{
    if (!m_events || part.empty())
        return;
    if (m_chunked)
        appendChunk(m_queuedOutput, part);
    else
        m_queuedOutput += part;
    flush();
}

void HttpClientRequestImpl::finishBody()
{
    if (!m_events || !m_chunked)
        return;
    m_queuedOutput += "0\r\n\r\n";
    flush();
}

void HttpClientRequestImpl::flush()
{
    if (!m_connected || !m_outputInFlight.empty() || m_queuedOutput.empty())
        return;
    m_outputInFlight.swap(m_queuedOutput);
    m_anyByteSent = true;
    asio::async_write(m_socket, asio::buffer(m_outputInFlight),
                      [self = self()](error_code ec, std::size_t) {
                          self->m_outputInFlight.clear();
                          if (!self->m_events)
                              return;
                          // A peer may respond early and close the connection; its response is
                          // still read.
                          if (ec)
                              return;
                          if (!self->m_queuedOutput.empty())
                              return self->flush();
                          self->m_events->onDrained();
                      });
}

void HttpClientRequestImpl::readHead()
{
    http::async_read_header(
        m_socket, m_buffer, m_parser, [self = self()](error_code ec, std::size_t) {
            if (!self->m_events)
                return;
            if (ec)
                return self->fail(ErrorKind::Unavailable,
                                  "the connection was lost: " + ec.message());
            self->m_headRead = true;
            std::vector<HttpField> fields;
            for (const auto &field : self->m_parser.get())
                fields.push_back({std::string(field.name_string()), std::string(field.value())});
            self->m_events->onHead(self->m_parser.get().result_int(), fields);
            if (self->m_events)
                self->readBody();
        });
}

void HttpClientRequestImpl::readBody()
{
    if (m_paused || m_reading || !m_headRead || !m_events)
        return;
    if (m_parser.is_done()) {
        HttpClientEvents *events = m_events;
        const auto keep = self();
        close();
        return events->onEnd();
    }
    m_reading = true;
    m_parser.get().body().data = m_bodyBuffer.data();
    m_parser.get().body().size = m_bodyBuffer.size();
    http::async_read_some(
        m_socket, m_buffer, m_parser, [self = self()](error_code ec, std::size_t) {
            self->m_reading = false;
            if (!self->m_events)
                return;
            if (ec && ec != http::error::need_buffer)
                return self->fail(ErrorKind::Unavailable,
                                  "the response ended early: " + ec.message());
            const std::size_t n = self->m_bodyBuffer.size() - self->m_parser.get().body().size;
            if (n > 0)
                self->m_events->onBody({self->m_bodyBuffer.data(), n});
            self->readBody();
        });
}

void HttpClientRequestImpl::pauseReading(bool paused)
{
    m_paused = paused;
    readBody();
}

void HttpClientRequestImpl::fail(ErrorKind kind, const std::string &message)
{
    HttpClientEvents *events = m_events;
    const auto keep = self();
    close();
    if (events)
        events->onError({kind, message, ""});
}

void HttpClientRequestImpl::close()
{
    m_events = nullptr;
    error_code ec;
    m_socket.close(ec);
    m_timer.cancel();
}

} // namespace

std::shared_ptr<HttpClientRequest> HttpClientRequest::create(asio::io_context &loop)
{
    return std::make_shared<HttpClientRequestImpl>(loop);
}

void pauseWhilePending(HttpExchange &exchange, const std::shared_ptr<HttpClientRequest> &request,
                       std::size_t highWaterBytes)
{
    if (exchange.pendingBytes() <= highWaterBytes)
        return;
    request->pauseReading(true);
    exchange.onDrained([weak = std::weak_ptr(request)] {
        if (const auto paused = weak.lock())
            paused->pauseReading(false);
    });
}

} // namespace dogwoodvalve
