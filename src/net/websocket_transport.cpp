// websocketpp 0.8.2 does not compile as C++20 with g++ 12, so this one source is C++17.
#include "net/websocket_transport.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>

namespace dogwoodvalve {

namespace {

using websocketpp::connection_hdl;

/// Handshake timeouts in milliseconds, shorter than the defaults of the library because peers are
/// near and there are many links.
struct ServerConfig : public websocketpp::config::asio
{
    static const long timeout_open_handshake = 2000;
    static const long timeout_close_handshake = 500;
};

struct ClientConfig : public websocketpp::config::asio_client
{
    static const long timeout_open_handshake = 2000;
    static const long timeout_close_handshake = 500;
};

using Server = websocketpp::server<ServerConfig>;
using Client = websocketpp::client<ClientConfig>;

class WebsocketTransportImpl : public WebsocketTransport
{
public:
    WebsocketTransportImpl(boost::asio::io_context &loop, WebsocketEvents &events,
                           std::size_t maxFrameBytes)
        : m_events(events)
    {
        configureEndpoint(m_server, loop, maxFrameBytes);
        configureEndpoint(m_client, loop, maxFrameBytes);
        m_server.set_reuse_addr(true);
        m_server.set_open_handler([this](connection_hdl handle) {
            const std::uint64_t link = ++m_lastLink;
            m_links[link] = {handle, false};
            m_linkByHandle[handle] = link;
            m_events.websocketOpened(link, false);
        });
        m_client.set_open_handler([this](connection_hdl handle) {
            const auto it = m_linkByHandle.find(handle);
            if (it != m_linkByHandle.end())
                m_events.websocketOpened(it->second, true);
        });
    }

    std::string listen(const std::string &ip, unsigned short port) override
    {
        boost::system::error_code addressError;
        const auto address = boost::asio::ip::make_address(ip, addressError);
        if (addressError)
            return addressError.message();
        websocketpp::lib::error_code ec;
        m_server.listen(boost::asio::ip::tcp::endpoint(address, port), ec);
        if (!ec)
            m_server.start_accept(ec);
        return ec ? ec.message() : std::string();
    }

    std::uint64_t connect(const std::string &ip, unsigned short port) override
    {
        const std::uint64_t link = ++m_lastLink;
        const std::string host = ip.find(':') == std::string::npos ? ip : '[' + ip + ']';
        websocketpp::lib::error_code ec;
        const auto connection =
            m_client.get_connection("ws://" + host + ':' + std::to_string(port) + "/peers", ec);
        if (ec)
            return link;
        m_links[link] = {connection->get_handle(), true};
        m_linkByHandle[connection->get_handle()] = link;
        m_client.connect(connection);
        return link;
    }

    void send(std::uint64_t link, const std::string &bytes) override
    {
        const auto it = m_links.find(link);
        if (it == m_links.end())
            return;
        websocketpp::lib::error_code ec;
        if (it->second.outgoing)
            m_client.send(it->second.handle, bytes, websocketpp::frame::opcode::binary, ec);
        else
            m_server.send(it->second.handle, bytes, websocketpp::frame::opcode::binary, ec);
    }

    void close(std::uint64_t link) override
    {
        const auto it = m_links.find(link);
        if (it == m_links.end())
            return;
        const Link closing = it->second;
        m_links.erase(it);
        m_linkByHandle.erase(closing.handle);
        websocketpp::lib::error_code ec;
        if (closing.outgoing)
            m_client.close(closing.handle, websocketpp::close::status::normal, "", ec);
        else
            m_server.close(closing.handle, websocketpp::close::status::normal, "", ec);
    }

    void stop() override
    {
        websocketpp::lib::error_code ec;
        if (m_server.is_listening())
            m_server.stop_listening(ec);
        while (!m_links.empty())
            close(m_links.begin()->first);
    }

private:
    struct Link
    {
        connection_hdl handle;
        bool outgoing = false;
    };

    template <class Endpoint>
    void configureEndpoint(Endpoint &endpoint, boost::asio::io_context &loop,
                           std::size_t maxFrameBytes)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&loop);
        endpoint.set_max_message_size(maxFrameBytes);
        endpoint.set_message_handler(
            [this](connection_hdl handle, typename Endpoint::message_ptr message) {
                const auto it = m_linkByHandle.find(handle);
                if (it != m_linkByHandle.end())
                    m_events.websocketReceived(it->second, message->get_payload());
            });
        endpoint.set_close_handler([this](connection_hdl handle) { removeLink(handle); });
        endpoint.set_fail_handler([this](connection_hdl handle) { removeLink(handle); });
    }

    void removeLink(connection_hdl handle)
    {
        const auto it = m_linkByHandle.find(handle);
        if (it == m_linkByHandle.end())
            return;
        const std::uint64_t link = it->second;
        m_linkByHandle.erase(it);
        m_links.erase(link);
        m_events.websocketClosed(link);
    }

    WebsocketEvents &m_events;
    Server m_server;
    Client m_client;
    std::uint64_t m_lastLink = 0;
    std::map<std::uint64_t, Link> m_links;
    std::map<connection_hdl, std::uint64_t, std::owner_less<connection_hdl>> m_linkByHandle;
};

} // namespace

std::unique_ptr<WebsocketTransport> WebsocketTransport::create(boost::asio::io_context &loop,
                                                               WebsocketEvents &events,
                                                               std::size_t maxFrameBytes)
{
    return std::make_unique<WebsocketTransportImpl>(loop, events, maxFrameBytes);
}

} // namespace dogwoodvalve
