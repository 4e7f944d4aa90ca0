#pragma once

#include "gateway/peers/digest_router.h"
#include "gateway/peers/peer_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// Sends and receives the digests that a DigestRouter decides on, as UDP datagrams. Each digest
/// replaces the previous one, so a lost datagram needs no retransmission. Hosts discover one
/// another by their records in the platform's store and by the digests that they receive.
class PeerExchange
{
public:
    PeerExchange(boost::asio::io_context &loop, GatewayNode &node, DigestRouter &router,
                 PeerReader &reader);
    ~PeerExchange();

    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    /// Calls back once the other hosts' records were read, or could not be. Errors: Unavailable if
    /// the address can't be bound.
    Result<void> start(std::function<void()> discovered);
    /// Sends the digest at once, for example to say that this host is leaving.
    void sendNow();
    void stop();

private:
    void sendPeriodically();
    void receive();
    /// Notes the time if no digest waits in the socket.
    void noteIfDrained();
    /// Reads the other hosts' records from the store periodically.
    void discoverHosts();
    /// Writes this host's record to the store, and retries until that succeeds.
    void announce();
    void onDigest(const PeerDigest &digest);
    void onRecords(const std::vector<HostRecord> &records);
    void send(const std::vector<DigestMessage> &messages);
    Duration nextDiscoveryPause() const;
    /// Calls a member function once after a pause.
    void schedule(Duration pause, void (PeerExchange::*action)());

    static constexpr std::size_t MaxDatagramBytes = 64 * 1024;

    GatewayNode &m_node;
    DigestRouter &m_router;
    PeerReader &m_reader;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<std::uint8_t, MaxDatagramBytes> m_buffer {};
    TimePoint m_startedAt {};
    /// When no digest waited in the socket.
    TimePoint m_drainedAt {};
    std::function<void()> m_discovered;
    bool m_announced = false;
    /// Pending callbacks hold a weak pointer to this, and do nothing once it is replaced.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
