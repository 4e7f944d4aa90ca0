#include "simulation/sim_peers.h"

namespace dogwoodvalve::simulation {

std::string SimWebsocketTransport::listen(const std::string &ip, unsigned short port)
{
    m_address = ip + ':' + std::to_string(port);
    m_network.listen(
        m_address, m_process,
        [this, alive = std::weak_ptr(m_alive)](const std::shared_ptr<SimConnection> &connection) {
            if (!alive.expired())
                opened(++m_lastLink, connection, SimConnection::Accepting);
        });
    return "";
}

std::uint64_t SimWebsocketTransport::connect(const std::string &ip, unsigned short port)
{
    const std::uint64_t id = ++m_lastLink;
    m_links[id] = Link {};
    m_network.connect(m_process, ip + ':' + std::to_string(port),
                      [this, id, alive = std::weak_ptr(m_alive)](
                          const std::shared_ptr<SimConnection> &connection) {
                          if (alive.expired() || m_links.count(id) == 0) {
                              if (connection)
                                  connection->close(SimConnection::Connecting);
                              return;
                          }
                          if (!connection)
                              return lost(id);
                          opened(id, connection, SimConnection::Connecting);
                      });
    return id;
}

void SimWebsocketTransport::opened(std::uint64_t id,
                                   const std::shared_ptr<SimConnection> &connection,
                                   SimConnection::Side side)
{
    m_links[id] = {connection, side};
    const auto alive = std::weak_ptr(m_alive);
    connection->setHandlers(
        side,
        [this, id, alive](const std::string &message) {
            if (!alive.expired() && m_links.count(id) > 0)
                m_events.websocketReceived(id, message);
        },
        [this, id, alive] {
            if (!alive.expired())
                lost(id);
        });
    m_events.websocketOpened(id, side == SimConnection::Connecting);
}

void SimWebsocketTransport::lost(std::uint64_t id)
{
    if (m_links.erase(id) > 0)
        m_events.websocketClosed(id);
}

void SimWebsocketTransport::send(std::uint64_t link, const std::string &bytes)
{
    const auto it = m_links.find(link);
    if (it != m_links.end() && it->second.connection)
        it->second.connection->send(it->second.side, bytes);
}

void SimWebsocketTransport::close(std::uint64_t link)
{
    const auto it = m_links.find(link);
    if (it == m_links.end())
        return;
    if (it->second.connection)
        it->second.connection->close(it->second.side);
    m_links.erase(it);
}

void SimWebsocketTransport::stop()
{
    m_network.stopListening(m_address);
    while (!m_links.empty())
        close(m_links.begin()->first);
}

} // namespace dogwoodvalve::simulation
