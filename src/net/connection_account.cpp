#include "net/http_connection.h"

#include <boost/asio/post.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

/// What a connection holds, and how it gives it back.

namespace dogwoodvalve {

namespace {

/// The part of a connection that all have: objects, buffers that are kept, the operating system's.
constexpr std::size_t ConnectionBytes = 16 * 1024;

std::size_t queueLength(int socket, unsigned long request)
{
    int n = 0;
    return ::ioctl(socket, request, &n) == 0 && n > 0 ? static_cast<std::size_t>(n) : 0;
}

} // namespace

SocketQueues socketQueues(int socket)
{
    return {queueLength(socket, SIOCINQ), queueLength(socket, SIOCOUTQ)};
}

TimePoint HttpConnection::steadyNow()
{
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

std::size_t HttpConnection::heldBytes() const
{
    const std::size_t extraBuffer =
        m_buffer.capacity() > IdleBufferBytes ? m_buffer.capacity() - IdleBufferBytes : 0;
    return ConnectionBytes + extraBuffer + (m_bodyBuffer ? ReadBufferBytes : 0) + m_headBytes
        + m_bodyBytes + m_handlerBytes + m_socketBytes + m_queuedOutput.size()
        + m_outputInFlight.size();
}

bool HttpConnection::tryHold(std::size_t bytes)
{
    if (m_closed)
        return true;
    const std::size_t previous = std::exchange(m_handlerBytes, bytes);
    if (tryUpdateHolding())
        return true;
    m_handlerBytes = previous;
    m_holding.reportDropped(*this, Shortage::Bytes, steadyNow());
    return false;
}

void HttpConnection::countOutput()
{
    m_outputCounted = true;
    setActivity(ClientActivity::Downloading);
    updateHolding();
}

void HttpConnection::countSocketQueues()
{
    if (m_unconfirmedBytes <= UncountedBytes && !m_sentAhead && m_socketBytes == 0)
        return;
    const SocketQueues queues = socketQueues(m_socket.native_handle());
    if (queues.unsent == 0)
        m_unconfirmedBytes = 0;
    m_socketBytes = queues.unsent + queues.received;
    updateHolding();
}

void HttpConnection::requestReclaim(Shortage shortage)
{
    boost::asio::post(m_socket.get_executor(), [weak = weak_from_this(), shortage] {
        if (const auto self = weak.lock())
            self->giveBack(shortage);
    });
}

/// A request whose body is being read is ended by its handler. Answers that have begun, and
/// connections without a whole head, end without a word.
void HttpConnection::giveBack(Shortage shortage)
{
    if (m_closed)
        return;
    if (m_holding.activity() == ClientActivity::Waiting)
        return m_holding.withdrawReclaim();
    m_lingerAllowed = shortage == Shortage::Bytes;
    // A request that was refused meanwhile ends by itself.
    if (m_holding.activity() == ClientActivity::Uploading && m_responseEnded)
        return;
    m_holding.reportDropped(*this, shortage, steadyNow());
    if (!m_readingBody || m_responded)
        return close();
    m_bodyReclaimed = true;
    boost::system::error_code ec;
    m_socket.cancel(ec);
}

} // namespace dogwoodvalve
