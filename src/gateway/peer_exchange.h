#pragma once

#include "gateway/peer_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <set>
#include <string>

namespace dogwoodvalve {

/// Tells the other hosts this one's digest and takes theirs, as datagrams: each digest replaces the
/// one before, so a lost one is made good by the next. Hosts find one another by their records in
/// the platform's store, and by the digests that reach them.
class PeerExchange
{
public:
    PeerExchange(boost::asio::io_context &loop, GatewayNode &node, PeerReader &reader);
    ~PeerExchange();

    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    /// Errors: Unavailable if the address can't be bound.
    Result<void> start();
    /// Tells the others at once, for example that this host leaves.
    void sendNow();
    void stop();

private:
    void sendPeriodically();
    void receive();
    void discoverHosts();
    void announce();
    void onDigest(const HostDigest &digest);
    void schedule(Duration pause, void (PeerExchange::*action)());

    GatewayNode &m_node;
    PeerReader &m_reader;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<std::uint8_t, 64 * 1024> m_buffer {};
    /// Peer addresses, from the store and from digests.
    std::set<std::string> m_addresses;
    TimePoint m_sentAt {};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
