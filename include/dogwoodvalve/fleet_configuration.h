#pragma once

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dogwoodvalve {

/// What may be done again with a request of a route.
enum class RetryPolicy {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    AtMostOnce,
    /// A stream that may be continued on another server after its last whole event.
    Resumable,
};

/// A service that takes a share of a route's requests.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

/// Where the requests of one host and path prefix go, and what they may cost.
struct RouteRule
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RetryPolicy retryPolicy = RetryPolicy::AtMostOnce;
    bool streamed = false;
    /// Served without a caller's key.
    bool allowUnauthenticated = false;
    /// Longest time that a caller is kept waiting for the whole answer.
    Duration timeout = 30s;
    /// Time to the first byte, or the first event, that callers expect.
    Duration firstByteTarget = 1s;
    /// Servers that one request may be sent to.
    int maxAttempts = 1;
    /// 0 goes first.
    int priority = 5;
    std::vector<WeightedService> services;
};

/// One kind of accelerator among the servers of an engine pool.
struct AcceleratorKind
{
    std::string name;
    double memoryMb = 0;
    /// Factor on the times of a decoding step.
    double stepTimeFactor = 1;
    /// Factor on the time to read prompt tokens.
    double prefillTimeFactor = 1;
};

/// The cost model of an engine pool whose servers hold layer ranges. Times are for the whole model
/// on an accelerator with factor 1; a range takes its share.
struct EngineProfile
{
    int layers = 0;
    double layerMb = 0;
    /// Memory of one token of context over all layers.
    double kvCacheBytesPerToken = 0;
    double stepMs = 1;
    double stepMsPerSequence = 0;
    double stepMsPerThousandContextTokens = 0;
    double prefillTokensPerMs = 100;
    /// Decoding steps that one pass of the engine makes.
    int stepsPerPass = 1;
    /// Time to load all layers.
    Duration loadTime = 10s;
    double usualPromptTokens = 500;
    double usualAnswerTokens = 200;
    std::vector<AcceleratorKind> kinds;

    const AcceleratorKind *findKind(std::string_view name) const;
    /// Tokens x layers of context that fit beside held layers on a kind of accelerator.
    double kvCacheCapacity(const AcceleratorKind &kind, int heldLayers) const;
};

/// A named set of backend servers.
struct ServiceRule
{
    std::string name;
    std::string healthPath;
    /// Absent for plain services.
    std::optional<EngineProfile> engine;

    /// Whether its servers hold layers that are ordered, and forward along paths.
    bool isLayered() const { return engine && engine->layers > 0; }
};

/// A workspace as callers' keys name it.
struct WorkspaceRule
{
    std::string name;
    /// Goes before the route's priority.
    std::optional<int> priority;
};

/// What an operator wants, as one immutable version. Look-ups take constant time in the number of
/// keys and routes.
class FleetConfiguration
{
public:
    FleetConfiguration(std::uint64_t version, std::vector<RouteRule> routes,
                       std::vector<ServiceRule> services);

    /// Registers a workspace with its keys; for use while the configuration is built.
    void addWorkspace(WorkspaceRule workspace, std::span<const std::string> keys);

    std::uint64_t version() const { return m_version; }
    bool hasWorkspaces() const { return !m_workspaces.empty(); }
    std::size_t routeCount() const { return m_routes.size(); }
    std::span<const ServiceRule> services() const { return m_services; }

    /// The route with the longest prefix that begins the path, or nullptr.
    const RouteRule *findRoute(std::string_view host, std::string_view path) const;
    const ServiceRule *findService(std::string_view name) const;
    /// The workspace that a key belongs to, or nullptr.
    const WorkspaceRule *findWorkspace(std::string_view key) const;

private:
    std::uint64_t m_version;
    std::vector<RouteRule> m_routes;
    std::vector<ServiceRule> m_services;
    std::vector<std::unique_ptr<WorkspaceRule>> m_workspaces;
    /// Routes by host, a separator and prefix.
    std::unordered_map<std::string, std::size_t> m_routeByPrefix;
    std::unordered_map<std::string, const WorkspaceRule *> m_workspaceByKey;
};

using FleetConfigurationPointer = std::shared_ptr<const FleetConfiguration>;

/// Chooses a service of a route in proportion to the weights. The fraction lies in [0, 1).
const WeightedService *chooseService(const RouteRule &route, double fraction);

} // namespace dogwoodvalve
