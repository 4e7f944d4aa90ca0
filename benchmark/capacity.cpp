#include "codec/change_codec.h"
#include "codec/frame_authenticator.h"
#include "codec/peer_codec.h"
#include "fleet_configuration.h"

#include <dogwoodvalve/key_ledger.h>
#include <dogwoodvalve/limits.h>
#include <dogwoodvalve/membership.h>
#include <dogwoodvalve/prefix_index.h>

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <memory>

namespace dogwoodvalve::experiments {
namespace {

/// Bytes that a websocket frame, TCP and IP add to a message on the wire.
constexpr std::size_t WireOverhead = 6 + 32 + 20;
/// Virtual time of a measurement, which begins after as long a time of joining.
constexpr double MeasuredSeconds = 30;
constexpr Duration MeasuredTime = 30s;
constexpr int Regions = 3;
constexpr int Zones = 10;

double seconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

/// A fleet of memberships whose frames are sealed, opened, written and read as in the daemon.
class Overlay
{
public:
    class Node : public PeerTransport, public MembershipHooks
    {
    public:
        Node(Overlay &overlay, int index)
            : m_overlay(overlay)
            , m_index(index)
        {
            Member self;
            self.name = "entry-" + std::to_string(1000 + index);
            self.address =
                "10.0." + std::to_string(index / 250) + '.' + std::to_string(index % 250) + ":8001";
            self.peerAddress = std::to_string(index);
            self.zone = "zone-" + std::to_string(index % Zones);
            self.region = "region-" + std::to_string(index % Zones % Regions);
            self.boot = 1;
            membership =
                std::make_unique<Membership>(self, std::vector<std::string> {"0", "1", "2"},
                                             MembershipOptions {}, overlay.clock, *this, *this);
        }

        LinkId connect(const std::string &address) override
        {
            const LinkId id = ++m_overlay.lastLink;
            const int target = std::stoi(address);
            m_overlay.clock.schedule(m_overlay.clock.now() + 2ms, [this, id, target] {
                Node *peer = m_overlay.live(target);
                if (!peer)
                    return membership->linkDown(id);
                const LinkId back = ++m_overlay.lastLink;
                join(id, target, back, true);
                peer->join(back, m_index, id, false);
                const std::string opening = m_ends.at(id)->guard.openingFrame();
                const std::string answer = peer->m_ends.at(back)->guard.openingFrame();
                (void)peer->m_ends.at(back)->guard.open(opening);
                (void)m_ends.at(id)->guard.open(answer);
                membership->linkUp(id, true);
                peer->membership->linkUp(back, false);
            });
            return id;
        }

        void send(LinkId link, const PeerMessage &message) override
        {
            const auto it = m_ends.find(link);
            if (it == m_ends.end() || !m_overlay.live(m_index))
                return;
            const std::string frame = it->second->guard.seal(writePeerMessage(message));
            bytes += frame.size() + WireOverhead;
            ++messages;
            m_overlay.clock.schedule(
                m_overlay.clock.now() + 2ms,
                [this, target = it->second->target, back = it->second->back, frame] {
                    if (Node *peer = m_overlay.live(target))
                        peer->receive(back, frame);
                });
        }

        void close(LinkId link) override { m_ends.erase(link); }
        void membersChanged() override { }
        void configurationMessageReceived(std::string_view, const PeerMessage &message) override
        {
            const auto *configuration = std::get_if<ConfigurationMessage>(&message);
            if (!configuration || nextOffset > configuration->transfer.from)
                return;
            nextOffset = configuration->transfer.from + 1;
            membership->broadcast(message, "");
        }
        HeartbeatMessage heartbeatContent() override { return {nextOffset, 0, 0}; }
        void bootRaised(std::uint64_t) override { }

        std::unique_ptr<Membership> membership;
        std::uint64_t bytes = 0;
        std::uint64_t messages = 0;
        LogOffset nextOffset = 0;

    private:
        struct End
        {
            int target = 0;
            LinkId back = 0;
            FrameAuthenticator guard;
        };

        void join(LinkId id, int target, LinkId back, bool outgoing)
        {
            m_ends[id] = std::make_unique<End>(
                End {target, back, FrameAuthenticator(m_overlay.secrets, outgoing)});
        }

        void receive(LinkId link, const std::string &frame)
        {
            const auto it = m_ends.find(link);
            if (it == m_ends.end())
                return;
            const auto payload = it->second->guard.open(frame);
            if (!payload)
                return;
            const auto message = readPeerMessage(payload.value());
            if (message)
                membership->messageReceived(link, message.value());
        }

        Overlay &m_overlay;
        int m_index;
        std::map<LinkId, std::unique_ptr<End>> m_ends;
    };

    explicit Overlay(int n)
    {
        for (int i = 0; i < n; ++i)
            nodes.push_back(std::make_unique<Node>(*this, i));
        for (const auto &node : nodes)
            node->membership->start();
    }

    Node *live(int i)
    {
        return dead.count(i) == 0 ? nodes[static_cast<std::size_t>(i)].get() : nullptr;
    }

    void run(Duration duration) { clock.advanceTo(clock.now() + duration); }

    std::uint64_t totalBytes() const
    {
        std::uint64_t total = 0;
        for (const auto &node : nodes)
            total += node->bytes;
        return total;
    }

    std::uint64_t totalMessages() const
    {
        std::uint64_t total = 0;
        for (const auto &node : nodes)
            total += node->messages;
        return total;
    }

    ManualTimerService clock;
    std::vector<PeerSecret> secrets {{1, "a secret of the measurement"}};
    std::vector<std::unique_ptr<Node>> nodes;
    std::set<int> dead;
    LinkId lastLink = 0;
};

/// Virtual time until a condition holds at all live nodes, in milliseconds.
double millisUntil(Overlay &overlay, const std::function<bool(Overlay::Node &)> &holds)
{
    const TimePoint start = overlay.clock.now();
    while (overlay.clock.now() - start < 60s) {
        bool all = true;
        for (std::size_t i = 0; i < overlay.nodes.size(); ++i) {
            Overlay::Node *node = overlay.live(static_cast<int>(i));
            all = all && (!node || holds(*node));
        }
        if (all)
            break;
        overlay.run(10ms);
    }
    return static_cast<double>((overlay.clock.now() - start).count()) / 1000;
}

void members()
{
    std::printf("%6s %10s %12s %12s %12s %12s %10s %10s\n", "nodes", "links/node", "bytes/node/s",
                "msgs/node/s", "cpu/node %", "state/node", "death ms", "change ms");
    for (const int n : {9, 50, 150, 340}) {
        const std::size_t before = heapBytes();
        Overlay overlay(n);
        overlay.run(MeasuredTime);
        const std::size_t after = heapBytes();
        std::size_t links = 0;
        for (const auto &node : overlay.nodes)
            links += node->membership->linkCount();
        const std::uint64_t bytes = overlay.totalBytes();
        const std::uint64_t messages = overlay.totalMessages();
        const std::clock_t start = std::clock();
        overlay.run(MeasuredTime);
        const double cpu = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
        const double bytesPerSecond =
            static_cast<double>(overlay.totalBytes() - bytes) / (MeasuredSeconds * n);
        const double messagesPerSecond =
            static_cast<double>(overlay.totalMessages() - messages) / (MeasuredSeconds * n);
        overlay.nodes[1]->nextOffset = 1;
        overlay.nodes[1]->membership->broadcast(
            ConfigurationMessage {{"", 0, {std::string(600, 'r')}}}, "");
        const double change =
            millisUntil(overlay, [](Overlay::Node &node) { return node.nextOffset >= 1; });
        overlay.dead.insert(n / 2);
        const std::string name =
            overlay.nodes[static_cast<std::size_t>(n / 2)]->membership->self().name;
        const double death = millisUntil(overlay, [&](Overlay::Node &node) {
            return node.membership->find(name)->state == MemberState::Dead;
        });
        std::printf("%6d %10.1f %12.0f %12.1f %12.3f %12.0f %10.0f %10.0f\n", n,
                    static_cast<double>(links) / n, bytesPerSecond, messagesPerSecond,
                    100 * cpu / (MeasuredSeconds * n), static_cast<double>(after - before) / n,
                    death, change);
    }
}

void configuration()
{
    std::printf("%8s %10s %12s %12s %12s %12s\n", "servers", "workspaces", "state bytes",
                "compiled", "compile ms", "snapshot");
    for (const auto &[servers, workspaces] :
         {std::pair(30, 100), std::pair(300, 100), std::pair(2100, 100), std::pair(2100, 3100),
          std::pair(2100, 31'000)}) {
        const std::size_t before = heapBytes();
        auto state = std::make_unique<ConfigurationState>();
        {
            const Change change = makeSizedConfiguration(servers, workspaces);
            (void)state->apply(0, change);
        }
        const std::size_t stateBytes = heapBytes() - before;
        BackendServerRegistry registry;
        const auto start = std::chrono::steady_clock::now();
        const auto compiled = Configuration::compile(*state, registry, "entry-1");
        const double millis = 1000 * seconds(std::chrono::steady_clock::now() - start);
        const std::size_t compiledBytes = heapBytes() - before - stateBytes;
        std::printf("%8d %10d %12zu %12zu %12.2f %12zu\n", servers, workspaces, stateBytes,
                    compiledBytes, millis, writeSnapshot(*state).size());
    }
}

class NoCapacity : public CapacitySource
{
public:
    int slots(std::string_view) override { return 1'000'000; }
};

void requests()
{
    std::printf("%-28s %10s %14s\n", "state", "count", "bytes each");
    for (const int n : {100, 3'100, 31'000}) {
        NoCapacity capacity;
        const std::size_t before = heapBytes();
        AdmissionController controller(capacity, makeWeightedFairQueue());
        for (int i = 0; i < n; ++i) {
            AdmissionRequest request;
            request.workspace = "workspace-" + std::to_string(i);
            request.pipeline = "pipeline";
            request.limits.requestsPerSecond = 10;
            controller.submit(request, TimePoint(1s), [](const Refusal *) {});
        }
        std::printf("%-28s %10d %14.1f\n", "active workspace, 1 request", n,
                    static_cast<double>(heapBytes() - before) / n);
    }
    for (const int n : {1'000, 10'000, 100'000}) {
        const std::size_t before = heapBytes();
        KeyLedger ledger("entry-1", 7, TimePoint(), KeyLedgerOptions {});
        for (int i = 0; i < n; ++i)
            (void)ledger.admit("w",
                               {ledger.currentPrefix(TimePoint()), "suffix-" + std::to_string(i)},
                               TimePoint());
        std::printf("%-28s %10d %14.1f\n", "key at most once", n,
                    static_cast<double>(heapBytes() - before) / n);
    }
    for (const std::uint64_t n : {1'000, 10'000, 32'768}) {
        const std::size_t before = heapBytes();
        PrefixIndex index;
        for (std::uint64_t i = 0; i < n; ++i)
            index.record(std::vector<std::uint64_t> {i * 7919}, nullptr);
        std::printf("%-28s %10llu %14.1f\n", "block of a prefix",
                    static_cast<unsigned long long>(n),
                    static_cast<double>(heapBytes() - before) / static_cast<double>(n));
    }
}

int run(const std::string &name)
{
    if (name == "members")
        members();
    else if (name == "configuration")
        configuration();
    else if (name == "requests")
        requests();
    else {
        std::fprintf(stderr, "usage: capacity members|configuration|requests\n");
        return 1;
    }
    return 0;
}

} // namespace
} // namespace dogwoodvalve::experiments

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return dogwoodvalve::experiments::run(argc > 1 ? argv[1] : "");
}
