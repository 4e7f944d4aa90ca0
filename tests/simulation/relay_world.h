#pragma once

#include "gateway/peers/digest_router.h"
#include "gateway/peers/host_digest_codec.h"
#include "gateway/peers/peer_reader.h"
#include "gateway/support_api.h"
#include "log_store.h"
#include "platform/adapter.h"
#include "platform_objects.h"
#include "simulation/sim_http.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodvalve::simulation {

/// Whether the platform's store answers, and the hosts keep up with it.
enum class StoreAccess {
    None,
    Answers,
};

/// A gateway host of which only the exchange of digests runs, and the reading of the store if there
/// is one.
struct RelayHost
{
    std::shared_ptr<SimProcess> process;
    std::unique_ptr<SimLoopServices> services;
    std::unique_ptr<GatewayNode> node;
    std::unique_ptr<DigestRouter> router;
    std::unique_ptr<SupportApi> support;
    std::unique_ptr<PeerReader> reader;
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;

    HostTable &hosts() { return node->view().hosts(); }
    bool runs() const { return process->alive() && !process->frozen(); }
};

/// Hosts in several zones that exchange digests in virtual time. The first hosts of each zone have
/// fast links. Each host is given the records of the hosts.
class RelayWorld
{
public:
    static constexpr int FastHostsPerZone = 3;
    static constexpr double FastLink = 200;
    static constexpr double SlowLink = 20;
    static constexpr Duration DatagramDelay = 2ms;
    static constexpr const char *StoreAddress = "10.99.0.1:80";

    RelayWorld(int zones, int hostsPerZone, StoreAccess storeAccess = StoreAccess::None)
        : m_random(7)
        , m_network(m_clock, m_random)
        , m_storeAccess(storeAccess)
        , m_storeProcess(std::make_shared<SimProcess>(m_clock, "store", 1.0))
        , store(m_storeProcess->timers())
    {
        m_processes.push_back(m_storeProcess);
        if (storeAccess == StoreAccess::Answers) {
            serveHttp(m_network, StoreAddress, m_storeProcess, store);
            configure(1);
        }
        for (int zone = 0; zone < zones; ++zone) {
            for (int i = 0; i < hostsPerZone; ++i)
                addHost("zone-" + std::to_string(zone), i);
        }
    }

    ~RelayWorld()
    {
        for (const auto &it : m_processes)
            it->end();
    }

    RelayWorld(const RelayWorld &) = delete;
    RelayWorld &operator=(const RelayWorld &) = delete;

    /// Gives each host the records of all hosts, and starts the exchange.
    void start()
    {
        for (const auto &host : hosts) {
            host->router->setRecords(records());
            exchange(*host);
            startReading(*host);
        }
    }

    /// Writes a configuration to the store.
    void configure(int version)
    {
        const nlohmann::json configuration = {
            {"Version", version},
            {"Routes", {testtool::routeObject("site", "/read/", "safe", "web")}},
            {"Services", {{{"Name", "web"}}}},
            {"Tenants", {{{"Name", "workspace"}, {"ApiKeys", {"key"}}}}}};
        store.put("keyed.op", "config", configuration.dump());
    }

    /// The store answers nothing any more.
    void stopStore() { m_storeProcess->freeze(); }

    /// Lets no host fetch anything from another one any more; digests still pass.
    void refuseFetches()
    {
        for (const auto &host : hosts)
            m_network.stopListening(host->node->settings().peerListen);
    }

    /// Whether a host can fetch something from other hosts; digests always pass.
    void setFetching(const RelayHost &host, bool possible)
    {
        for (const auto &other : hosts) {
            if (possible)
                m_network.endRefusal(host.process->name(), other->process->name());
            else
                m_network.refuse(host.process->name(), other->process->name());
        }
    }

    std::vector<HostRecord> records() const
    {
        std::vector<HostRecord> records;
        for (const auto &host : hosts) {
            const GatewaySettings &settings = host->node->settings();
            records.push_back(
                {settings.name, settings.peerListen, settings.zone, settings.linkMbps});
        }
        return records;
    }

    void run(Duration time) { m_clock.timers().advanceTo(m_clock.now() + time); }
    TimePoint now() const { return m_clock.now(); }

    RelayHost &host(const std::string &name) { return *m_byName.at(name); }

    /// The hosts that relay for a zone, in any order.
    std::vector<RelayHost *> relaysOf(const std::string &zone)
    {
        std::vector<RelayHost *> relays;
        for (const auto &host : hosts) {
            if (host->runs() && host->node->settings().zone == zone
                && host->router->mode() == ExchangeMode::Relay)
                relays.push_back(host.get());
        }
        return relays;
    }

    void kill(RelayHost &host)
    {
        host.process->end();
        m_network.processEnded(host.process.get());
    }

    /// Kills a host's process, if it runs, and starts a new one.
    void restart(RelayHost &host) { restart(host, records()); }
    /// As above, with the records that the new process reads.
    void restart(RelayHost &host, const std::vector<HostRecord> &read)
    {
        kill(host);
        m_ended.push_back({std::move(host.services), std::move(host.node), std::move(host.router),
                           std::move(host.support), std::move(host.reader)});
        const GatewaySettings settings = m_ended.back().node->settings();
        startProcess(host, settings);
        host.router->setRecords(read);
        exchange(host);
        startReading(host);
    }

    /// Blocks the datagrams between two hosts.
    void cut(const RelayHost &a, const RelayHost &b)
    {
        m_network.cut(a.process->name(), b.process->name());
        m_network.cut(b.process->name(), a.process->name());
    }

    void healAll() { m_network.healAll(); }

    /// The load on a server that a host knows the others have placed.
    double committedByPeers(RelayHost &host, const std::string &server)
    {
        return host.hosts().committedByPeers(server, now());
    }

    /// Whether a host gives the other one to callers of that one's zone.
    bool names(RelayHost &host, const RelayHost &other)
    {
        const GatewaySettings &settings = other.node->settings();
        for (const std::string &address : chooseCallerAddresses(
                 host.node->view().identity(), host.hosts(), settings.zone, now())) {
            if (address == settings.listen)
                return true;
        }
        return false;
    }

private:
    void addHost(const std::string &zone, int i)
    {
        GatewaySettings settings;
        settings.name = zone + "-host-" + std::to_string(i);
        settings.zone = zone;
        const std::string ip = "10." + zone.substr(zone.size() - 1) + ".0." + std::to_string(i + 1);
        settings.listen = ip + ":80";
        settings.peerListen = ip + ":82";
        settings.store = StoreAddress;
        settings.linkMbps = i < FastHostsPerZone ? FastLink : SlowLink;
        hosts.push_back(std::make_unique<RelayHost>());
        startProcess(*hosts.back(), settings);
        m_byName[settings.name] = hosts.back().get();
        m_byAddress[settings.peerListen] = hosts.back().get();
    }

    void startProcess(RelayHost &host, const GatewaySettings &settings)
    {
        host.process = std::make_shared<SimProcess>(m_clock, settings.name, 1.0);
        m_processes.push_back(host.process);
        host.services = std::make_unique<SimLoopServices>(m_network, host.process);
        host.node = std::make_unique<GatewayNode>(
            *host.services, settings,
            platform::makePlatform(*host.services, settings.store, settings.serverDrain),
            ++m_starts);
        host.router = std::make_unique<DigestRouter>(*host.node);
        host.support = std::make_unique<SupportApi>(*host.node);
        host.reader = std::make_unique<PeerReader>(*host.node);
        if (m_storeAccess == StoreAccess::Answers) {
            serveHttp(m_network, settings.peerListen, host.process, *host.support);
            return;
        }
        // A ready host knows a configuration and the servers.
        host.node->view().onConfiguration(
            std::make_shared<FleetConfiguration>(1, std::vector<RouteRule> {},
                                                 std::vector<ServiceRule> {}),
            "{}");
        host.node->view().onServersUpToDate({}, now());
    }

    void startReading(RelayHost &host)
    {
        if (m_storeAccess == StoreAccess::None)
            return;
        host.reader->start();
        host.node->platform().feed->start(host.node->view());
    }

    /// Sends what is due, again and again while the process lives.
    void exchange(RelayHost &host)
    {
        for (const DigestMessage &message : host.router->messagesDue())
            send(host, message);
        host.node->timers().schedule(host.node->now() + DigestRouter::PollInterval,
                                     [this, &host, process = host.process.get()] {
                                         if (host.process.get() == process)
                                             exchange(host);
                                     });
    }

    void send(RelayHost &from, const DigestMessage &message)
    {
        for (const std::string &address : message.receivers) {
            RelayHost &to = *m_byAddress.at(address);
            ++from.datagramsSent;
            from.bytesSent += message.bytes.size();
            if (!m_network.passes(from.process->name(), to.process->name()))
                continue;
            m_clock.after(DatagramDelay, [this, &to, bytes = message.bytes] {
                if (!to.runs())
                    return;
                to.bytesReceived += bytes.size();
                const auto digest = decodeDigest(bytes);
                if (!digest)
                    return;
                const auto sender = to.router->receive(digest.value());
                if (sender && m_storeAccess == StoreAccess::Answers)
                    to.reader->onDigest(*sender);
            });
        }
    }

    /// Parts of a process that has ended; pending callbacks may still refer to them.
    struct EndedHost
    {
        std::unique_ptr<SimLoopServices> services;
        std::unique_ptr<GatewayNode> node;
        std::unique_ptr<DigestRouter> router;
        std::unique_ptr<SupportApi> support;
        std::unique_ptr<PeerReader> reader;
    };

    SimClock m_clock;
    Random m_random;
    SimNetwork m_network;
    StoreAccess m_storeAccess;
    std::int64_t m_starts = 0;
    std::vector<std::shared_ptr<SimProcess>> m_processes;
    std::map<std::string, RelayHost *> m_byName;
    std::map<std::string, RelayHost *> m_byAddress;
    std::vector<EndedHost> m_ended;
    std::shared_ptr<SimProcess> m_storeProcess;

public:
    testtool::LogStore store;
    std::vector<std::unique_ptr<RelayHost>> hosts;
};

} // namespace dogwoodvalve::simulation
