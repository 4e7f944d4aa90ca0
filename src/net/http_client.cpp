#include "net/http_client.h"

#include "net/http_text.h"
#include "net/response_parser.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <optional>

namespace dogwoodvalve {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t ReadBufferBytes = 16 * 1024;
/// A server whose chunk header or trailer is longer than this is not read any further.
constexpr std::size_t MaxUnparsedBytes = 128 * 1024;
static_assert(MaxUnparsedBytes >= ResponseParser::MaxHeadBytes);

class HttpClientRequestImpl : public HttpClientRequest
{
public:
    explicit HttpClientRequestImpl(asio::io_context &loop)
        : m_socket(loop)
        , m_timer(loop)
        , m_buffer(MaxUnparsedBytes)
    { }

    void start(const tcp::endpoint &endpoint, const HttpRequestHead &head, Duration connectTimeout,
               HttpClientEvents &events) override;
    void write(std::string_view part) override;
    void writeBody(const SharedBytes &body) override;
    void finishBody() override;
    void pauseReading(bool paused) override;
    bool anyByteSent() const override { return m_anyByteSent; }
    bool connected() const override { return m_connected; }
    std::size_t pendingBytes() const override
    {
        return m_queuedOutput.size() + m_outputInFlight.size() + (m_body ? m_body->size() : 0);
    }
    void close() override;

private:
    std::shared_ptr<HttpClientRequestImpl> self()
    {
        return std::static_pointer_cast<HttpClientRequestImpl>(shared_from_this());
    }

    void writeHead(const HttpRequestHead &head, const tcp::endpoint &endpoint);
    void flush();
    void onWriteFailed(error_code ec);
    void readHead();
    /// Parses what was received of the head, and reads on until it is complete.
    void parseHead();
    void readBody();
    void endBody();
    void fail(const Error &error);

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    HttpClientEvents *m_events = nullptr;
    boost::beast::flat_buffer m_buffer;
    std::optional<ResponseParser> m_response;
    std::array<char, ReadBufferBytes> m_bodyBuffer {};
    std::string m_queuedOutput;
    std::string m_outputInFlight;
    /// Follows the queued output, and is kept until both are sent.
    SharedBytes m_body;
    bool m_chunked = false;
    bool m_connected = false;
    bool m_anyByteSent = false;
    bool m_paused = false;
    bool m_reading = false;
    bool m_writeFailed = false;
    /// A write has met the loss of the connection.
    bool m_connectionLost = false;
};

void HttpClientRequestImpl::start(const tcp::endpoint &endpoint, const HttpRequestHead &head,
                                  Duration connectTimeout, HttpClientEvents &events)
{
    m_events = &events;
    m_chunked = head.chunked;
    m_response.emplace(head.method == "HEAD");
    writeHead(head, endpoint);
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([self = self()](error_code ec) {
        if (!ec && !self->m_connected)
            self->fail({ErrorKind::Timeout, "connecting timed out", ""});
    });
    m_socket.async_connect(endpoint, [self = self()](error_code ec) {
        if (!self->m_events)
            return;
        if (ec)
            return self->fail({ErrorKind::Unavailable, "cannot connect: " + ec.message(), ""});
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
    if (!m_events || m_writeFailed || part.empty())
        return;
    if (m_chunked)
        appendChunk(m_queuedOutput, part);
    else
        m_queuedOutput += part;
    flush();
}

void HttpClientRequestImpl::writeBody(const SharedBytes &body)
{
    if (!m_events || m_writeFailed || body->empty())
        return;
    // Only a body that leaves together with the head needs no copy.
    if (m_chunked || m_connected)
        return write(*body);
    m_body = body;
    flush();
}

void HttpClientRequestImpl::finishBody()
{
    if (!m_events || m_writeFailed || !m_chunked)
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
    const std::array<asio::const_buffer, 2> output {
        asio::buffer(m_outputInFlight), m_body ? asio::buffer(*m_body) : asio::const_buffer()};
    asio::async_write(m_socket, output, [self = self()](error_code ec, std::size_t) {
        self->m_outputInFlight.clear();
        self->m_body.reset();
        if (!self->m_events)
            return;
        if (ec)
            return self->onWriteFailed(ec);
        if (!self->m_queuedOutput.empty())
            return self->flush();
        self->m_events->onDrained();
    });
}

/// A peer may respond early and close the connection; its response is still read. The operating
/// system reports a lost connection only once. If a write meets it, reading ends as if the peer had
/// closed the connection. With EPIPE the peer had closed it before, and its response was complete.
void HttpClientRequestImpl::onWriteFailed(error_code ec)
{
    m_writeFailed = true;
    m_connectionLost = ec != asio::error::broken_pipe;
    m_queuedOutput.clear();
}

void HttpClientRequestImpl::readHead()
{
    const std::size_t n = std::min(ReadBufferBytes, m_buffer.max_size() - m_buffer.size());
    m_socket.async_read_some(m_buffer.prepare(n), [self = self()](error_code ec, std::size_t got) {
        if (!self->m_events)
            return;
        if (ec)
            return self->fail(
                {ErrorKind::Unavailable, "the connection was lost: " + ec.message(), ""});
        self->m_buffer.commit(got);
        self->parseHead();
    });
}

void HttpClientRequestImpl::parseHead()
{
    const asio::const_buffer received = m_buffer.data();
    const Result<std::size_t> used =
        m_response->parseHead({static_cast<const char *>(received.data()), received.size()});
    if (!used)
        return fail(used.error());
    m_buffer.consume(used.value());
    if (!m_response->headRead())
        return readHead();
    m_events->onHead(m_response->status(), m_response->fields());
    if (m_events)
        readBody();
}

void HttpClientRequestImpl::readBody()
{
    if (m_paused || m_reading || !m_events || !m_response || !m_response->headRead())
        return;
    ResponseParser::Message &message = m_response->message();
    if (message.is_done())
        return endBody();
    m_reading = true;
    message.get().body().data = m_bodyBuffer.data();
    message.get().body().size = m_bodyBuffer.size();
    http::async_read_some(m_socket, m_buffer, message, [self = self()](error_code ec, std::size_t) {
        self->m_reading = false;
        if (!self->m_events)
            return;
        if (ec && ec != http::error::need_buffer)
            return self->fail(
                {ErrorKind::Unavailable, "the response ended early: " + ec.message(), ""});
        const std::size_t n =
            self->m_bodyBuffer.size() - self->m_response->message().get().body().size;
        if (n > 0)
            self->m_events->onBody({self->m_bodyBuffer.data(), n});
        self->readBody();
    });
}

void HttpClientRequestImpl::endBody()
{
    if (m_connectionLost && m_response->endsWithConnection())
        return fail(
            {ErrorKind::Unavailable, "the response ended early: the connection was lost", ""});
    HttpClientEvents *events = m_events;
    const auto keep = self();
    close();
    events->onEnd();
}

void HttpClientRequestImpl::pauseReading(bool paused)
{
    m_paused = paused;
    readBody();
}

void HttpClientRequestImpl::fail(const Error &error)
{
    HttpClientEvents *events = m_events;
    const auto keep = self();
    close();
    if (events)
        events->onError(error);
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
