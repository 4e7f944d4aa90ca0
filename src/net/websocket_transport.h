#pragma once

// This header must compile as C++17, since websocket_transport.cpp is built as C++17.

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

/// Accepts and opens websocket links and transfers binary frames. Must only be called on the thread
/// of the event loop.
class WebsocketTransport
{
public:
    static std::unique_ptr<WebsocketTransport>
    create(boost::asio::io_context &loop, WebsocketEvents &events, std::size_t maxFrameBytes);

    virtual ~WebsocketTransport() = default;

    /// Listens on an address. Returns an error message, or an empty string on success.
    virtual std::string listen(const std::string &ip, unsigned short port) = 0;
    virtual std::uint64_t connect(const std::string &ip, unsigned short port) = 0;
    virtual void send(std::uint64_t link, const std::string &bytes) = 0;
    /// Closes a link; websocketClosed does not follow.
    virtual void close(std::uint64_t link) = 0;
    virtual void stop() = 0;
};

} // namespace dogwoodvalve
