#pragma once

#include "net/websocket_transport.h"
#include "simulation/sim_network.h"

#include <map>
#include <memory>
#include <string>

namespace dogwoodvalve::simulation {

/// Websocket links between entry hosts over the pretended network.
class SimWebsocketTransport : public WebsocketTransport
{
public:
    SimWebsocketTransport(SimNetwork &network, std::shared_ptr<SimProcess> process,
                          WebsocketEvents &events)
        : m_network(network)
        , m_process(std::move(process))
        , m_events(events)
    { }

    std::string listen(const std::string &ip, unsigned short port) override;
    std::uint64_t connect(const std::string &ip, unsigned short port) override;
    void send(std::uint64_t link, const std::string &bytes) override;
    void close(std::uint64_t link) override;
    void stop() override;

private:
    struct Link
    {
        std::shared_ptr<SimConnection> connection;
        SimConnection::Side side = SimConnection::Connecting;
    };

    void opened(std::uint64_t id, const std::shared_ptr<SimConnection> &connection,
                SimConnection::Side side);
    void lost(std::uint64_t id);

    SimNetwork &m_network;
    std::shared_ptr<SimProcess> m_process;
    WebsocketEvents &m_events;
    std::map<std::uint64_t, Link> m_links;
    std::uint64_t m_lastLink = 0;
    std::string m_address;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve::simulation
