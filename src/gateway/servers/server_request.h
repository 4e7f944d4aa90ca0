#pragma once

#include "net/http_client.h"

#include <dogwoodvalve/fleet_servers.h>

#include <set>
#include <string>
#include <string_view>

namespace dogwoodvalve {

class GatewayNode;

/// One request of this host to a server, over a connection of its own or forwarded by another host.
/// Another way is tried only as long as the request can't have reached the server.
class ServerRequest : public HttpClientRequest, private HttpClientEvents
{
public:
    /// The label names the request in log lines.
    ServerRequest(GatewayNode &node, const ServerRegistration &server, std::string_view label);
    ~ServerRequest() override;

    void start(const boost::asio::ip::tcp::endpoint &endpoint, const HttpRequestHead &head,
               Duration connectTimeout, HttpClientEvents &events) override;
    void write(std::string_view part) override;
    void writeBody(const SharedBytes &body) override;
    void finishBody() override;
    void pauseReading(bool paused) override;
    bool anyByteSent() const override;
    bool connected() const override { return m_connected; }
    std::size_t pendingBytes() const override { return m_client ? m_client->pendingBytes() : 0; }
    void close() override;

private:
    void onConnected() override;
    void onHead(int status, std::span<const HttpField> fields) override;
    void onBody(std::string_view part) override;
    void onEnd() override;
    void onError(const Error &error) override;
    void onDrained() override;

    void connect();
    void connectDirectly();
    /// Sends the request to the next host that may forward it. If there is none, connects to the
    /// server after all, or fails with the last error if that was tried or a host has said that the
    /// server wants no request.
    void tryForwarder();
    void openClient(const boost::asio::ip::tcp::endpoint &endpoint, const HttpRequestHead &head,
                    Duration connectTimeout);
    void onForwardOutcome(int status, std::span<const HttpField> fields);
    /// The request has arrived at the server, directly or not.
    void settle();
    void fail(const Error &error);
    /// The hosts that reach the server have to leave it in peace.
    void failPaused();

    GatewayNode &m_node;
    std::string m_server;
    std::int64_t m_startedAtMs = 0;
    std::string m_label;
    HttpClientEvents *m_events = nullptr;
    boost::asio::ip::tcp::endpoint m_endpoint;
    HttpRequestHead m_head;
    /// What was written, until it is known that the server has been reached: in parts, or whole.
    std::string m_parts;
    SharedBytes m_body;
    bool m_bodyFinished = false;
    bool m_paused = false;
    Duration m_connectTimeout {};
    TimePoint m_startedAt {};
    std::shared_ptr<HttpClientRequest> m_client;
    /// The host that is forwarding the request; empty for a connection to the server itself.
    std::string m_forwarder;
    std::set<std::string> m_triedForwarders;
    /// Those of them that the server has asked for a pause, and the rest of the shortest one.
    std::size_t m_pausedForwarders = 0;
    Duration m_shortestPause {};
    Error m_lastError;
    bool m_triedDirectly = false;
    bool m_connected = false;
    /// The current connection did not bring the request to the server.
    bool m_notSent = false;
};

} // namespace dogwoodvalve
