#include <dogwoodvalve/membership.h>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace dogwoodvalve;

namespace {

/// Hosts with in-memory links, each with a latency of 1 ms of virtual time. Nothing reaches or
/// leaves the hosts in `unreachable`.
class MockFleet
{
public:
    class Node : public PeerTransport, public MembershipHooks
    {
    public:
        Node(MockFleet &fleet, int index, int zones)
            : m_fleet(fleet)
            , m_index(index)
        {
            Member self;
            self.name = "e" + std::to_string(1000 + index);
            self.address = "caller-" + std::to_string(index);
            self.peerAddress = std::to_string(index);
            self.zone = "z" + std::to_string(index % zones);
            self.region = "r" + std::to_string(index % zones % 3);
            self.boot = 1;
            membership =
                std::make_unique<Membership>(self, std::vector<std::string> {"0", "1"},
                                             MembershipOptions {}, fleet.clock, *this, *this);
        }

        LinkId connect(const std::string &address) override
        {
            const LinkId id = ++m_fleet.lastLink;
            const int target = std::stoi(address);
            m_fleet.clock.schedule(m_fleet.clock.now() + 1ms, [this, id, target] {
                Node *peer = m_fleet.node(target);
                if (!peer)
                    return membership->linkDown(id);
                const LinkId back = ++m_fleet.lastLink;
                m_ends[id] = {target, back};
                peer->m_ends[back] = {m_index, id};
                membership->linkUp(id, true);
                peer->membership->linkUp(back, false);
            });
            return id;
        }

        void send(LinkId link, const PeerMessage &message) override
        {
            const auto it = m_ends.find(link);
            if (it == m_ends.end() || m_fleet.unreachable.count(m_index) > 0)
                return;
            ++m_fleet.messages;
            m_fleet.clock.schedule(m_fleet.clock.now() + 1ms, [this, end = it->second, message] {
                if (Node *peer = m_fleet.node(end.first))
                    peer->membership->messageReceived(end.second, message);
            });
        }

        void close(LinkId link) override { m_ends.erase(link); }

        void membersChanged() override { }
        void configurationMessageReceived(std::string_view, const PeerMessage &) override { }
        HeartbeatMessage heartbeatContent() override { return {}; }
        void bootRaised(std::uint64_t boot) override { raisedTo = boot; }

        std::size_t alive() const
        {
            const auto members = membership->members();
            return static_cast<std::size_t>(
                std::count_if(members.begin(), members.end(), [](const Member &member) {
                    return member.state == MemberState::Alive;
                }));
        }

        std::unique_ptr<Membership> membership;
        std::uint64_t raisedTo = 0;

    private:
        MockFleet &m_fleet;
        int m_index;
        std::map<LinkId, std::pair<int, LinkId>> m_ends;
    };

    explicit MockFleet(int n, int zones = 3)
    {
        for (int i = 0; i < n; ++i)
            nodes.push_back(std::make_unique<Node>(*this, i, zones));
        for (const auto &it : nodes)
            it->membership->start();
    }

    Node *node(int i)
    {
        const auto &it = nodes[static_cast<std::size_t>(i)];
        return it && unreachable.count(i) == 0 ? it.get() : nullptr;
    }

    void run(Duration duration) { clock.advanceTo(clock.now() + duration); }

    ManualTimerService clock;
    std::vector<std::unique_ptr<Node>> nodes;
    std::set<int> unreachable;
    LinkId lastLink = 0;
    std::uint64_t messages = 0;
};

/// The timers of a process that can be paused: then its time goes on, and nothing is called.
class PausableTimers : public TimerService
{
public:
    TimePoint now() const override { return m_clock.now() + m_paused; }
    TimerId schedule(TimePoint at, std::function<void()> callback) override
    {
        return m_clock.schedule(at - m_paused, std::move(callback));
    }
    void cancel(TimerId id) override { m_clock.cancel(id); }

    void pause(Duration time) { m_paused += time; }
    void run(Duration time) { m_clock.advanceTo(m_clock.now() + time); }

private:
    ManualTimerService m_clock;
    Duration m_paused {};
};

/// Counts the messages about the configuration, and sends nothing.
class CountingPeers : public PeerTransport, public MembershipHooks
{
public:
    LinkId connect(const std::string &) override { return 1; }
    void send(LinkId, const PeerMessage &) override { }
    void close(LinkId) override { }
    void membersChanged() override { }
    void configurationMessageReceived(std::string_view, const PeerMessage &) override
    {
        ++received;
    }
    HeartbeatMessage heartbeatContent() override { return {}; }
    void bootRaised(std::uint64_t) override { }

    int received = 0;
};

} // namespace

/// Discovery, failure detection, refutation and ranking of entry hosts.
class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(allHostsDiscoverEachOther);
    CPPUNIT_TEST(anUnreachableHostIsDeadWithinThreeSeconds);
    CPPUNIT_TEST(aReconnectedHostIsAliveAgain);
    CPPUNIT_TEST(aDrainingHostIsNotRanked);
    CPPUNIT_TEST(linksAndMessagesPerHostAreBounded);
    CPPUNIT_TEST(rankingIsStableWhenAMemberLeaves);
    CPPUNIT_TEST(aHostRaisesItsBootAboveADuplicates);
    CPPUNIT_TEST(heartbeatsThatWaitedDoNotConfirmTheConfiguration);
    CPPUNIT_TEST_SUITE_END();

    static void expectAlive(MockFleet &fleet, std::size_t n)
    {
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            if (fleet.unreachable.count(static_cast<int>(i)) == 0)
                CPPUNIT_ASSERT_EQUAL(n, fleet.nodes[i]->alive());
        }
    }

    void allHostsDiscoverEachOther()
    {
        MockFleet fleet(30, 6);
        fleet.run(5s);
        expectAlive(fleet, 30);
    }

    void anUnreachableHostIsDeadWithinThreeSeconds()
    {
        MockFleet fleet(9);
        fleet.run(5s);
        fleet.unreachable.insert(4);
        fleet.run(3s);
        expectAlive(fleet, 8);
        for (const auto &it : fleet.nodes) {
            if (it != fleet.nodes[4])
                CPPUNIT_ASSERT(it->membership->find("e1004")->state == MemberState::Dead);
        }
    }

    void aReconnectedHostIsAliveAgain()
    {
        MockFleet fleet(9);
        fleet.run(5s);
        fleet.unreachable.insert(4);
        fleet.run(10s);
        fleet.unreachable.clear();
        fleet.run(15s);
        expectAlive(fleet, 9);
        CPPUNIT_ASSERT(fleet.nodes[4]->membership->self().incarnation > 0);
    }

    void aDrainingHostIsNotRanked()
    {
        MockFleet fleet(9);
        fleet.run(5s);
        fleet.nodes[3]->membership->announceDraining();
        fleet.run(100ms);
        for (const auto &it : fleet.nodes) {
            const auto ranked = rankEntryHosts(it->membership->members(), "w");
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), ranked.size());
        }
    }

    void linksAndMessagesPerHostAreBounded()
    {
        for (const int n : {50, 150}) {
            MockFleet fleet(n, 10);
            fleet.run(60s);
            expectAlive(fleet, static_cast<std::size_t>(n));
            std::size_t links = 0;
            for (const auto &it : fleet.nodes)
                links += it->membership->linkCount();
            CPPUNIT_ASSERT(links <= static_cast<std::size_t>(n) * 14);
            const std::uint64_t before = fleet.messages;
            fleet.run(30s);
            const double perNodeSecond = static_cast<double>(fleet.messages - before) / (30.0 * n);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(perNodeSecond), perNodeSecond < 50);
        }
    }

    void rankingIsStableWhenAMemberLeaves()
    {
        MockFleet fleet(9);
        fleet.run(5s);
        const auto before = rankEntryHosts(fleet.nodes[0]->membership->members(), "w");
        std::vector<Member> rest = before;
        rest.erase(rest.begin() + 4);
        const auto after = rankEntryHosts(rest, "w");
        CPPUNIT_ASSERT(after == rest);
    }

    void aHostRaisesItsBootAboveADuplicates()
    {
        MockFleet fleet(3);
        fleet.run(3s);
        Member duplicate = fleet.nodes[1]->membership->self();
        duplicate.boot = 50;
        fleet.nodes[1]->membership->messageReceived(1, HeartbeatMessage {});
        MembersMessage update {{duplicate}, false};
        fleet.nodes[0]->membership->broadcast(update, "");
        fleet.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(51), fleet.nodes[1]->raisedTo);
    }

    /// A process that wakes from a freeze reads heartbeats that were sent before or meanwhile.
    void heartbeatsThatWaitedDoNotConfirmTheConfiguration()
    {
        constexpr LinkId Link = 1;
        PausableTimers timers;
        CountingPeers peers;
        const MembershipOptions options;
        Member self;
        self.name = "a";
        Membership membership(self, {}, options, timers, peers, peers);
        timers.run(1s);
        membership.start();
        membership.linkUp(Link, false);
        Member peer;
        peer.name = "b";
        membership.messageReceived(Link, HelloMessage {peer});
        membership.messageReceived(Link, HeartbeatMessage {});
        CPPUNIT_ASSERT_EQUAL(1, peers.received);
        timers.pause(5s);
        membership.messageReceived(Link, HeartbeatMessage {});
        CPPUNIT_ASSERT_EQUAL(1, peers.received);
        timers.run(options.heartbeatInterval);
        membership.messageReceived(Link, HeartbeatMessage {});
        CPPUNIT_ASSERT_EQUAL(1, peers.received);
        timers.run(options.heartbeatInterval);
        membership.messageReceived(Link, HeartbeatMessage {});
        CPPUNIT_ASSERT_EQUAL(2, peers.received);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
