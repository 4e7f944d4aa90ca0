#include <dogwoodvalve/configuration.h>
#include <dogwoodvalve/hash.h>

#include <algorithm>
#include <cstring>

namespace dogwoodvalve {

namespace {

/// Calls a function with the name and spec of each object of one kind, in order of names.
template <class Spec, class Function>
void forEachSpec(const ConfigurationState &state, ObjectKind kind, Function function)
{
    const auto &objects = state.objects();
    for (auto it = objects.lower_bound({kind, ""}); it != objects.end() && it->first.kind == kind;
         ++it)
        function(it->first.name, std::get<SpecPointer<Spec>>(it->second.spec));
}

template <class Named>
const Named *findNamed(const std::vector<Named> &list, std::string_view name)
{
    const auto it = std::lower_bound(list.begin(), list.end(), name,
                                     [](const Named &a, std::string_view b) { return a.name < b; });
    return it != list.end() && it->name == name ? &*it : nullptr;
}

bool servesStage(const BackendServerSpec &server, const PipelineSpec &pipeline,
                 const LayerRange &stage)
{
    const bool rightModel = server.model == pipeline.model && server.layers == stage
        && (pipeline.version.empty() || server.version == pipeline.version);
    if (!rightModel || pipeline.adapter.empty())
        return rightModel;
    return std::find(server.adapters.begin(), server.adapters.end(), pipeline.adapter)
        != server.adapters.end();
}

} // namespace

std::size_t Configuration::KeyHashHasher::operator()(const KeyHash &hash) const
{
    std::size_t value = 0;
    std::memcpy(&value, hash.data(), sizeof(value));
    return value;
}

std::shared_ptr<const Configuration> Configuration::compile(const ConfigurationState &state,
                                                            BackendServerRegistry &registry,
                                                            std::string_view hostName)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->m_nextOffset = state.nextOffset();
    configuration->compileZones(state);
    configuration->compileLinks(state);
    configuration->compileServers(state, registry);
    configuration->compileWorkspaces(state);
    configuration->compilePipelines(state, hostName);
    configuration->compileServices(state);
    return configuration;
}

void Configuration::compileZones(const ConfigurationState &state)
{
    forEachSpec<AvailabilityZoneSpec>(state, ObjectKind::Zone, [&](const auto &name, auto &spec) {
        m_zoneNames.push_back(name);
        m_zoneRegions.push_back(spec->region);
    });
}

void Configuration::compileLinks(const ConfigurationState &state)
{
    const std::size_t n = m_zoneNames.size() + 1;
    m_links.assign(n * n, LinkCost {});
    forEachSpec<LinkSpec>(state, ObjectKind::Link, [&](const auto &, auto &spec) {
        const std::size_t from = zoneIndex(spec->from);
        const std::size_t to = zoneIndex(spec->to);
        const LinkCost cost {spec->latency, spec->bandwidth};
        m_links[from * n + to] = cost;
        m_links[to * n + from] = cost;
    });
}

void Configuration::compileServers(const ConfigurationState &state, BackendServerRegistry &registry)
{
    forEachSpec<BackendServerSpec>(state, ObjectKind::Server, [&](const auto &name, auto &spec) {
        m_servers.push_back(
            {name, spec, registry.findOrCreate(name, spec->address), zoneIndex(spec->zone)});
    });
}

void Configuration::compileWorkspaces(const ConfigurationState &state)
{
    forEachSpec<PlacementSpec>(state, ObjectKind::Placement,
                               [&](const auto &, auto &spec) { m_placements.push_back(spec); });
    std::map<std::vector<std::uint32_t>, PlacementClass> classes;
    const auto classOf = [&](std::vector<std::uint32_t> binding) {
        const auto [it, added] = classes.emplace(std::move(binding), classes.size());
        if (added)
            m_placementClasses.push_back(it->first);
        return it->second;
    };
    // Class 0: workspaces that no placement applies to.
    classOf({});
    forEachSpec<WorkspaceSpec>(state, ObjectKind::Workspace, [&](const auto &name, auto &spec) {
        std::vector<std::uint32_t> binding;
        for (std::uint32_t i = 0; i < m_placements.size(); ++i) {
            if (m_placements[i]->work.matches(spec->labels))
                binding.push_back(i);
        }
        const auto index = static_cast<std::uint32_t>(m_workspaces.size());
        m_workspaces.push_back({name, spec, classOf(std::move(binding))});
        for (const KeyHash &hash : spec->keyHashes)
            m_workspaceByKey.emplace(hash, index);
    });
}

bool Configuration::placementAllows(std::size_t placementClass, const Labels &labels) const
{
    const auto &binding = m_placementClasses[placementClass];
    return std::all_of(binding.begin(), binding.end(),
                       [&](std::uint32_t i) { return m_placements[i]->servers.matches(labels); });
}

void Configuration::compilePipelines(const ConfigurationState &state, std::string_view hostName)
{
    const auto keepSubset = [&](ServerIndices &indices, std::size_t subset) {
        if (indices.size() <= subset)
            return;
        std::sort(indices.begin(), indices.end(), [&](std::uint32_t a, std::uint32_t b) {
            return rendezvousWeight(hostName, m_servers[a].name)
                > rendezvousWeight(hostName, m_servers[b].name);
        });
        indices.resize(subset);
        std::sort(indices.begin(), indices.end());
    };
    forEachSpec<PipelineSpec>(state, ObjectKind::Pipeline, [&](const auto &name, auto &spec) {
        const auto *pool = state.find({ObjectKind::Pool, spec->pool});
        ConfiguredPipeline pipeline {name, spec, std::get<SpecPointer<PoolSpec>>(pool->spec), {}};
        ServerIndices members;
        for (std::uint32_t i = 0; i < m_servers.size(); ++i) {
            if (pipeline.pool->servers.matches(m_servers[i].spec->labels))
                members.push_back(i);
        }
        for (std::size_t c = 0; c < m_placementClasses.size(); ++c) {
            std::vector<ServerIndices> stages(spec->stages.size());
            for (const std::uint32_t i : members) {
                const BackendServerSpec &server = *m_servers[i].spec;
                for (std::size_t s = 0; s < stages.size(); ++s) {
                    if (servesStage(server, *spec, spec->stages[s])
                        && placementAllows(c, server.labels))
                        stages[s].push_back(i);
                }
            }
            for (ServerIndices &stage : stages)
                keepSubset(stage, static_cast<std::size_t>(pipeline.pool->subset));
            pipeline.candidates.push_back(std::move(stages));
        }
        m_pipelines.push_back(std::move(pipeline));
    });
}

void Configuration::compileServices(const ConfigurationState &state)
{
    forEachSpec<ServiceSpec>(state, ObjectKind::Service, [&](const auto &name, auto &spec) {
        ConfiguredService service {name, spec, {}};
        for (std::size_t c = 0; c < m_placementClasses.size(); ++c) {
            ServerIndices indices;
            for (std::uint32_t i = 0; i < m_servers.size(); ++i) {
                const BackendServerSpec &server = *m_servers[i].spec;
                if (server.model.empty() && spec->servers.matches(server.labels)
                    && placementAllows(c, server.labels))
                    indices.push_back(i);
            }
            service.candidates.push_back(std::move(indices));
        }
        m_services.push_back(std::move(service));
    });
}

const ConfiguredPipeline *Configuration::pipeline(std::string_view name) const
{
    return findNamed(m_pipelines, name);
}

const ConfiguredService *Configuration::service(std::string_view name) const
{
    return findNamed(m_services, name);
}

const ConfiguredWorkspace *Configuration::workspaceByKey(const KeyHash &hash) const
{
    const auto it = m_workspaceByKey.find(hash);
    return it == m_workspaceByKey.end() ? nullptr : &m_workspaces[it->second];
}

const ConfiguredWorkspace *Configuration::workspaceByName(std::string_view name) const
{
    return findNamed(m_workspaces, name);
}

ZoneIndex Configuration::zoneIndex(std::string_view name) const
{
    const auto it = std::lower_bound(m_zoneNames.begin(), m_zoneNames.end(), name);
    if (it == m_zoneNames.end() || *it != name)
        return UnknownZone;
    return static_cast<ZoneIndex>(it - m_zoneNames.begin());
}

std::string_view Configuration::zoneName(ZoneIndex zone) const
{
    return zone < m_zoneNames.size() ? std::string_view(m_zoneNames[zone]) : "unknown";
}

std::string_view Configuration::regionOf(std::string_view zone) const
{
    const ZoneIndex index = zoneIndex(zone);
    return index == UnknownZone ? std::string_view() : m_zoneRegions[index];
}

const LinkCost &Configuration::link(ZoneIndex from, ZoneIndex to) const
{
    const std::size_t n = m_zoneNames.size() + 1;
    const std::size_t row = std::min<std::size_t>(from, n - 1);
    const std::size_t column = std::min<std::size_t>(to, n - 1);
    return m_links[row * n + column];
}

std::vector<Error> findUnmatched(const Configuration &configuration,
                                 const ConfigurationState &state)
{
    std::vector<Error> found;
    const auto matchesServer = [&](const Selector &selector) {
        const auto servers = configuration.servers();
        return std::any_of(servers.begin(), servers.end(), [&](const ConfiguredServer &server) {
            return selector.matches(server.spec->labels);
        });
    };
    const auto check = [&](const std::string &object, const Selector &selector) {
        if (!matchesServer(selector))
            found.push_back({ErrorKind::InvalidArgument,
                             object + ": selector '" + selector.text() + "' matches no server",
                             "correct the selector or add servers with these labels first"});
    };
    forEachSpec<PoolSpec>(state, ObjectKind::Pool, [&](const auto &name, auto &spec) {
        check("pool/" + name, spec->servers);
    });
    forEachSpec<PlacementSpec>(state, ObjectKind::Placement, [&](const auto &name, auto &spec) {
        check("placement/" + name, spec->servers);
        const auto workspaces = configuration.workspaces();
        const bool used = std::any_of(workspaces.begin(), workspaces.end(), [&](const auto &it) {
            return spec->work.matches(it.spec->labels);
        });
        if (!used)
            found.push_back({ErrorKind::InvalidArgument,
                             "placement/" + name + ": selector '" + spec->work.text()
                                 + "' matches no workspace",
                             "correct the selector or add workspaces with these labels first"});
    });
    forEachSpec<ServiceSpec>(state, ObjectKind::Service, [&](const auto &name, auto &spec) {
        check("service/" + name, spec->servers);
    });
    for (const ConfiguredPipeline &pipeline : configuration.pipelines()) {
        for (std::size_t s = 0; s < pipeline.spec->stages.size(); ++s) {
            if (!pipeline.candidates.front()[s].empty())
                continue;
            const LayerRange &range = pipeline.spec->stages[s];
            found.push_back({ErrorKind::InvalidArgument,
                             "pipeline/" + pipeline.name + ": no server of pool/"
                                 + pipeline.spec->pool + " holds layers "
                                 + std::to_string(range.first) + '-' + std::to_string(range.last)
                                 + " of model '" + pipeline.spec->model + "'",
                             "add such servers first, or correct the stages"});
        }
    }
    return found;
}

} // namespace dogwoodvalve
