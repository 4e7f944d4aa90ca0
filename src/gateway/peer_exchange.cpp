#include "gateway/peer_exchange.h"

#include "daemon/log.h"
#include "gateway/host_digest_codec.h"
#include "net/endpoint.h"

namespace dogwoodvalve {

namespace {

/// The hosts' records are read again this often, to discover hosts whose digests do not arrive.
constexpr Duration DiscoveryInterval = 8s;
/// Number of hosts that read the records at the short interval. A host that reads them then sends
/// its digests to every host listed, which makes it known to them; so in a large fleet it is enough
/// that a few hosts read often.
constexpr int FrequentDiscoverers = 4;
constexpr const char *DiscoveryTask = "find-hosts";
constexpr Duration InfrequentDiscoveryInterval = 30s;
/// Urgent updates are delayed by this long at most. The digest interval is a multiple of it.
constexpr Duration SendPollInterval = 100ms;
constexpr Duration DiscoveryRetryInterval = 700ms;

} // namespace

PeerExchange::PeerExchange(boost::asio::io_context &loop, GatewayNode &node, PeerReader &reader)
    : m_node(node)
    , m_reader(reader)
    , m_socket(loop)
{ }

PeerExchange::~PeerExchange()
{
    stop();
}

Result<void> PeerExchange::start()
{
    const auto endpoint = parseEndpoint(m_node.settings().peerListen);
    if (!endpoint)
        return endpoint.error();
    const boost::asio::ip::udp::endpoint local(endpoint.value().address(), endpoint.value().port());
    boost::system::error_code ec;
    m_socket.open(local.protocol(), ec);
    if (!ec)
        m_socket.bind(local, ec);
    if (ec)
        return Error {ErrorKind::Unavailable,
                      "cannot bind " + m_node.settings().peerListen + ": " + ec.message(),
                      "give a free address of this host"};
    m_socket.non_blocking(true, ec);
    receive();
    announce();
    discoverHosts();
    sendPeriodically();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PeerExchange::stop()
{
    m_alive = std::make_shared<bool>(true);
    boost::system::error_code ec;
    m_socket.close(ec);
}

void PeerExchange::schedule(Duration pause, void (PeerExchange::*action)())
{
    m_node.timers().schedule(m_node.now() + pause, [this, action, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            (this->*action)();
    });
}

void PeerExchange::announce()
{
    const HostRecord record {m_node.settings().name, m_node.settings().peerListen};
    m_node.platform().coordination->announce(
        record, [this, alive = std::weak_ptr(m_alive)](const Result<void> &result) {
            if (!alive.expired() && !result)
                schedule(DiscoveryRetryInterval, &PeerExchange::announce);
        });
}

void PeerExchange::discoverHosts()
{
    m_node.platform().coordination->readHosts(
        [this, alive = std::weak_ptr(m_alive)](Result<std::vector<HostRecord>> hosts) {
            if (alive.expired())
                return;
            if (!hosts)
                return schedule(DiscoveryRetryInterval, &PeerExchange::discoverHosts);
            m_addresses.clear();
            for (const HostRecord &host : hosts.value()) {
                if (host.name != m_node.settings().name)
                    m_addresses.insert(host.peerAddress);
            }
            for (const auto &[name, peer] : m_node.view().hosts().peers())
                m_addresses.insert(peer.digest.peerAddress);
            m_addresses.erase(m_node.settings().peerListen);
            // Hosts that start together may miss one another's records, so a host that has heard
            // no other retries soon.
            const bool noPeerHeard = m_node.view().hosts().liveHosts(m_node.now()) <= 1;
            const bool frequent = m_node.view().hosts().isTopRanked(
                m_node.settings().name, DiscoveryTask, FrequentDiscoverers, m_node.now());
            const Duration interval = frequent ? DiscoveryInterval : InfrequentDiscoveryInterval;
            schedule(noPeerHeard ? DiscoveryRetryInterval : interval, &PeerExchange::discoverHosts);
        });
}

void PeerExchange::sendPeriodically()
{
    const TimePoint now = m_node.now();
    const Duration due = m_sentAt + m_node.view().hosts().digestInterval() - now;
    if (due <= SendPollInterval / 2 || m_node.view().hasUrgentUpdate()) {
        sendNow();
        m_node.view().hosts().expire(now);
    }
    schedule(SendPollInterval, &PeerExchange::sendPeriodically);
}

void PeerExchange::sendNow()
{
    if (m_addresses.empty())
        return;
    m_sentAt = m_node.now();
    const std::vector<std::uint8_t> bytes = encodeDigest(m_node.view().nextDigest());
    for (const std::string &address : m_addresses) {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint)
            continue;
        // A datagram that can't be sent now counts as lost: the next digest replaces it.
        boost::system::error_code ignored;
        m_socket.send_to(boost::asio::buffer(bytes),
                         {endpoint.value().address(), endpoint.value().port()}, 0, ignored);
    }
}

void PeerExchange::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender,
        [this, alive = std::weak_ptr(m_alive)](boost::system::error_code ec, std::size_t n) {
            if (alive.expired() || ec == boost::asio::error::operation_aborted)
                return;
            // Any other error reports that a peer's host rejected an earlier datagram.
            if (!ec) {
                const auto digest = decodeDigest(std::span(m_buffer).first(n));
                if (digest)
                    onDigest(digest.value());
                else
                    LogEvent::decision("digest_unreadable").field("bytes", n);
            }
            receive();
        });
}

void PeerExchange::onDigest(const HostDigest &digest)
{
    if (digest.name == m_node.settings().name)
        return;
    m_addresses.insert(digest.peerAddress);
    m_node.view().applyDigest(digest);
    m_reader.onDigest(digest);
}

} // namespace dogwoodvalve
