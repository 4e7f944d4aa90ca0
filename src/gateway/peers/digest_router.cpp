#include "gateway/peers/digest_router.h"

#include "core/mutation.h"
#include "daemon/log.h"

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Time between two digests of a host to its relays.
constexpr Duration MemberInterval = 300ms;
/// Time between two digests of a relay.
constexpr Duration RelayInterval = 300ms;
/// The second relay of a zone sends less often than the first, as its digests serve only to replace
/// the first one's when it is lost.
constexpr int SecondRelayIntervalFactor = 2;
/// A relay behind a slow link sends less often: in a zone of 60 hosts, its digests take some 16
/// Mbit/s at the normal interval.
constexpr double SlowLinkMbps = 100;
constexpr int SlowLinkIntervalFactor = 3;
/// Urgent changes are relayed after this time at the earliest, so that a burst of changes causes no
/// burst of digests.
constexpr Duration MinRelayInterval = 200ms;
/// A relay lists the hosts of its zone this often, and at once if one has changed.
constexpr Duration RosterInterval = 1s;
/// A host that has not sent its digest for this long gets no relay digests any more.
constexpr Duration SubscriptionTimeout = 1500ms;
/// A relay that does not answer for this long is replaced by the next one, for a while.
constexpr Duration RelayAnswerTimeout = 1s;
constexpr Duration RelaySuspension = 3s;
/// The suspension doubles each time that the relay does not answer, up to this.
constexpr Duration MaxRelaySuspension = 24s;
/// A host that has heard a relay within this time knows that the fleet uses relays.
constexpr Duration RelayMemory = 3s;
/// The other zones' hosts are listed in every second digest, one zone at a time.
constexpr std::uint64_t RoundsPerOtherZone = 2;

} // namespace

void DigestRouter::setRecords(std::span<const HostRecord> records)
{
    HostTable &hosts = m_node.view().hosts();
    std::set<std::string> addresses;
    for (const HostRecord &record : records) {
        if (record.name == m_node.settings().name)
            continue;
        addresses.insert(record.peerAddress);
        // Only a record that is new to this host hints that the host runs; later, digests show it.
        if (records.size() < MinHostsForRelays || m_addresses.count(record.peerAddress) > 0)
            continue;
        HostDigest identity;
        identity.name = record.name;
        identity.zone = record.zone;
        identity.peerAddress = record.peerAddress;
        identity.linkMbps = record.linkMbps;
        hosts.addRecordedHost(identity, m_node.now());
    }
    m_recordCount = records.size();
    for (const auto &[name, peer] : hosts.peers())
        addresses.insert(peer.digest.peerAddress);
    addresses.erase(m_node.settings().peerListen);
    m_addresses = std::move(addresses);
    updateMode();
}

void DigestRouter::updateMode()
{
    HostTable &hosts = m_node.view().hosts();
    // A host that hears nobody can't tell who relays.
    if (hosts.isolated(m_node.now()) && m_anyHeard)
        return;
    const std::size_t known = std::max(hosts.peers().size() + 1, m_recordCount);
    ExchangeMode mode = ExchangeMode::Direct;
    if (known >= minHostsForRelays() && !mutated("gateway-no-relays")) {
        const HostDigest self = m_node.view().identity();
        const auto relays = hosts.relaysOf(self.zone, self, RelaysPerZone, m_node.now());
        const bool isRelay = std::any_of(relays.begin(), relays.end(),
                                         [&](const auto &it) { return it.name == self.name; });
        mode = isRelay ? ExchangeMode::Relay : ExchangeMode::Member;
    }
    if (mode == hosts.exchangeMode())
        return;
    hosts.setExchangeMode(mode);
    LogEvent("digest_exchange").field("mode", toString(mode)).field("known_hosts", known);
}

/// Hysteresis keeps the hosts of a fleet near the limit from using relays and direct digests side
/// by side.
std::size_t DigestRouter::minHostsForRelays() const
{
    const bool fleetRelays =
        relays() || (m_relayHeardAt && m_node.now() - *m_relayHeardAt < RelayMemory);
    return fleetRelays ? MinHostsToKeepRelays : MinHostsForRelays;
}

std::vector<DigestMessage> DigestRouter::messagesDue()
{
    const TimePoint now = m_node.now();
    FleetView &view = m_node.view();
    updateMode();
    const bool relaying = relays() && (mode() == ExchangeMode::Relay || !m_subscribers.empty());
    const bool changed = view.hosts().takeChanges();
    const Duration interval = relays() ? MemberInterval : view.hosts().digestInterval();
    const bool digestDue = m_sentAt + interval - now <= PollInterval / 2 || view.hasUrgentUpdate();
    const bool relayDue = relaying
        && (now - m_relayedAt >= relayInterval()
            || ((changed || view.hasUrgentUpdate()) && now - m_relayedAt >= MinRelayInterval));
    if (changed && !relayDue)
        view.hosts().noteChange();
    if (!digestDue && !relayDue)
        return {};
    view.hosts().expire(now);
    const auto expired = [now](const auto &it) { return now - it.second > SubscriptionTimeout; };
    std::erase_if(m_subscribers, expired);
    std::erase_if(m_otherRelays, expired);
    std::vector<DigestMessage> messages;
    const HostDigest digest = view.nextDigest();
    if (digestDue)
        messages.push_back(hostMessage(digest));
    if (relayDue)
        addRelayMessages(messages, digest, changed);
    return messages;
}

std::vector<DigestMessage> DigestRouter::messagesNow()
{
    const HostDigest digest = m_node.view().nextDigest();
    std::vector<DigestMessage> messages {hostMessage(digest)};
    if (mode() == ExchangeMode::Relay)
        addRelayMessages(messages, digest, true);
    return messages;
}

/// The digest, for all other hosts, or for the relays of this zone.
DigestMessage DigestRouter::hostMessage(const HostDigest &digest)
{
    m_sentAt = m_node.now();
    m_node.view().hosts().setOwnDigest(digest);
    if (!relays())
        return {{m_addresses.begin(), m_addresses.end()}, encodeDigest(digest)};
    const std::set<std::string> addresses = relayAddresses(digest.zone);
    return {{addresses.begin(), addresses.end()}, encodeDigest(digest)};
}

void DigestRouter::addRelayMessages(std::vector<DigestMessage> &messages, const HostDigest &digest,
                                    bool changed)
{
    const TimePoint now = m_node.now();
    HostTable &hosts = m_node.view().hosts();
    m_relayedAt = now;
    std::vector<std::string> rosterZones;
    if (changed || now - m_rosterSentAt >= RosterInterval) {
        m_rosterSentAt = now;
        rosterZones.push_back(digest.zone);
    }
    if (mode() == ExchangeMode::Relay) {
        const std::vector<std::uint8_t> bytes =
            encodeRelayDigest(hosts.makeRelayDigest(digest, false, rosterZones, now));
        messages.push_back({otherZonesReceivers(digest.zone), bytes});
    }
    addOtherZone(rosterZones, digest.zone);
    messages.push_back({zoneReceivers(digest.zone),
                        encodeRelayDigest(hosts.makeRelayDigest(digest, true, rosterZones, now))});
}

/// Adds the zone whose hosts are listed next.
void DigestRouter::addOtherZone(std::vector<std::string> &zones, std::string_view ownZone)
{
    if (++m_relayRound % RoundsPerOtherZone != 0)
        return;
    std::vector<std::string> others = m_node.view().hosts().zones();
    std::erase(others, ownZone);
    if (!others.empty())
        zones.push_back(others[m_relayRound / RoundsPerOtherZone % others.size()]);
}

/// The relays of the other zones, and those that have sent a digest here: hosts may differ for a
/// while on who relays for a zone.
std::vector<std::string> DigestRouter::otherZonesReceivers(std::string_view ownZone)
{
    std::set<std::string> receivers;
    for (const auto &[address, at] : m_otherRelays)
        receivers.insert(address);
    for (const std::string &zone : m_node.view().hosts().zones()) {
        if (zone != ownZone)
            receivers.merge(relayAddresses(zone));
    }
    return {receivers.begin(), receivers.end()};
}

/// The hosts that have sent their digest here. A relay also sends to hosts of its zone that it
/// knows from their records: they may not have found it.
std::vector<std::string> DigestRouter::zoneReceivers(std::string_view zone) const
{
    std::set<std::string> receivers;
    for (const auto &[address, at] : m_subscribers)
        receivers.insert(address);
    const HostTable &hosts = m_node.view().hosts();
    if (mode() == ExchangeMode::Relay) {
        for (const auto &[name, peer] : hosts.peers()) {
            if (peer.digest.zone == zone && hosts.isLive(peer, m_node.now()))
                receivers.insert(peer.digest.peerAddress);
        }
    }
    return {receivers.begin(), receivers.end()};
}

std::set<std::string> DigestRouter::relayAddresses(std::string_view zone)
{
    const TimePoint now = m_node.now();
    HostTable &hosts = m_node.view().hosts();
    const HostDigest self = m_node.view().identity();
    std::set<std::string> addresses;
    for (const HostDigest &relay : hosts.relaysOf(zone, self, RelaysPerZone, now)) {
        if (relay.name == self.name)
            continue;
        Contact &contact =
            m_contacts.try_emplace(relay.name, Contact {{}, {}, RelaySuspension}).first->second;
        if (!contact.unansweredSince)
            contact.unansweredSince = now;
        if (now - *contact.unansweredSince > RelayAnswerTimeout) {
            LogEvent::decision("relay_suspended")
                .field("host", relay.name)
                .field("zone", relay.zone)
                .field("silent_ms", (now - *contact.unansweredSince).count() / 1000);
            hosts.suspendRelay(relay.name, now + contact.suspension);
            contact.unansweredSince.reset();
            contact.suspension = std::min<Duration>(contact.suspension * 2, MaxRelaySuspension);
            continue;
        }
        addresses.insert(relay.peerAddress);
    }
    return addresses;
}

Duration DigestRouter::relayInterval() const
{
    const HostDigest self = m_node.view().identity();
    const auto first = m_node.view().hosts().relaysOf(self.zone, self, 1, m_node.now());
    Duration interval = RelayInterval;
    if (self.linkMbps > 0 && self.linkMbps < SlowLinkMbps)
        interval *= SlowLinkIntervalFactor;
    else if (first.empty() || first.front().name != self.name)
        interval *= SecondRelayIntervalFactor;
    return interval;
}

bool DigestRouter::relayHeard() const
{
    const HostDigest self = m_node.view().identity();
    const auto relays =
        m_node.view().hosts().relaysOf(self.zone, self, RelaysPerZone, m_node.now());
    return std::any_of(relays.begin(), relays.end(), [&](const HostDigest &relay) {
        const auto contact = m_contacts.find(relay.name);
        return contact != m_contacts.end()
            && m_node.now() - contact->second.heardAt < RelayAnswerTimeout;
    });
}

std::optional<HostDigest> DigestRouter::receive(const PeerDigest &digest)
{
    const TimePoint now = m_node.now();
    FleetView &view = m_node.view();
    const auto *relayed = std::get_if<RelayDigest>(&digest);
    if ((relayed ? relayed->relay : std::get<HostDigest>(digest)).name == m_node.settings().name)
        return std::nullopt;
    m_anyHeard = true;
    if (relayed) {
        m_contacts[relayed->relay.name] = {std::nullopt, now, RelaySuspension};
        if (relayed->relay.zone != m_node.settings().zone)
            m_otherRelays[relayed->relay.peerAddress] = now;
        else
            m_relayHeardAt = now;
        view.applyRelayDigest(*relayed);
        m_addresses.insert(relayed->relay.peerAddress);
        return relayed->relay;
    }
    HostDigest state = std::get<HostDigest>(digest);
    m_addresses.insert(state.peerAddress);
    if (relays()) {
        // A host of another zone that does not use relays yet; its own relays report its load.
        if (state.zone != m_node.settings().zone) {
            state.commitments.clear();
            state.backlogMs.clear();
            state.inFlight.clear();
            if (state.demand)
                state.demand->clear();
        } else {
            m_subscribers[state.peerAddress] = now;
        }
    }
    view.applyDigest(state);
    return state;
}

} // namespace dogwoodvalve
