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

/// A backend server as the configuration knows it, beside its live state.
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

/// A workspace as requests meet it.
struct ConfiguredWorkspace
{
    std::string name;
    SpecPointer<WorkspaceSpec> spec;
    PlacementClass placementClass = 0;
};

/// The way between two availability zones.
struct LinkCost
{
    Duration latency {};
    /// Megabytes a second.
    double bandwidth = 1000;
};

/// A configuration compiled for the path of a request: selectors are evaluated, names resolved.
/// It never changes once made and may be read from several threads.
class Configuration
{
public:
    /// Compiles a state. Pools larger than their subset are cut to the servers that this host
    /// ranks highest, so that hosts spread over a pool.
    static std::shared_ptr<const Configuration> compile(const ConfigurationState &state,
                                                        BackendServerRegistry &registry,
                                                        std::string_view hostName);

    /// Records in force.
    LogOffset nextOffset() const { return m_nextOffset; }

    std::span<const ConfiguredServer> servers() const { return m_servers; }
    const ConfiguredPipeline *pipeline(std::string_view name) const;
    const ConfiguredService *service(std::string_view name) const;
    /// The workspace that a key belongs to.
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
    /// Row by row: zones × zones, with one row and column more for unknown zones.
    std::vector<LinkCost> m_links;
    std::vector<ConfiguredServer> m_servers;
    std::vector<ConfiguredPipeline> m_pipelines;
    std::vector<ConfiguredService> m_services;
    std::vector<ConfiguredWorkspace> m_workspaces;
    std::unordered_map<KeyHash, std::uint32_t, KeyHashHasher> m_workspaceByKey;
    std::vector<SpecPointer<PlacementSpec>> m_placements;
    /// For each placement class, the placements that bind it.
    std::vector<std::vector<std::uint32_t>> m_placementClasses;
};

/// What a valid configuration still gets wrong: selectors and stages that match no server. Each
/// line names the object and the remedy.
std::vector<Error> findUnmatched(const Configuration &configuration,
                                 const ConfigurationState &state);

} // namespace dogwoodvalve
