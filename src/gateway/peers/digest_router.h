#pragma once

#include "gateway/gateway_node.h"
#include "gateway/peers/host_digest_codec.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// A datagram for several hosts.
struct DigestMessage
{
    /// IP:PORT of each receiver.
    std::vector<std::string> receivers;
    std::vector<std::uint8_t> bytes;
};

/// Decides when this host sends its digest, and to whom. In a small fleet each host sends it to all
/// others. In a large one, that would make digests rare, and decisions would be based on load that
/// is seconds old. So two hosts of each zone relay: the hosts of the zone send them their digests,
/// and receive the load of the whole fleet, summed per server; the relays of different zones
/// exchange the sums of their zones. A relay needs no appointment: a host that receives the digest
/// of a host of its zone answers with what it knows.
class DigestRouter
{
public:
    explicit DigestRouter(GatewayNode &node)
        : m_node(node)
    { }

    /// Adds the hosts that have a record in the store.
    void setRecords(std::span<const HostRecord> records);
    /// The messages to send now. To be called at least every PollInterval.
    std::vector<DigestMessage> messagesDue();
    /// This host's digest, for the hosts that normally get it.
    std::vector<DigestMessage> messagesNow();
    /// Applies what another host has sent. Returns that host's state, or nothing if this host
    /// itself has sent it.
    std::optional<HostDigest> receive(const PeerDigest &digest);

    /// Whether the fleet is so large that digests are relayed.
    bool relays() const { return mode() != ExchangeMode::Direct; }
    ExchangeMode mode() const { return m_node.view().hosts().exchangeMode(); }
    /// Whether any other host has been heard since the start.
    bool anyHeard() const { return m_anyHeard; }
    /// Whether a relay of this zone was heard recently.
    bool relayHeard() const;

    static constexpr Duration PollInterval = std::chrono::milliseconds(100);
    /// Fleets of at least this many hosts use relays. Below it, direct digests are recent enough.
    static constexpr std::size_t MinHostsForRelays = 100;
    /// A fleet that uses relays does so until it has fewer hosts than this.
    static constexpr std::size_t MinHostsToKeepRelays = 80;
    /// With two relays for a zone, hosts need not notice at once that one is lost.
    static constexpr int RelaysPerZone = 2;

private:
    /// Contact with a host that should answer with relay digests.
    struct Contact
    {
        /// When a digest was first sent without an answer since; unset if it has answered.
        std::optional<TimePoint> unansweredSince;
        TimePoint heardAt {};
        /// For how long it is not used when it does not answer next.
        Duration suspension {};
    };

    void updateMode();
    std::size_t minHostsForRelays() const;
    /// Addresses of the relays of a zone, without this host. Relays that do not answer are
    /// suspended.
    std::set<std::string> relayAddresses(std::string_view zone);
    std::vector<std::string> otherZonesReceivers(std::string_view ownZone);
    std::vector<std::string> zoneReceivers(std::string_view zone) const;
    DigestMessage hostMessage(const HostDigest &digest);
    /// Adds what this host sends as a relay. `changed` tells that the hosts of its zone are listed.
    void addRelayMessages(std::vector<DigestMessage> &messages, const HostDigest &digest,
                          bool changed);
    void addOtherZone(std::vector<std::string> &zones, std::string_view ownZone);
    Duration relayInterval() const;

    GatewayNode &m_node;
    /// Addresses of the other hosts, from their records and from digests.
    std::set<std::string> m_addresses;
    std::size_t m_recordCount = 0;
    std::map<std::string, Contact, std::less<>> m_contacts;
    /// When each host of this zone last sent its digest here, by its address.
    std::map<std::string, TimePoint> m_subscribers;
    /// When each relay of another zone last sent its digest here, by its address.
    std::map<std::string, TimePoint> m_otherRelays;
    TimePoint m_sentAt {};
    TimePoint m_relayedAt {};
    TimePoint m_rosterSentAt {};
    /// Relay digests sent, to list the other zones' hosts in turn.
    std::uint64_t m_relayRound = 0;
    bool m_anyHeard = false;
    /// When a relay of this zone was last heard.
    std::optional<TimePoint> m_relayHeardAt;
};

} // namespace dogwoodvalve
