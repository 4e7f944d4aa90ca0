#pragma once

#include <dogwoodvalve/configuration_state.h>
#include <dogwoodvalve/world.h>

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dogwoodvalve {

/// Index of an availability zone in a compiled configuration.
using ZoneIndex = std::uint16_t;
constexpr ZoneIndex UnknownZone = 0xffff;

/// Index of a class of workspaces that the same placement rules apply to.
using PlacementClass = std::uint16_t;

/// A backend server's configuration together with its live state.
struct ConfiguredServer
{
    std::string name;
    SpecPointer<BackendServerSpec> spec;
    std::shared_ptr<BackendServer> state;
    ZoneIndex zone = UnknownZone;
};

/// Indices into Configuration::servers().
using ServerIndices = std::vector<std::uint32_t>;

/// A pipeline with, for each placement class and stage, the servers that may run it.
struct ConfiguredPipeline
{
    std::string name;
    SpecPointer<PipelineSpec> spec;
    SpecPointer<PoolSpec> pool;
    /// Indexed by placement class, then by stage.
    std::vector<std::vector<ServerIndices>> candidates;
};

/// A plain service with the servers that offer it, by placement class.
struct ConfiguredService
{
    std::string name;
    SpecPointer<ServiceSpec> spec;
    std::vector<ServerIndices> candidates;
};

/// A workspace with the placement class that its requests belong to.
struct ConfiguredWorkspace
{
    std::string name;
    SpecPointer<WorkspaceSpec> spec;
    PlacementClass placementClass = 0;
};

/// Network latency and bandwidth between two availability zones.
struct LinkCost
{
    Duration latency {};
    /// In megabytes per second.
    double bandwidth = 1000;
};

/// A configuration compiled for routing requests: selectors are evaluated and names resolved. It is
/// immutable and may be read from several threads.
class Configuration
{
public:
    /// Compiles a state. A stage with more candidates than its pool's subset keeps the servers that
    /// the given host ranks highest, so that the entry hosts spread over the whole pool.
    static std::shared_ptr<const Configuration> compile(const ConfigurationState &state,
                                                        BackendServerRegistry &registry,
                                                        std::string_view hostName);

    /// Number of log records that this configuration includes.
    LogOffset nextOffset() const { return m_nextOffset; }

    std::span<const ConfiguredServer> servers() const { return m_servers; }
    const ConfiguredPipeline *pipeline(std::string_view name) const;
    const ConfiguredService *service(std::string_view name) const;
    /// The workspace that a key belongs to, or nullptr.
    const ConfiguredWorkspace *workspaceByKey(const KeyHash &hash) const;
    const ConfiguredWorkspace *workspaceByName(std::string_view name) const;
    std::span<const ConfiguredPipeline> pipelines() const { return m_pipelines; }
    std::span<const ConfiguredWorkspace> workspaces() const { return m_workspaces; }

    ZoneIndex zoneIndex(std::string_view name) const;
    std::string_view zoneName(ZoneIndex zone) const;
    std::string_view regionOf(std::string_view zone) const;
    const LinkCost &link(ZoneIndex from, ZoneIndex to) const;

private:
    struct KeyHashHasher
    {
        std::size_t operator()(const KeyHash &hash) const;
    };

    void compileZones(const ConfigurationState &state);
    void compileLinks(const ConfigurationState &state);
    void compileServers(const ConfigurationState &state, BackendServerRegistry &registry);
    void compileWorkspaces(const ConfigurationState &state);
    void compilePipelines(const ConfigurationState &state, std::string_view hostName);
    void compileServices(const ConfigurationState &state);
    bool placementAllows(std::size_t placementClass, const Labels &labels) const;

    LogOffset m_nextOffset = 0;
    std::vector<std::string> m_zoneNames;
    std::vector<std::string> m_zoneRegions;
    /// Matrix of zones × zones in row-major order, with a last row and column for unknown zones.
    std::vector<LinkCost> m_links;
    std::vector<ConfiguredServer> m_servers;
    std::vector<ConfiguredPipeline> m_pipelines;
    std::vector<ConfiguredService> m_services;
    std::vector<ConfiguredWorkspace> m_workspaces;
    std::unordered_map<KeyHash, std::uint32_t, KeyHashHasher> m_workspaceByKey;
    std::vector<SpecPointer<PlacementSpec>> m_placements;
    /// For each placement class, the indices of the placements that apply to it.
    std::vector<std::vector<std::uint32_t>> m_placementClasses;
};

/// Finds what a valid configuration still gets wrong: selectors that match no server or no
/// workspace, and stages without a server. Each error names the object and a remedy.
std::vector<Error> findUnmatched(const Configuration &configuration,
                                 const ConfigurationState &state);

} // namespace dogwoodvalve
