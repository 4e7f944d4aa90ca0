#pragma once

#include <dogwoodvalve/labels.h>
#include <dogwoodvalve/result.h>
#include <dogwoodvalve/selector.h>
#include <dogwoodvalve/timer_service.h>

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dogwoodvalve {

/// SHA-256 of a caller's key. The key itself is never stored.
using KeyHash = std::array<std::uint8_t, 32>;

/// A range of layers of a model, numbered from zero, both ends included.
struct LayerRange
{
    int first = 0;
    int last = 0;

    int size() const { return last - first + 1; }
    auto operator<=>(const LayerRange &) const = default;
};

/// A part of a region whose hosts share power and network.
struct AvailabilityZoneSpec
{
    std::string region;
};

/// Network latency and bandwidth between two availability zones, the same in both directions.
struct LinkSpec
{
    std::string from;
    std::string to;
    Duration latency {};
    /// In megabytes per second.
    double bandwidth = 1000;
};

/// A host that runs a model engine or a plain service.
struct BackendServerSpec
{
    /// IP:PORT.
    std::string address;
    std::string zone;
    Labels labels;
    /// Empty for a plain service.
    std::string model;
    std::string version;
    LayerRange layers;
    std::vector<std::string> adapters;
    /// Number of sequences that the engine runs in one step.
    int batch = 16;
    /// While true, the server gets no new requests.
    bool draining = false;
};

/// A set of backend servers that pipelines run on.
struct PoolSpec
{
    Selector servers;
    /// Retry budget: retries allowed per 100 requests.
    int retryPercent = 20;
    /// Maximum number of servers of one stage that an entry host uses.
    int subset = 64;
};

/// A model whose layers are split into stages, each run by a server of the pool.
struct PipelineSpec
{
    std::string model;
    std::string version;
    std::string adapter;
    std::string pool;
    std::vector<LayerRange> stages;
    /// Upper limit on the tokens of an answer, and the default if a request names none.
    int maxTokens = 1024;
};

/// Limits of a workspace. Zero means unlimited.
struct WorkspaceLimits
{
    double requestsPerSecond = 0;
    int concurrentRequests = 0;
    double tokensPerSecond = 0;
    /// Share of a contended resource, in relation to the weights of the other workspaces.
    double weight = 1;
};

/// A group of callers that share keys, labels and limits.
struct WorkspaceSpec
{
    Labels labels;
    std::vector<KeyHash> keyHashes;
    WorkspaceLimits limits;
};

/// Requests of the workspaces that match `work` may run only on the servers that match `servers`.
/// If several placements apply to a workspace, a server must match all of them.
struct PlacementSpec
{
    Selector work;
    Selector servers;
};

/// A plain service and the servers that offer it.
struct ServiceSpec
{
    Selector servers;
    /// HTTP methods whose requests may be retried after a failure.
    std::vector<std::string> idempotentMethods {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
};

/// The kinds of configuration object.
enum class ObjectKind {
    Zone,
    Link,
    Server,
    Pool,
    Pipeline,
    Workspace,
    Placement,
    Service,
};

std::string_view toString(ObjectKind kind);
Result<ObjectKind> objectKindFromString(std::string_view text);

/// Identifies one object.
struct ObjectId
{
    ObjectKind kind = ObjectKind::Zone;
    std::string name;

    std::strong_ordering operator<=>(const ObjectId &) const = default;
    /// The kind and the name, for example pool/chat.
    std::string describe() const;
};

template <class Spec>
using SpecPointer = std::shared_ptr<const Spec>;

/// The content of one object. Specs are immutable, so all readers share them.
using ObjectSpec =
    std::variant<SpecPointer<AvailabilityZoneSpec>, SpecPointer<LinkSpec>,
                 SpecPointer<BackendServerSpec>, SpecPointer<PoolSpec>, SpecPointer<PipelineSpec>,
                 SpecPointer<WorkspaceSpec>, SpecPointer<PlacementSpec>, SpecPointer<ServiceSpec>>;

} // namespace dogwoodvalve
