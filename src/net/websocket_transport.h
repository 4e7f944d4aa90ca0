#pragma once

// This header is read by a source that is built as C++17.

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace dogwoodvalve {

/// Receives the events of websocket links, on the thread of the event loop.
class WebsocketEvents
{
public:
    virtual ~WebsocketEvents() = default;
    virtual void websocketOpened(std::uint64_t link, bool outgoing) = 0;
    virtual void websocketReceived(std::uint64_t link, const std::string &bytes) = 0;
    virtual void websocketClosed(std::uint64_t link) = 0;
};

/// Accepts and makes websocket links and passes binary frames. All calls come from the thread of
/// the event loop.
class WebsocketTransport
{
public:
    static std::unique_ptr<WebsocketTransport>
    create(boost::asio::io_context &loop, WebsocketEvents &events, std::size_t maxFrameBytes);

    virtual ~WebsocketTransport() = default;

    /// Listens on an address; returns a message if that fails, else an empty text.
    virtual std::string listen(const std::string &ip, unsigned short port) = 0;
    virtual std::uint64_t connect(const std::string &ip, unsigned short port) = 0;
    virtual void send(std::uint64_t link, const std::string &bytes) = 0;
    /// Closes a link; websocketClosed does not follow.
    virtual void close(std::uint64_t link) = 0;
    virtual void stop() = 0;
};

} // namespace dogwoodvalve
