#pragma once

#include "net/http_server.h"
#include "net/http_text.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <atomic>
#include <memory>
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

/// Bytes that the operating system holds for a socket.
struct SocketQueues
{
    std::size_t received = 0;
    std::size_t unsent = 0;
};

SocketQueues socketQueues(int socket);

/// One connection; it is also the exchange of its current request.
class HttpConnection : public HttpExchange,
                       public AccountedClient,
                       public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, HttpHandler &handler,
                   const HttpServerLimits &limits, std::shared_ptr<ServerCounters> counters,
                   std::shared_ptr<ClientAccount> account)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_handler(handler)
        , m_limits(limits)
        , m_counters(std::move(counters))
        , m_buffer(limits.maxHeaderBytes + ReadBufferBytes)
        , m_holding(std::move(account), *this)
    {
        m_buffer.reserve(IdleBufferBytes);
        ++m_counters->connections;
    }

    ~HttpConnection() override { close(); }

    /// Begins to read, or closes the connection if its account has no room for it.
    void start();

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
    bool tryHold(std::size_t bytes) override;
    void requestReclaim(Shortage shortage) override;

private:
    static constexpr std::size_t ReadBufferBytes = 16 * 1024;
    /// Kept while no body is read.
    static constexpr std::size_t IdleBufferBytes = 8 * 1024;
    /// Bytes to be sent up to which a connection is not counted anew.
    static constexpr std::size_t UncountedBytes = 8 * 1024;
    using ReadBuffer = std::array<char, ReadBufferBytes>;
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    void readHead();
    /// Frees what is left of the last request.
    void releaseRequest();
    void receiveHead();
    /// Parses what was received of the head, and reads on until it is complete.
    void parseHead();
    void dispatchRequest();
    void refuse(int status, const Error &error);
    /// Refuses a request for which the process has no room.
    void refuseForWantOfRoom();
    /// Reads no more of a body that is refused. The connection ends with the response.
    void abandonBody();
    void flush();
    void onWritten(boost::system::error_code ec);
    void finishExchange();
    void linger();
    void discardInput();
    void setExchangeInFlight(bool inFlight);
    void watchPeer();
    void watchDeadline();
    /// What this connection holds, as its account counts it.
    std::size_t heldBytes() const;
    bool tryUpdateHolding() { return m_holding.tryHold(heldBytes(), steadyNow()); }
    void updateHolding() { m_holding.hold(heldBytes(), steadyNow()); }
    void setActivity(ClientActivity activity) { m_holding.setActivity(activity, steadyNow()); }
    /// Counts bytes that wait to be sent, which are not counted as long as they are few.
    void countOutput();
    /// Counts what the operating system holds, of clients that don't read or send ahead.
    void countSocketQueues();
    /// Gives back what the account has asked for.
    void giveBack(Shortage shortage);
    /// A clock that does not count the time in which the machine is suspended, of which clients are
    /// innocent.
    static TimePoint steadyNow();
    void setDeadline(Duration timeout) { m_deadline = steadyNow() + timeout; }
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    HttpHandler &m_handler;
    const HttpServerLimits m_limits;
    std::shared_ptr<ServerCounters> m_counters;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    /// Exists while a body is read.
    std::unique_ptr<ReadBuffer> m_bodyBuffer;

    std::string m_method;
    std::string m_target;
    std::vector<HttpField> m_fields;

    std::string m_queuedOutput;
    std::string m_outputInFlight;
    TimePoint m_deadline {};
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
    bool m_readingBody = false;
    /// The account has taken back the room of the body that is being read.
    bool m_bodyReclaimed = false;
    bool m_lingerAllowed = true;
    /// The client has sent bytes behind the request that is being answered.
    bool m_sentAhead = false;
    bool m_outputCounted = false;
    /// Sizes in memory: of the request's head, of the body that was read, of what the handler
    /// holds, and of the operating system's buffers.
    std::size_t m_headBytes = 0;
    std::size_t m_bodyBytes = 0;
    std::size_t m_handlerBytes = 0;
    std::size_t m_socketBytes = 0;
    /// Bytes sent since the operating system's buffer was last known to be empty.
    std::size_t m_unconfirmedBytes = 0;
    /// The number of the current exchange. Identifies late wake-ups of an earlier exchange.
    std::uint64_t m_exchangeNumber = 0;
    /// Destroyed first, so that the account does not reach a connection without its socket.
    ClientHolding m_holding;
};

} // namespace dogwoodvalve
