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

/// SHA-256 of a caller's key. The key itself is never kept.
using KeyHash = std::array<std::uint8_t, 32>;

/// A closed range of layers of a model, counted from zero.
struct LayerRange
{
    int first = 0;
    int last = 0;

    int size() const { return last - first + 1; }
    auto operator<=>(const LayerRange &) const = default;
};

/// A place whose hosts share power and network, within a region.
struct AvailabilityZoneSpec
{
    std::string region;
};

/// The cost of the way between two availability zones, the same in both directions.
struct LinkSpec
{
    std::string from;
    std::string to;
    Duration latency {};
    /// Megabytes a second.
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
    /// Sequences that the engine runs in one step.
    int batch = 16;
    /// Takes no new work while true.
    bool draining = false;
};

/// A set of backend servers that pipelines run on.
struct PoolSpec
{
    Selector servers;
    /// Retries allowed for each hundred requests.
    int retryPercent = 20;
    /// How many servers of one stage an entry host talks to.
    int subset = 64;
};

/// A model split over stages.
struct PipelineSpec
{
    std::string model;
    std::string version;
    std::string adapter;
    std::string pool;
    std::vector<LayerRange> stages;
    int maxTokens = 1024;
};

/// What a workspace may use. Zero means without limit.
struct WorkspaceLimits
{
    double requestsPerSecond = 0;
    int concurrentRequests = 0;
    double tokensPerSecond = 0;
    /// Share of a contended resource, against the other workspaces' weights.
    double weight = 1;
};

/// A tenant: the callers that share keys, labels and limits.
struct WorkspaceSpec
{
    Labels labels;
    std::vector<KeyHash> keyHashes;
    WorkspaceLimits limits;
};

/// Work of the workspaces that match may run only on the servers that match.
struct PlacementSpec
{
    Selector work;
    Selector servers;
};

/// A plain service and the servers that offer it.
struct ServiceSpec
{
    Selector servers;
    /// Methods whose calls may be sent again after a failure.
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

/// Names one object.
struct ObjectId
{
    ObjectKind kind = ObjectKind::Zone;
    std::string name;

    std::strong_ordering operator<=>(const ObjectId &) const = default;
    /// For example pool/chat.
    std::string describe() const;
};

template <class Spec>
using SpecPointer = std::shared_ptr<const Spec>;

/// The content of one object. Specs never change once made, so that every reader shares them.
using ObjectSpec =
    std::variant<SpecPointer<AvailabilityZoneSpec>, SpecPointer<LinkSpec>,
                 SpecPointer<BackendServerSpec>, SpecPointer<PoolSpec>, SpecPointer<PipelineSpec>,
                 SpecPointer<WorkspaceSpec>, SpecPointer<PlacementSpec>, SpecPointer<ServiceSpec>>;

} // namespace dogwoodvalve
