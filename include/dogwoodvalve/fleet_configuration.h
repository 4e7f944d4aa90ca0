#pragma once

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dogwoodvalve {

/// Whether a request of a route may be sent to another server after a failure.
enum class RetryPolicy {
    /// Running it more than once is harmless.
    Idempotent,
    /// Must not be sent again once a server may have run it.
    AtMostOnce,
    /// A stream that can be resumed on another server after the last complete event.
    Resumable,
};

/// A service that receives a share of a route's requests, in proportion to its weight.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

/// Routes the requests of one host and path prefix to services, with their time and retry limits.
struct RouteRule
{
    std::string name;
    std::string host;
    /// Starts and ends with a slash.
    std::string pathPrefix;
    RetryPolicy retryPolicy = RetryPolicy::AtMostOnce;
    /// The answer is a stream of events.
    bool streamed = false;
    /// Served without an API key.
    bool allowUnauthenticated = false;
    /// Limit on the time until the answer is complete.
    Duration timeout = 30s;
    /// Latency target for the first byte of the answer, or for the first event of a stream.
    Duration firstByteTarget = 1s;
    /// Limit on the attempts of one request that may have run. Attempts that a server refused
    /// without running them do not count.
    int maxAttempts = 1;
    /// 0 is the highest priority.
    int priority = 5;
    /// Empty if they could not be read: requests of the route are refused, and are not left to a
    /// route with a shorter prefix.
    std::vector<WeightedService> services;
};

/// A type of accelerator in an engine pool.
struct AcceleratorKind
{
    std::string name;
    double memoryMb = 0;
    /// Multiplies the duration of a decoding step; larger is slower.
    double stepTimeFactor = 1;
    /// Multiplies the prefill time per prompt token; larger is slower.
    double prefillTimeFactor = 1;
};

/// The cost model of an engine pool whose servers hold layer ranges. Times are for all layers on an
/// accelerator with factor 1; a range of layers takes a proportional share.
struct EngineProfile
{
    int layers = 0;
    double layerMb = 0;
    /// KV cache size of one token, over all layers.
    double kvCacheBytesPerToken = 0;
    /// Duration of a decoding step, and what each running sequence and each 1,000 tokens of context
    /// add to it.
    double stepMs = 1;
    double stepMsPerSequence = 0;
    double stepMsPerThousandContextTokens = 0;
    /// Rate at which prompt tokens are processed.
    double prefillTokensPerMs = 100;
    /// Decoding steps that the engine runs per pass, that is, per event of the stream.
    int stepsPerPass = 1;
    /// Time to load all layers.
    Duration loadTime = 10s;
    /// Expected request size where a request does not state its own.
    double usualPromptTokens = 500;
    double usualAnswerTokens = 200;
    std::vector<AcceleratorKind> kinds;

    /// Returns nullptr if the kind is not configured.
    const AcceleratorKind *findKind(std::string_view name) const;
    /// KV cache capacity, in tokens x layers, of an accelerator that holds this many layers. 0 if
    /// the cost model has no layers or no KV cache size.
    double kvCacheCapacity(const AcceleratorKind &kind, int heldLayers) const;
};

/// A named set of backend servers.
struct ServiceRule
{
    std::string name;
    std::string healthPath;
    /// Absent for plain HTTP services.
    std::optional<EngineProfile> engine;

    /// Whether the gateway assigns layer ranges to its servers and routes requests along paths of
    /// servers that together hold all layers.
    bool isLayered() const { return engine && engine->layers > 0; }
};

/// A workspace that API keys belong to.
struct WorkspaceRule
{
    std::string name;
    /// Takes precedence over the route's priority, which orders the requests of workspaces with
    /// equal priority.
    std::optional<int> priority;
};

/// The place of a request in the order of urgency, by the priorities of its workspace and its
/// route; lower is more urgent. Without a priority of the workspace the route's stands for it.
int requestRank(int routePriority, std::optional<int> workspacePriority);
/// The priority that decides a rank first.
int priorityOf(int rank);

/// One immutable version of the operator's configuration. The cost of finding a route or a
/// workspace does not grow with the number of routes or keys.
class FleetConfiguration
{
public:
    FleetConfiguration(std::uint64_t version, std::vector<RouteRule> routes,
                       std::vector<ServiceRule> services);

    /// Adds a workspace and its API keys, and requires a key for all routes that do not allow
    /// requests without one. Empty keys are ignored. Only for use while the configuration is being
    /// built.
    void addWorkspace(WorkspaceRule workspace, std::span<const std::string> keys);
    /// Requires a key even if no workspace is added; then no key is valid. Only for use while the
    /// configuration is being built.
    void requireKeys() { m_requiresKeys = true; }

    std::uint64_t version() const { return m_version; }
    /// Whether requests need the key of a workspace, except on routes that allow requests without
    /// one. A configuration whose last workspace was removed still requires keys.
    bool requiresKeys() const { return m_requiresKeys; }
    std::size_t routeCount() const { return m_routes.size(); }
    std::span<const ServiceRule> services() const { return m_services; }

    /// The route of the host with the longest prefix of the path, or nullptr.
    const RouteRule *findRoute(std::string_view host, std::string_view path) const;
    /// Returns nullptr if there is no such service.
    const ServiceRule *findService(std::string_view name) const;
    /// The different ranks that requests to a service can have, the most urgent first.
    std::vector<int> ranks(std::string_view service) const;
    /// The workspace that an API key belongs to, or nullptr.
    const WorkspaceRule *findWorkspace(std::string_view key) const;

private:
    std::uint64_t m_version;
    bool m_requiresKeys = false;
    std::vector<RouteRule> m_routes;
    std::vector<ServiceRule> m_services;
    std::vector<std::unique_ptr<WorkspaceRule>> m_workspaces;
    /// Priorities of the routes to each service, and of the workspaces that override them.
    std::map<std::string, std::set<int>, std::less<>> m_routePriorities;
    std::set<std::optional<int>> m_workspacePriorities;
    /// Index into the routes, by host, separator and path prefix.
    std::unordered_map<std::string, std::size_t> m_routeByPrefix;
    std::unordered_map<std::string, const WorkspaceRule *> m_workspaceByKey;
};

using FleetConfigurationPointer = std::shared_ptr<const FleetConfiguration>;

/// Picks a service of a route in proportion to the weights, from a random fraction in [0, 1).
/// Returns nullptr if the route has no services.
const WeightedService *chooseService(const RouteRule &route, double fraction);

} // namespace dogwoodvalve
