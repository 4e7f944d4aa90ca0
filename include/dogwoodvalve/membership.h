#pragma once

#include <dogwoodvalve/peer_messages.h>
#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// Names a link to a peer for as long as the link lives.
using LinkId = std::uint64_t;

/// Carries messages between entry hosts. The transport authenticates frames and reports events
/// to the membership.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;

    /// Begins to connect; linkUp or linkDown follows later. Returns the id of the link.
    virtual LinkId connect(const std::string &address) = 0;
    virtual void send(LinkId link, const PeerMessage &message) = 0;
    /// Closes a link; no event follows.
    virtual void close(LinkId link) = 0;
};

/// What the owner of a membership learns from it.
class MembershipHooks
{
public:
    virtual ~MembershipHooks() = default;

    /// The view has changed.
    virtual void membersChanged() = 0;
    /// A message that is not about members has come from a peer.
    virtual void configurationMessageReceived(std::string_view peer,
                                              const PeerMessage &message) = 0;
    /// What this host has of the configuration, for heartbeats.
    virtual HeartbeatMessage heartbeatContent() = 0;
    /// Another process uses this host's name with a higher boot number.
    virtual void bootRaised(std::uint64_t boot) = 0;
};

/// Times and sizes of the membership.
struct MembershipOptions
{
    Duration heartbeatInterval = 400ms;
    /// A link that is silent for this long has failed.
    Duration linkTimeout = 1000ms;
    /// A suspect that does not object for this long is dead.
    Duration suspicionTimeout = 1000ms;
    Duration connectTimeout = 1000ms;
    /// Between looks at which links should exist.
    Duration overlayInterval = 500ms;
    /// Between attempts to reach seeds and dead members, which heal a partition.
    Duration reconnectInterval = 5s;
    /// How long the dead are remembered.
    Duration deadRetention = 120s;
    std::size_t linksSameZone = 2;
    std::size_t linksSameRegion = 2;
    std::size_t linksOtherRegions = 1;
};

/// Keeps the view of which entry hosts live. Each host keeps a few links: to its successor in the
/// order of names, which makes the links connect all, and to some hosts of its zone, of its region
/// and of other regions. A link that breaks or falls silent raises a suspicion, which all members
/// hear of; the suspect may refute it by a higher incarnation, else it is dead. Only changes are
/// passed on, so the cost of a quiet fleet does not depend on its size.
class Membership
{
public:
    Membership(Member self, std::vector<std::string> seeds, MembershipOptions options,
               TimerService &timers, PeerTransport &transport, MembershipHooks &hooks);
    ~Membership();

    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    void start();

    /// Tells the others that this host takes no new requests.
    void announceDraining();
    /// Tells the others that this host is about to end, and closes all links.
    void leave();

    /// Events of the transport.
    void linkUp(LinkId link, bool outgoing);
    void linkDown(LinkId link);
    void messageReceived(LinkId link, const PeerMessage &message);

    /// Passes configuration on to the linked peers, but not back to where it came from.
    void broadcast(const PeerMessage &message, std::string_view except);
    /// Sends to a linked peer by name; nothing happens without a link.
    void sendTo(std::string_view peer, const PeerMessage &message);

    const Member &self() const { return m_self; }
    /// All members that are remembered, this host included.
    std::vector<Member> members() const;
    /// Members that are alive or draining or suspected, this host included.
    std::size_t liveCount() const;
    const Member *find(std::string_view name) const;
    /// Addresses of further hosts to try, from the host list.
    void setKnownAddresses(std::vector<std::string> addresses);
    std::size_t linkCount() const { return m_links.size(); }

private:
    struct Link
    {
        /// Empty until the peer has said hello.
        std::string peer;
        std::string address;
        TimePoint lastHeard {};
        TimePoint openedAt {};
        bool up = false;
        bool outgoing = false;
        int digestMismatches = 0;
    };

    struct Entry
    {
        Member member;
        TimePoint changedAt {};
    };

    void tick();
    void refreshLinksAfterPause(TimePoint now);
    void sendHeartbeats();
    void checkLinks();
    void checkSuspicions();
    void adjustOverlay();
    void tryReconnect();
    void connectTo(const std::string &address);
    bool hasLinkTo(std::string_view name, std::string_view address) const;
    std::set<std::string, std::less<>> desiredPeers() const;
    std::vector<std::string> liveNames() const;
    void onHello(LinkId id, const HelloMessage &message);
    void onHeartbeat(LinkId id, const HeartbeatMessage &message);
    void onMembers(LinkId id, const MembersMessage &message);
    bool merge(const Member &update);
    void refuteClaim(const Member &update);
    void suspect(const std::string &name);
    void gossip(const std::vector<Member> &updates, LinkId except);
    void raiseIncarnation();
    void closeLink(LinkId id, bool goodbye);
    std::uint64_t viewDigest() const;

    Member m_self;
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_knownAddresses;
    MembershipOptions m_options;
    TimerService &m_timers;
    PeerTransport &m_transport;
    MembershipHooks &m_hooks;
    std::map<std::string, Entry, std::less<>> m_members;
    std::map<LinkId, Link> m_links;
    TimePoint m_lastTick {};
    TimePoint m_nextOverlay {};
    TimePoint m_nextReconnect {};
    std::size_t m_reconnectCursor = 0;
    TimerId m_timer = 0;
    bool m_left = false;
};

/// Ranks the live members that a workspace's callers should use, best first. The first few, its
/// homes, share its limits; the ranking changes as little as it can when members come and go.
std::vector<Member> rankEntryHosts(const std::vector<Member> &members, std::string_view workspace);

} // namespace dogwoodvalve
