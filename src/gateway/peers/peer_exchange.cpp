#include "gateway/peers/peer_exchange.h"

#include "daemon/log.h"
#include "gateway/peers/host_digest_codec.h"
#include "net/endpoint.h"

#include <algorithm>
#include <utility>

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
constexpr Duration DiscoveryRetryInterval = 700ms;
/// A member need not find its relays: they find it, once they have read the records again.
constexpr Duration MemberRetryInterval = 2s;
/// Hosts that start together write their records within this time, so relays read them once more
/// then.
constexpr Duration StartUpSpread = 1200ms;

} // namespace

PeerExchange::PeerExchange(boost::asio::io_context &loop, GatewayNode &node, DigestRouter &router,
                           PeerReader &reader)
    : m_node(node)
    , m_router(router)
    , m_reader(reader)
    , m_socket(loop)
{ }

PeerExchange::~PeerExchange()
{
    stop();
}

Result<void> PeerExchange::start(std::function<void()> discovered)
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
    m_startedAt = m_node.now();
    m_drainedAt = m_startedAt;
    m_discovered = std::move(discovered);
    receive();
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
    const HostRecord record {m_node.settings().name, m_node.settings().peerListen,
                             m_node.settings().zone, m_node.settings().linkMbps};
    m_node.platform().coordination->announce(
        record, [this, alive = std::weak_ptr(m_alive)](const Result<void> &result) {
            if (!alive.expired() && !result)
                schedule(DiscoveryRetryInterval, &PeerExchange::announce);
        });
}

void PeerExchange::discoverHosts()
{
    // A member that hears its relays learns of all hosts from them.
    const bool toldByRelays =
        m_router.mode() == ExchangeMode::Member && m_router.anyHeard() && m_router.relayHeard();
    if (toldByRelays)
        return schedule(DiscoveryRetryInterval, &PeerExchange::discoverHosts);
    m_node.platform().coordination->readHosts(
        [this, alive = std::weak_ptr(m_alive)](Result<std::vector<HostRecord>> hosts) {
            if (alive.expired())
                return;
            if (hosts)
                onRecords(hosts.value());
            if (const auto discovered = std::exchange(m_discovered, nullptr))
                discovered();
            if (!hosts)
                return schedule(DiscoveryRetryInterval, &PeerExchange::discoverHosts);
            schedule(nextDiscoveryPause(), &PeerExchange::discoverHosts);
        });
}

void PeerExchange::onRecords(const std::vector<HostRecord> &records)
{
    // A restarted host finds its own record.
    const GatewaySettings &settings = m_node.settings();
    const HostRecord own {settings.name, settings.peerListen, settings.zone, settings.linkMbps};
    if (!std::exchange(m_announced, true)
        && std::find(records.begin(), records.end(), own) == records.end())
        announce();
    m_router.setRecords(records);
    if (!m_router.anyHeard())
        sendNow();
}

Duration PeerExchange::nextDiscoveryPause() const
{
    // Hosts that start together may miss one another's records, so a host that has heard no other
    // retries soon.
    if (!m_router.anyHeard())
        return m_router.mode() == ExchangeMode::Member ? MemberRetryInterval
                                                       : DiscoveryRetryInterval;
    if (m_router.mode() == ExchangeMode::Relay)
        return m_node.now() - m_startedAt < StartUpSpread ? StartUpSpread : DiscoveryInterval;
    const bool frequent = !m_router.relays()
        && m_node.view().hosts().isTopRanked(m_node.settings().name, DiscoveryTask,
                                             FrequentDiscoverers, m_node.now());
    return frequent ? DiscoveryInterval : InfrequentDiscoveryInterval;
}

void PeerExchange::sendPeriodically()
{
    noteIfDrained();
    send(m_router.messagesDue());
    schedule(DigestRouter::PollInterval, &PeerExchange::sendPeriodically);
}

void PeerExchange::sendNow()
{
    send(m_router.messagesNow());
}

void PeerExchange::send(const std::vector<DigestMessage> &messages)
{
    for (const DigestMessage &message : messages) {
        for (const std::string &address : message.receivers) {
            const auto endpoint = parseEndpoint(address);
            if (!endpoint)
                continue;
            // A datagram that can't be sent now counts as lost: the next digest replaces it.
            boost::system::error_code ignored;
            m_socket.send_to(boost::asio::buffer(message.bytes),
                             {endpoint.value().address(), endpoint.value().port()}, 0, ignored);
        }
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
                auto digest = decodeDigest(std::span(m_buffer).first(n));
                if (digest) {
                    // It may have waited here since the socket was last found empty.
                    addDelay(digest.value(), m_node.now() - m_drainedAt);
                    onDigest(digest.value());
                } else {
                    LogEvent::decision("digest_unreadable").field("bytes", n);
                }
            }
            noteIfDrained();
            receive();
        });
}

void PeerExchange::noteIfDrained()
{
    boost::system::error_code ec;
    if (m_socket.available(ec) == 0 && !ec)
        m_drainedAt = m_node.now();
}

void PeerExchange::onDigest(const PeerDigest &digest)
{
    if (const auto sender = m_router.receive(digest))
        m_reader.onDigest(*sender);
}

} // namespace dogwoodvalve
