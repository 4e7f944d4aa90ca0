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

/// Identifies a link to a peer while the link exists. Ids start at 1; 0 stands for no link.
using LinkId = std::uint64_t;

/// Sends messages between entry hosts. An implementation authenticates each frame and reports its
/// events to the membership by linkUp, linkDown and messageReceived.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;

    /// Starts to connect to IP:PORT and returns the id of the link; linkUp or linkDown follows.
    virtual LinkId connect(const std::string &address) = 0;
    virtual void send(LinkId link, const PeerMessage &message) = 0;
    /// Closes a link without a linkDown event.
    virtual void close(LinkId link) = 0;
};

/// Callbacks from a membership to its owner.
class MembershipHooks
{
public:
    virtual ~MembershipHooks() = default;

    /// The view of the members has changed.
    virtual void membersChanged() = 0;
    /// A peer sent a heartbeat or a message about the configuration.
    virtual void configurationMessageReceived(std::string_view peer,
                                              const PeerMessage &message) = 0;
    /// Returns the next heartbeat with its offsets set; the membership fills in the digest.
    virtual HeartbeatMessage heartbeatContent() = 0;
    /// Another process used this host's name with a higher boot number, so this host raised its
    /// own to the given one.
    virtual void bootRaised(std::uint64_t boot) = 0;
};

/// Intervals, timeouts and numbers of links of the membership.
struct MembershipOptions
{
    Duration heartbeatInterval = 400ms;
    /// A link on which nothing was received for this long has failed.
    Duration linkTimeout = 1000ms;
    /// A suspect that has not refuted the suspicion after this time is declared dead.
    Duration suspicionTimeout = 1000ms;
    Duration connectTimeout = 1000ms;
    /// Time between adjustments of the set of links.
    Duration overlayInterval = 500ms;
    /// Time between attempts to reach seeds and dead members, which heal a partition.
    Duration reconnectInterval = 5s;
    /// How long dead members stay in the view.
    Duration deadRetention = 120s;
    /// Numbers of links by location of the peer, for those that rank highest for this host.
    std::size_t linksSameZone = 2;
    std::size_t linksSameRegion = 2;
    std::size_t linksOtherRegions = 1;
};

/// Tracks which entry hosts are alive, by heartbeats over a sparse overlay of links and by gossip.
/// Each host links to its successor in the order of names, which keeps the overlay connected, and
/// to some hosts of its zone, of its region and of other regions. A link that fails or times out
/// raises a suspicion, which is gossiped to all members. The suspect refutes it with a higher
/// incarnation or is declared dead. Only changes are gossiped, so the traffic of each host in a
/// stable fleet does not depend on the size of the fleet.
class Membership
{
public:
    Membership(Member self, std::vector<std::string> seeds, MembershipOptions options,
               TimerService &timers, PeerTransport &transport, MembershipHooks &hooks);
    ~Membership();

    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    void start();

    /// Announces to the other hosts that this host takes no new requests.
    void announceDraining();
    /// Announces to the other hosts that this host shuts down, and closes all links.
    void leave();

    /// Events that the transport reports.
    void linkUp(LinkId link, bool outgoing);
    void linkDown(LinkId link);
    void messageReceived(LinkId link, const PeerMessage &message);

    /// Sends a message to all linked peers except one, usually the peer that the message came from.
    void broadcast(const PeerMessage &message, std::string_view except);
    /// Sends a message to a peer by name; drops it if there is no link to the peer.
    void sendTo(std::string_view peer, const PeerMessage &message);

    const Member &self() const { return m_self; }
    /// All members in the view, including this host and the dead that are still remembered.
    std::vector<Member> members() const;
    /// Number of members that are alive, draining or suspected, including this host.
    std::size_t liveCount() const;
    /// The member of this name, or nullptr.
    const Member *find(std::string_view name) const;
    /// Sets further peer addresses, from the host list, that reconnection attempts include.
    void setKnownAddresses(std::vector<std::string> addresses);
    std::size_t linkCount() const { return m_links.size(); }

private:
    struct Link
    {
        /// Empty until the peer's HelloMessage arrives.
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
    /// Whether this process has just been paused for longer than a link timeout.
    bool wasPaused(TimePoint now) const;
    /// Whether messages that are read now may have been sent before or in a pause of this process.
    bool messagesMayHaveWaited() const;
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
    /// When the end of the last pause of this process was noticed.
    TimePoint m_resumedAt {};
    TimePoint m_nextOverlay {};
    TimePoint m_nextReconnect {};
    std::size_t m_reconnectCursor = 0;
    TimerId m_timer = 0;
    bool m_left = false;
};

/// Ranks the entry hosts that a workspace's callers should use, best first, by rendezvous hashing.
/// Draining and dead members are left out, suspects come last. The first few, the workspace's
/// homes, share its limits. A member that joins or leaves does not change the order of the others.
std::vector<Member> rankEntryHosts(const std::vector<Member> &members, std::string_view workspace);

} // namespace dogwoodvalve
