#include "net/http_connection.h"

#include "net/transfer_coding.h"

#include <boost/asio/write.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace dogwoodvalve {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Duration DeadlineCheckInterval = 500ms;
/// The deadline while a response waits for its handler.
constexpr Duration HandlerDeadline = 24h;
/// When a client should send a request again for which there was no room.
constexpr Duration RetryAfter = 1s;
/// For how long, and for how many bytes, a connection reads on after its last response.
constexpr Duration LingerTime = 1s;
constexpr std::size_t LingerBytes = 16 * 1024 * 1024;
constexpr std::size_t MinReadBytes = 512;
/// Of more header fields than these, no room is kept for the next request.
constexpr std::size_t FewFields = 64;
/// Overhead of a header field, and the copies of a head that exist while its request is forwarded.
constexpr std::size_t FieldBytes = sizeof(HttpField) + 32;
constexpr std::size_t HeadCopies = 4;

Error malformedRequest(const error_code &ec)
{
    if (ec == http::error::body_limit)
        return {ErrorKind::TooLarge, "the body is too large", "send a smaller request"};
    return {ErrorKind::Malformed, "the request is malformed: " + ec.message(),
            "send a well-formed HTTP/1.1 request"};
}

} // namespace

PeerState peerState(int socket)
{
    char byte = 0;
    const ssize_t n = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0)
        return PeerState::HasSent;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return PeerState::Quiet;
    return PeerState::Closed;
}

void HttpConnection::start()
{
    const bool opened = m_holding.open(m_limits.internal, steadyNow());
    if (!opened || !tryUpdateHolding()) {
        m_holding.reportDropped(*this, opened ? Shortage::Bytes : Shortage::Connections,
                                steadyNow());
        return close();
    }
    watchDeadline();
    readHead();
}

void HttpConnection::readHead()
{
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.maxHeaderBytes));
    m_parser->body_limit(m_limits.maxBodyBytes);
    m_responded = m_chunked = m_responseEnded = m_requestBodyRead = m_sentAhead = false;
    ++m_exchangeNumber;
    releaseRequest();
    m_bodyBuffer.reset();
    if (m_buffer.size() == 0 && m_buffer.capacity() > IdleBufferBytes) {
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        m_buffer.reserve(IdleBufferBytes);
    }
    updateHolding();
    setDeadline(m_buffer.size() > 0 ? m_limits.headerTimeout : m_limits.idleTimeout);
    if (m_buffer.size() > 0)
        return parseHead();
    setActivity(ClientActivity::Idle);
    receiveHead();
}

void HttpConnection::releaseRequest()
{
    m_headBytes = m_bodyBytes = m_handlerBytes = 0;
    m_method.clear();
    m_target.clear();
    if (m_fields.size() > FewFields)
        std::vector<HttpField>().swap(m_fields);
    m_fields.clear();
    m_parser->get().clear();
}

void HttpConnection::receiveHead()
{
    const std::size_t n = std::clamp<std::size_t>(m_buffer.capacity() - m_buffer.size(),
                                                  MinReadBytes, ReadBufferBytes);
    m_socket.async_read_some(
        m_buffer.prepare(n), [self = shared_from_this()](error_code ec, std::size_t got) {
            if (self->m_closed)
                return;
            if (ec == asio::error::eof && self->m_parser->got_some())
                return self->refuse(400, malformedRequest(http::error::partial_message));
            if (ec)
                return self->close();
            self->m_buffer.commit(got);
            self->parseHead();
        });
}

void HttpConnection::parseHead()
{
    error_code ec;
    const std::size_t used = m_parser->put(m_buffer.cdata(), ec);
    m_buffer.consume(used);
    if (ec == http::error::header_limit)
        return refuse(431,
                      {ErrorKind::TooLarge, "the header is too large",
                       "send fewer or shorter header fields"});
    if (ec == http::error::body_limit)
        return refuse(413, malformedRequest(ec));
    if (ec && ec != http::error::need_more)
        return refuse(400, malformedRequest(ec));
    if (m_parser->is_header_done())
        return dispatchRequest();
    setActivity(ClientActivity::Uploading);
    if (!tryUpdateHolding())
        return refuseForWantOfRoom();
    receiveHead();
}

void HttpConnection::dispatchRequest()
{
    const auto &head = m_parser->get();
    m_method.assign(head.method_string().data(), head.method_string().size());
    m_target.assign(head.target().data(), head.target().size());
    m_fields.clear();
    m_headBytes = m_target.size();
    for (const auto &field : head) {
        m_fields.push_back({std::string(field.name_string()), std::string(field.value())});
        m_headBytes += FieldBytes + m_fields.back().name.size() + m_fields.back().value.size();
    }
    m_headBytes *= HeadCopies;
    m_keepAlive = m_parser->keep_alive();
    m_requestBodyRead = m_parser->is_done();
    setDeadline(m_limits.stallTimeout);
    if (head.version() != 11 && head.version() != 10)
        return refuse(505, {ErrorKind::Malformed, "unknown HTTP version", "use HTTP/1.1"});
    if (const auto error = framingError(head))
        return refuse(400, *error);
    if (boost::beast::iequals(head[http::field::expect], "100-continue") && !m_requestBodyRead) {
        m_queuedOutput += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
    setActivity(m_requestBodyRead ? ClientActivity::Waiting : ClientActivity::Uploading);
    if (!tryUpdateHolding())
        return refuseForWantOfRoom();
    // The fields have been copied, and trailers, which are added to them, are not used.
    m_parser->get().clear();
    if (m_requestBodyRead)
        watchPeer();
    setExchangeInFlight(true);
    m_handler.handle(shared_from_this());
}

void HttpConnection::setExchangeInFlight(bool inFlight)
{
    if (m_exchangeInFlight == inFlight)
        return;
    m_exchangeInFlight = inFlight;
    m_counters->exchangesInFlight.fetch_add(inFlight ? 1 : -1, std::memory_order_relaxed);
}

/// Responds to a request that was not accepted and then closes the connection: bytes that follow
/// cannot be distinguished from the rest of the rejected request.
void HttpConnection::refuse(int status, const Error &error)
{
    abandonBody();
    std::vector<HttpField> fields {{"Content-Type", "application/json"},
                                   {"Dogwoodvalve-Outcome", "not-run"}};
    if (status == 503)
        fields.push_back({"Retry-After", std::to_string(RetryAfter / 1s)});
    respond(status, fields, errorBody(error, "not_run"));
}

void HttpConnection::abandonBody()
{
    m_keepAlive = false;
    m_requestBodyRead = true;
}

void HttpConnection::refuseForWantOfRoom()
{
    m_holding.reportDropped(*this, Shortage::Bytes, steadyNow());
    refuse(503, noRoomForRequest());
}

void HttpConnection::readBody(std::size_t limit, std::function<void(Result<std::string>)> done)
{
    auto whole = std::make_shared<std::string>();
    auto step = std::make_shared<std::function<void()>>();
    const std::size_t announced = m_parser->content_length().value_or(limit);
    *step = [self = shared_from_this(), whole, limit, announced, done = std::move(done),
             weak = std::weak_ptr(step)] {
        self->readBodyPart([self, whole, limit, announced, done,
                            step = weak.lock()](Result<std::string_view> part) {
            const auto fail = [&](const Error &error) {
                std::string().swap(*whole);
                self->m_bodyBytes = 0;
                self->updateHolding();
                done(error);
            };
            if (!part)
                return fail(part.error());
            if (part.value().empty())
                return done(std::move(*whole));
            self->m_bodyBytes = whole->size() + part.value().size();
            if (self->m_bodyBytes > limit)
                return fail({ErrorKind::TooLarge, "the body is too large",
                             "send at most " + std::to_string(limit) + " bytes"});
            if (!self->tryUpdateHolding()) {
                self->m_holding.reportDropped(*self, Shortage::Bytes, steadyNow());
                self->abandonBody();
                return fail(noRoomForRequest());
            }
            if (self->m_bodyBytes > whole->capacity())
                whole->reserve(std::clamp(announced, self->m_bodyBytes,
                                          std::max(self->m_bodyBytes, 2 * whole->capacity())));
            whole->append(part.value());
            (*step)();
        });
    };
    (*step)();
}

void HttpConnection::readBodyPart(std::function<void(Result<std::string_view>)> done)
{
    if (m_closed || m_lingering)
        return done(Error {ErrorKind::Unavailable, "the peer went away", ""});
    if (m_parser->is_done()) {
        if (!m_requestBodyRead) {
            m_requestBodyRead = true;
            setActivity(ClientActivity::Waiting);
            watchPeer();
        }
        return done(std::string_view());
    }
    if (!m_bodyBuffer) {
        m_bodyBuffer = std::make_unique<ReadBuffer>();
        m_buffer.reserve(ReadBufferBytes);
    }
    m_parser->get().body().data = m_bodyBuffer->data();
    m_parser->get().body().size = m_bodyBuffer->size();
    m_readingBody = true;
    http::async_read_some(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this(), done = std::move(done)](error_code ec, std::size_t) {
            self->m_readingBody = false;
            if (self->m_closed || self->m_lingering)
                return done(Error {ErrorKind::Unavailable, "the peer went away", ""});
            if (self->m_bodyReclaimed) {
                self->abandonBody();
                return done(noRoomForRequest());
            }
            if (ec == http::error::need_buffer)
                ec = {};
            if (ec) {
                const bool disconnected = ec == http::error::partial_message
                    || ec == asio::error::eof
                    || ec.category() == asio::error::get_system_category();
                if (disconnected) {
                    self->m_keepAlive = false;
                    done(Error {ErrorKind::Unavailable, "the peer went away", ""});
                    return self->close();
                }
                self->abandonBody();
                return done(malformedRequest(ec));
            }
            self->setDeadline(self->m_limits.stallTimeout);
            const std::size_t n = self->m_bodyBuffer->size() - self->m_parser->get().body().size;
            if (n == 0)
                return self->readBodyPart(done);
            done(std::string_view(self->m_bodyBuffer->data(), n));
        });
}

void HttpConnection::respond(int status, std::span<const HttpField> fields, std::string_view body)
{
    if (m_closed || m_responded)
        return;
    m_responded = true;
    m_handlerBytes = 0;
    if (!m_requestBodyRead)
        m_keepAlive = false;
    appendStatusLine(m_queuedOutput, status);
    appendFields(m_queuedOutput, fields);
    m_queuedOutput += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    m_queuedOutput += m_keepAlive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
    if (m_method != "HEAD")
        m_queuedOutput += body;
    m_responseEnded = true;
    flush();
}

void HttpConnection::beginStream(int status, std::span<const HttpField> fields)
{
    if (m_closed || m_responded)
        return;
    m_responded = m_chunked = true;
    appendStatusLine(m_queuedOutput, status);
    appendFields(m_queuedOutput, fields);
    m_queuedOutput += "Transfer-Encoding: chunked\r\n";
    m_queuedOutput += m_keepAlive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
    flush();
}

void HttpConnection::write(std::string_view part)
{
    if (m_closed || !m_chunked || m_responseEnded || part.empty())
        return;
    appendChunk(m_queuedOutput, part);
    flush();
}

void HttpConnection::endStream()
{
    if (m_closed || !m_chunked || m_responseEnded)
        return;
    m_responseEnded = true;
    if (!m_requestBodyRead)
        m_keepAlive = false;
    m_queuedOutput += "0\r\n\r\n";
    flush();
}

void HttpConnection::flush()
{
    if (!m_outputInFlight.empty() || m_queuedOutput.empty() || m_closed)
        return;
    m_outputInFlight.swap(m_queuedOutput);
    setDeadline(m_limits.stallTimeout);
    if (m_outputInFlight.size() > UncountedBytes)
        countOutput();
    asio::async_write(
        m_socket, asio::buffer(m_outputInFlight),
        [self = shared_from_this()](error_code ec, std::size_t) { self->onWritten(ec); });
}

void HttpConnection::onWritten(error_code ec)
{
    m_unconfirmedBytes += m_outputInFlight.size();
    m_outputInFlight.clear();
    if (m_outputInFlight.capacity() > UncountedBytes)
        m_outputInFlight.shrink_to_fit();
    if (ec || m_closed)
        return close();
    if (std::exchange(m_outputCounted, false)) {
        setActivity(m_requestBodyRead ? ClientActivity::Waiting : ClientActivity::Uploading);
        updateHolding();
    }
    if (!m_queuedOutput.empty())
        return flush();
    if (m_responseEnded)
        return finishExchange();
    // A response may wait long for its backend. Only unsent bytes, and a body that the client was
    // told to go on with, count as a stall.
    if (m_responded || m_requestBodyRead)
        setDeadline(HandlerDeadline);
    if (const auto callback = std::exchange(m_onDrained, nullptr))
        callback();
}

void HttpConnection::finishExchange()
{
    m_onClosed = nullptr;
    m_onDrained = nullptr;
    setExchangeInFlight(false);
    if (m_keepAlive)
        return readHead();
    const bool moreMayCome = !m_parser->is_done() || m_parser->keep_alive();
    if (moreMayCome && m_lingerAllowed)
        return linger();
    error_code ec;
    m_socket.shutdown(tcp::socket::shutdown_send, ec);
    close();
}

/// Closes the connection once the peer has, or after a limit. Closing a socket with unread bytes
/// resets the connection, and a reset discards what the peer has not yet read of the response.
void HttpConnection::linger()
{
    m_lingering = true;
    setDeadline(LingerTime);
    std::string().swap(m_queuedOutput);
    std::string().swap(m_outputInFlight);
    releaseRequest();
    setActivity(ClientActivity::Idle);
    updateHolding();
    if (!m_bodyBuffer)
        m_bodyBuffer = std::make_unique<ReadBuffer>();
    error_code ec;
    m_socket.cancel(ec);
    m_socket.shutdown(tcp::socket::shutdown_send, ec);
    discardInput();
}

void HttpConnection::discardInput()
{
    m_socket.async_read_some(asio::buffer(*m_bodyBuffer),
                             [self = shared_from_this()](error_code ec, std::size_t n) {
                                 if (self->m_closed)
                                     return;
                                 self->m_discardedBytes += n;
                                 if (ec || self->m_discardedBytes > LingerBytes)
                                     return self->close();
                                 self->discardInput();
                             });
}

/// Detects that the peer disconnects before its response is complete. A socket can be reported as
/// readable when it is not, after its bytes were read without a wait, so the state is asked. The
/// wait of one exchange may outlast it and wake up on the bytes of the next request. As the parser
/// may have read these already, an empty socket does not mean a disconnect then.
void HttpConnection::watchPeer()
{
    if (m_closed)
        return;
    setDeadline(HandlerDeadline);
    if (m_watchingPeer)
        return;
    m_watchingPeer = true;
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this(), exchange = m_exchangeNumber](error_code ec) {
                            self->m_watchingPeer = false;
                            if (self->m_closed || self->m_responseEnded || ec)
                                return;
                            if (exchange != self->m_exchangeNumber) {
                                if (self->m_requestBodyRead)
                                    self->watchPeer();
                                return;
                            }
                            switch (peerState(self->m_socket.native_handle())) {
                            case PeerState::Closed:
                                return self->close();
                            case PeerState::Quiet:
                                return self->watchPeer();
                            case PeerState::HasSent:
                                self->m_sentAhead = true;
                                return;
                            }
                        });
}

void HttpConnection::watchDeadline()
{
    m_timer.expires_after(DeadlineCheckInterval);
    m_timer.async_wait([weak = weak_from_this()](error_code ec) {
        const auto self = weak.lock();
        if (ec || !self || self->m_closed)
            return;
        if (steadyNow() >= self->m_deadline)
            return self->close();
        self->countSocketQueues();
        if (!self->m_outputInFlight.empty() && !self->m_outputCounted)
            self->countOutput();
        self->watchDeadline();
    });
}

void HttpConnection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    error_code ec;
    m_socket.close(ec);
    m_holding.close();
    m_timer.cancel();
    setExchangeInFlight(false);
    --m_counters->connections;
    m_onDrained = nullptr;
    if (const auto callback = std::exchange(m_onClosed, nullptr))
        callback();
}

} // namespace dogwoodvalve
