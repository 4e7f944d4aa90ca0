#pragma once

#include "net/http_server.h"
#include "net/http_text.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <atomic>
#include <optional>

namespace dogwoodvalve {

/// Counters of a server, shared with its connections, which may outlive it.
struct ServerCounters
{
    std::size_t connections = 0;
    std::atomic<int> exchangesInFlight {0};
};

/// What the peer of a connected socket has done.
enum class PeerState {
    /// Nothing that was not read yet.
    Quiet,
    /// It has sent bytes that were not read yet.
    HasSent,
    /// It has closed the connection or reset it.
    Closed,
};

/// The state of a socket's peer. Reads nothing and never blocks.
PeerState peerState(int socket);

/// One connection; it is also the exchange of its current request.
class HttpConnection : public HttpExchange, public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, HttpHandler &handler,
                   const HttpServerLimits &limits, std::shared_ptr<ServerCounters> counters)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_handler(handler)
        , m_limits(limits)
        , m_counters(std::move(counters))
        , m_buffer(limits.maxHeaderBytes + ReadBufferBytes)
    {
        m_buffer.reserve(ReadBufferBytes);
        ++m_counters->connections;
    }

    ~HttpConnection() override { close(); }

    void start()
    {
        watchDeadline();
        readHead();
    }

    std::string_view method() const override { return m_method; }
    std::string_view target() const override { return m_target; }
    std::string_view header(std::string_view name) const override
    {
        return findField(m_fields, name);
    }
    std::span<const HttpField> headers() const override { return m_fields; }
    std::string remoteAddress() const override
    {
        boost::system::error_code ec;
        return m_socket.remote_endpoint(ec).address().to_string();
    }

    void readBody(std::size_t limit, std::function<void(Result<std::string>)> done) override;
    void readBodyPart(std::function<void(Result<std::string_view>)> done) override;
    void respond(int status, std::span<const HttpField> fields, std::string_view body) override;
    void beginStream(int status, std::span<const HttpField> fields) override;
    void write(std::string_view part) override;
    void endStream() override;
    void closeAfterResponse() override { m_keepAlive = false; }
    void abort() override { close(); }
    bool responded() const override { return m_responded; }
    std::size_t pendingBytes() const override
    {
        return m_queuedOutput.size() + m_outputInFlight.size();
    }
    void onDrained(std::function<void()> callback) override { m_onDrained = std::move(callback); }
    void onClosed(std::function<void()> callback) override { m_onClosed = std::move(callback); }

private:
    static constexpr std::size_t ReadBufferBytes = 16 * 1024;
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    void readHead();
    void dispatchRequest();
    void refuse(int status, const Error &error);
    void flush();
    void onWritten(boost::system::error_code ec);
    void finishExchange();
    void linger();
    void discardInput();
    void setExchangeInFlight(bool inFlight);
    void watchPeer();
    void watchDeadline();
    void setDeadline(Duration timeout) { m_deadline = std::chrono::steady_clock::now() + timeout; }
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    HttpHandler &m_handler;
    const HttpServerLimits m_limits;
    std::shared_ptr<ServerCounters> m_counters;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::array<char, ReadBufferBytes> m_bodyBuffer {};

    std::string m_method;
    std::string m_target;
    std::vector<HttpField> m_fields;

    std::string m_queuedOutput;
    std::string m_outputInFlight;
    std::chrono::steady_clock::time_point m_deadline;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
    bool m_keepAlive = true;
    bool m_responded = false;
    bool m_chunked = false;
    bool m_responseEnded = false;
    bool m_requestBodyRead = false;
    bool m_closed = false;
    bool m_lingering = false;
    std::size_t m_discardedBytes = 0;
    bool m_exchangeInFlight = false;
    bool m_watchingPeer = false;
    /// The number of the current exchange. Identifies late wake-ups of an earlier exchange.
    std::uint64_t m_exchangeNumber = 0;
};

} // namespace dogwoodvalve
