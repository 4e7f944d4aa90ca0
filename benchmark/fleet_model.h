#pragma once

#include "engine_core.h"

#include <dogwoodvalve/limits.h>
#include <dogwoodvalve/pipeline_capacity.h>
#include <dogwoodvalve/routing.h>
#include <dogwoodvalve/sequence.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodvalve::experiments {

/// Servers of one kind at one stage.
struct ServerGroup
{
    int stage = 0;
    int count = 1;
    Duration stepTime = 10ms;
    int batch = 16;
    /// One way between the entry hosts and these servers.
    Duration linkLatency = 100us;
    std::string zone = "zone-a";
};

/// A workspace's traffic.
struct Traffic
{
    std::string workspace = "w";
    double requestsPerSecond = 0;
    double weight = 1;
    int promptCharacters = 200;
    int tokens = 32;
    /// Share of requests that begin with one of the common prompts.
    double sharedPrefix = 0;
    /// When it begins and ends.
    Duration from {};
    Duration until = Duration(24h);
};

/// One experiment's fleet and traffic.
struct FleetOptions
{
    int entries = 8;
    int stages = 2;
    std::vector<ServerGroup> groups;
    std::vector<Traffic> traffic;
    /// score, or another policy's name, or oracle: the least true queue.
    std::string policy = "score";
    bool priorityQueue = false;
    Duration queueTimeout = 5s;
    Duration duration = 40s;
    /// Results count from here on.
    Duration warmUp = 15s;
    int sharedPrompts = 4;
    std::uint64_t seed = 1;
};

/// What came out, from the end of the warm-up on.
struct FleetResult
{
    int complete = 0;
    int refused = 0;
    int failed = 0;
    double tokensPerSecond = 0;
    std::vector<Duration> firstTokens;
    std::vector<Duration> gaps;
    /// How long refused requests waited for their refusal.
    std::vector<Duration> refusalWaits;
    std::map<std::string, std::vector<Duration>> totalByWorkspace;
    /// Tokens emitted in each second since the start.
    std::vector<int> tokensBySecond;
    std::vector<int> refusedBySecond;
    double cacheHitRate = 0;
    /// Steps run against steps possible, over the whole run, for each group of servers.
    std::vector<double> useByGroup;
};

/// A fleet in virtual time made of the router's own classes: routers, sequences, admission and
/// capacity on the side of the entry hosts, and the stand-in engine's batching on the other.
class FleetModel
{
public:
    explicit FleetModel(FleetOptions options);
    ~FleetModel();

    FleetModel(const FleetModel &) = delete;
    FleetModel &operator=(const FleetModel &) = delete;

    /// Lets a zone's servers die, and come back later.
    void loseZone(const std::string &zone, Duration at, Duration until);

    FleetResult run();

    /// Tokens a second that the slowest stage can make with full batches and the prefill of all
    /// prompts, for the first traffic's lengths.
    double hardwareBound() const;

private:
    class Entry;
    class Request;
    class OraclePolicy;
    friend class Request;

    /// One engine and the way to it.
    struct Server
    {
        std::string name;
        ServerGroup group;
        std::unique_ptr<testtool::EngineCore> core;
        bool up = true;
    };

    void buildServers();
    void buildConfiguration();
    void schedule(const Traffic &traffic, Random random);
    void reportLoads();
    void pumpAll();
    std::unique_ptr<RoutingPolicy> makePolicy();

    FleetOptions m_options;
    ManualTimerService m_clock;
    ConfigurationState m_state;
    std::vector<Server> m_servers;
    std::map<std::string, std::size_t> m_serverByName;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::string> m_sharedPrompts;
    FleetResult m_result;
    std::uint64_t m_nextRequest = 1;
};

} // namespace dogwoodvalve::experiments
