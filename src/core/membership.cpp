#include "core/mutation.h"

#include <dogwoodvalve/hash.h>
#include <dogwoodvalve/membership.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// Views differ briefly after each change, so a full sync is requested only after this many
/// heartbeats in a row with a different digest.
constexpr int MismatchesBeforeSync = 4;
/// A link that the overlay does not need is closed only at this age, to avoid flapping.
constexpr Duration UnwantedLinkAge = 10s;

/// Whether an update replaces what is known of a member: the higher boot wins, then the higher
/// incarnation, then the later state in the order of MemberState.
bool supersedes(const Member &update, const Member &known)
{
    if (update.boot != known.boot)
        return update.boot > known.boot;
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.state > known.state;
}

bool isLive(MemberState state)
{
    return state != MemberState::Dead;
}

std::uint64_t digestOf(const Member &member)
{
    const std::uint64_t seed = stableHash(member.name, member.boot)
        + (std::uint64_t(member.incarnation) << 8) + static_cast<std::uint64_t>(member.state);
    return stableHash(member.name, seed);
}

} // namespace

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Draining:
        return "draining";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

Membership::Membership(Member self, std::vector<std::string> seeds, MembershipOptions options,
                       TimerService &timers, PeerTransport &transport, MembershipHooks &hooks)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_options(options)
    , m_timers(timers)
    , m_transport(transport)
    , m_hooks(hooks)
{
    std::erase(m_seeds, m_self.peerAddress);
}

Membership::~Membership()
{
    m_timers.cancel(m_timer);
}

void Membership::start()
{
    for (const std::string &seed : m_seeds)
        connectTo(seed);
    m_nextOverlay = m_timers.now();
    m_nextReconnect = m_timers.now() + m_options.reconnectInterval;
    tick();
}

void Membership::tick()
{
    const TimePoint now = m_timers.now();
    refreshLinksAfterPause(now);
    sendHeartbeats();
    checkLinks();
    checkSuspicions();
    if (now >= m_nextOverlay) {
        m_nextOverlay = now + m_options.overlayInterval;
        adjustOverlay();
    }
    if (now >= m_nextReconnect) {
        m_nextReconnect = now + m_options.reconnectInterval;
        tryReconnect();
    }
    m_timer = m_timers.schedule(now + m_options.heartbeatInterval, [this] { tick(); });
}

/// Restarts the timeouts of all links if this process was paused for longer than a link timeout:
/// it received nothing meanwhile, which does not mean that the peers failed.
void Membership::refreshLinksAfterPause(TimePoint now)
{
    if (wasPaused(now)) {
        for (auto &[id, link] : m_links)
            link.lastHeard = now;
        m_resumedAt = now;
    }
    m_lastTick = now;
}

bool Membership::wasPaused(TimePoint now) const
{
    return m_lastTick != TimePoint {} && now - m_lastTick > m_options.linkTimeout;
}

bool Membership::messagesMayHaveWaited() const
{
    const TimePoint now = m_timers.now();
    const bool justResumed =
        m_resumedAt != TimePoint {} && now - m_resumedAt < m_options.heartbeatInterval;
    return (justResumed || wasPaused(now)) && !mutated("believe-old-heartbeats");
}

void Membership::sendHeartbeats()
{
    HeartbeatMessage heartbeat = m_hooks.heartbeatContent();
    heartbeat.viewDigest = viewDigest();
    for (const auto &[id, link] : m_links) {
        if (link.up)
            m_transport.send(id, heartbeat);
    }
}

void Membership::checkLinks()
{
    const TimePoint now = m_timers.now();
    std::vector<LinkId> failed;
    for (const auto &[id, link] : m_links) {
        const Duration limit = link.up ? m_options.linkTimeout : m_options.connectTimeout;
        if (now - link.lastHeard > limit)
            failed.push_back(id);
    }
    for (const LinkId id : failed) {
        m_transport.close(id);
        linkDown(id);
    }
}

void Membership::checkSuspicions()
{
    const TimePoint now = m_timers.now();
    std::vector<Member> dead;
    for (auto it = m_members.begin(); it != m_members.end();) {
        Entry &entry = it->second;
        const Duration age = now - entry.changedAt;
        const bool suspect = entry.member.state == MemberState::Suspect;
        if (suspect && age > m_options.suspicionTimeout && !mutated("never-declare-dead")) {
            entry.member.state = MemberState::Dead;
            entry.changedAt = now;
            dead.push_back(entry.member);
        } else if (entry.member.state == MemberState::Dead && age > m_options.deadRetention) {
            it = m_members.erase(it);
            continue;
        }
        ++it;
    }
    if (dead.empty())
        return;
    gossip(dead, 0);
    m_hooks.membersChanged();
}

std::vector<std::string> Membership::liveNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : m_members) {
        if (isLive(entry.member.state))
            names.push_back(name);
    }
    return names;
}

/// The peers that this host should have links to.
std::set<std::string, std::less<>> Membership::desiredPeers() const
{
    std::set<std::string, std::less<>> desired;
    std::vector<std::string> names = liveNames();
    if (names.empty())
        return desired;
    const auto successor = std::upper_bound(names.begin(), names.end(), m_self.name);
    desired.insert(successor == names.end() ? names.front() : *successor);
    std::sort(names.begin(), names.end(), [this](const std::string &a, const std::string &b) {
        return rendezvousWeight(m_self.name, a) > rendezvousWeight(m_self.name, b);
    });
    std::size_t sameZone = 0;
    std::size_t sameRegion = 0;
    std::size_t otherRegions = 0;
    for (const std::string &name : names) {
        const Member &member = m_members.find(name)->second.member;
        std::size_t &count = member.region != m_self.region ? otherRegions
            : member.zone != m_self.zone                    ? sameRegion
                                                            : sameZone;
        const std::size_t limit = member.region != m_self.region ? m_options.linksOtherRegions
            : member.zone != m_self.zone                         ? m_options.linksSameRegion
                                                                 : m_options.linksSameZone;
        if (count >= limit)
            continue;
        ++count;
        desired.insert(name);
    }
    return desired;
}

bool Membership::hasLinkTo(std::string_view name, std::string_view address) const
{
    return std::any_of(m_links.begin(), m_links.end(), [&](const auto &it) {
        return (!name.empty() && it.second.peer == name) || it.second.address == address;
    });
}

void Membership::connectTo(const std::string &address)
{
    if (address.empty() || address == m_self.peerAddress || hasLinkTo("", address))
        return;
    const TimePoint now = m_timers.now();
    const LinkId id = m_transport.connect(address);
    m_links[id] = Link {"", address, now, now, false, true, 0};
}

void Membership::adjustOverlay()
{
    const auto desired = desiredPeers();
    for (const std::string &name : desired) {
        const Member &member = m_members.find(name)->second.member;
        if (!hasLinkTo(name, member.peerAddress))
            connectTo(member.peerAddress);
    }
    std::vector<LinkId> unwanted;
    for (const auto &[id, link] : m_links) {
        const bool old = m_timers.now() - link.openedAt > UnwantedLinkAge;
        if (link.outgoing && link.up && old && desired.count(link.peer) == 0)
            unwanted.push_back(id);
    }
    for (const LinkId id : unwanted)
        closeLink(id, true);
}

/// Connects to one address at a time, in turn, of the seeds, the known addresses and the dead
/// members, leaving out those of live members. Lets a host that is alone join the fleet, and heals
/// partitions.
void Membership::tryReconnect()
{
    std::vector<std::string> addresses = m_seeds;
    addresses.insert(addresses.end(), m_knownAddresses.begin(), m_knownAddresses.end());
    for (const auto &[name, entry] : m_members) {
        if (!isLive(entry.member.state))
            addresses.push_back(entry.member.peerAddress);
    }
    std::erase_if(addresses, [this](const std::string &address) {
        return std::any_of(m_members.begin(), m_members.end(), [&](const auto &it) {
            return it.second.member.peerAddress == address && isLive(it.second.member.state);
        });
    });
    if (!addresses.empty())
        connectTo(addresses[m_reconnectCursor++ % addresses.size()]);
}

void Membership::linkUp(LinkId id, bool outgoing)
{
    if (m_left)
        return m_transport.close(id);
    Link &link = m_links[id];
    link.up = true;
    link.outgoing = outgoing;
    link.lastHeard = m_timers.now();
    link.openedAt = m_timers.now();
    m_transport.send(id, HelloMessage {m_self});
}

void Membership::linkDown(LinkId id)
{
    const auto it = m_links.find(id);
    if (it == m_links.end())
        return;
    const std::string peer = it->second.peer;
    const std::string address = it->second.address;
    m_links.erase(it);
    if (!peer.empty())
        return suspect(peer);
    // The connection failed before the peer's hello: the address tells which member to suspect.
    for (const auto &[name, entry] : m_members) {
        if (!address.empty() && entry.member.peerAddress == address)
            return suspect(name);
    }
}

void Membership::suspect(const std::string &name)
{
    const auto it = m_members.find(name);
    if (it == m_members.end() || it->second.member.state >= MemberState::Suspect)
        return;
    // Another link that received something recently shows that the peer is alive.
    const TimePoint now = m_timers.now();
    for (const auto &[id, link] : m_links) {
        if (link.peer == name && now - link.lastHeard <= 2 * m_options.heartbeatInterval)
            return;
    }
    it->second.member.state = MemberState::Suspect;
    it->second.changedAt = now;
    gossip({it->second.member}, 0);
    m_hooks.membersChanged();
}

void Membership::messageReceived(LinkId id, const PeerMessage &message)
{
    const auto it = m_links.find(id);
    if (it == m_links.end())
        return;
    it->second.lastHeard = m_timers.now();
    if (const auto *hello = std::get_if<HelloMessage>(&message))
        return onHello(id, *hello);
    if (it->second.peer.empty())
        return;
    if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message))
        return onHeartbeat(id, *heartbeat);
    if (const auto *members = std::get_if<MembersMessage>(&message))
        return onMembers(id, *members);
    if (std::holds_alternative<GoodbyeMessage>(message)) {
        m_links.erase(it);
        return m_transport.close(id);
    }
    m_hooks.configurationMessageReceived(it->second.peer, message);
}

void Membership::onHello(LinkId id, const HelloMessage &message)
{
    const std::string &name = message.self.name;
    if (name == m_self.name) {
        refuteClaim(message.self);
        return closeLink(id, true);
    }
    m_links[id].peer = name;
    m_links[id].address = message.self.peerAddress;
    const bool changed = merge(message.self);
    m_transport.send(id, MembersMessage {members(), true});
    if (!changed)
        return;
    gossip({message.self}, id);
    m_hooks.membersChanged();
}

void Membership::onHeartbeat(LinkId id, const HeartbeatMessage &message)
{
    Link &link = m_links[id];
    const std::string peer = link.peer;
    link.digestMismatches = message.viewDigest == viewDigest() ? 0 : link.digestMismatches + 1;
    if (link.digestMismatches >= MismatchesBeforeSync) {
        link.digestMismatches = 0;
        m_transport.send(id, MembersMessage {members(), true});
    }
    // An old heartbeat does not show that the configuration is still current. The next one does.
    if (!messagesMayHaveWaited())
        m_hooks.configurationMessageReceived(peer, message);
}

void Membership::onMembers(LinkId id, const MembersMessage &message)
{
    std::vector<Member> updates;
    for (const Member &member : message.members) {
        if (merge(member))
            updates.push_back(member);
    }
    if (message.wantsView)
        m_transport.send(id, MembersMessage {members(), false});
    if (updates.empty())
        return;
    gossip(updates, id);
    m_hooks.membersChanged();
}

/// Applies an update if it supersedes what is known of the member; returns whether it did. Updates
/// about this host are refuted instead.
bool Membership::merge(const Member &update)
{
    if (update.name == m_self.name) {
        refuteClaim(update);
        return false;
    }
    const auto it = m_members.find(update.name);
    if (it == m_members.end()) {
        m_members.emplace(update.name, Entry {update, m_timers.now()});
        return true;
    }
    if (!supersedes(update, it->second.member))
        return false;
    it->second = Entry {update, m_timers.now()};
    return true;
}

/// Refutes an update about this host that supersedes its own state, by a higher incarnation; if
/// another process used the name with a higher boot, by a higher boot too.
void Membership::refuteClaim(const Member &update)
{
    if (m_left || !supersedes(update, m_self))
        return;
    if (update.boot > m_self.boot) {
        m_self.boot = update.boot + 1;
        m_self.incarnation = 0;
        m_hooks.bootRaised(m_self.boot);
    } else {
        m_self.incarnation = update.incarnation;
    }
    raiseIncarnation();
}

void Membership::raiseIncarnation()
{
    ++m_self.incarnation;
    gossip({m_self}, 0);
    m_hooks.membersChanged();
}

void Membership::announceDraining()
{
    m_self.state = MemberState::Draining;
    raiseIncarnation();
}

void Membership::leave()
{
    m_self.state = MemberState::Dead;
    raiseIncarnation();
    m_left = true;
    std::vector<LinkId> all;
    for (const auto &[id, link] : m_links)
        all.push_back(id);
    for (const LinkId id : all)
        closeLink(id, true);
    m_timers.cancel(m_timer);
    m_timer = 0;
}

void Membership::closeLink(LinkId id, bool goodbye)
{
    if (goodbye)
        m_transport.send(id, GoodbyeMessage {});
    m_links.erase(id);
    m_transport.close(id);
}

void Membership::gossip(const std::vector<Member> &updates, LinkId except)
{
    for (const auto &[id, link] : m_links) {
        if (id != except && link.up && !link.peer.empty())
            m_transport.send(id, MembersMessage {updates, false});
    }
}

void Membership::broadcast(const PeerMessage &message, std::string_view except)
{
    for (const auto &[id, link] : m_links) {
        if (link.up && !link.peer.empty() && link.peer != except)
            m_transport.send(id, message);
    }
}

void Membership::sendTo(std::string_view peer, const PeerMessage &message)
{
    for (const auto &[id, link] : m_links) {
        if (link.up && link.peer == peer)
            return m_transport.send(id, message);
    }
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> list {m_self};
    for (const auto &[name, entry] : m_members)
        list.push_back(entry.member);
    return list;
}

std::size_t Membership::liveCount() const
{
    return liveNames().size() + 1;
}

const Member *Membership::find(std::string_view name) const
{
    if (name == m_self.name)
        return &m_self;
    const auto it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second.member;
}

void Membership::setKnownAddresses(std::vector<std::string> addresses)
{
    m_knownAddresses = std::move(addresses);
}

std::uint64_t Membership::viewDigest() const
{
    std::uint64_t digest = digestOf(m_self);
    for (const auto &[name, entry] : m_members) {
        // Hosts forget dead members at different times, so the digest leaves them out.
        if (isLive(entry.member.state))
            digest ^= digestOf(entry.member);
    }
    return digest;
}

std::vector<Member> rankEntryHosts(const std::vector<Member> &members, std::string_view workspace)
{
    std::vector<Member> ranked;
    for (const Member &member : members) {
        if (member.state == MemberState::Alive || member.state == MemberState::Suspect)
            ranked.push_back(member);
    }
    std::sort(ranked.begin(), ranked.end(), [&](const Member &a, const Member &b) {
        // Suspects come last: they may be dead.
        if ((a.state == MemberState::Suspect) != (b.state == MemberState::Suspect))
            return b.state == MemberState::Suspect;
        return rendezvousWeight(workspace, a.name) > rendezvousWeight(workspace, b.name);
    });
    return ranked;
}

} // namespace dogwoodvalve
