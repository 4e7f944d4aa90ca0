#include <dogwoodvalve/fleet_configuration.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

constexpr double BytesPerMb = 1e6;
/// Priorities beyond these count as the lowest.
constexpr int PriorityLevels = 100;

/// Key of the route map. Neither host names nor paths contain a line feed.
std::string prefixKey(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + 1 + prefix.size());
    key += host;
    key += '\n';
    key += prefix;
    return key;
}

} // namespace

const AcceleratorKind *EngineProfile::findKind(std::string_view name) const
{
    const auto it = std::find_if(kinds.begin(), kinds.end(),
                                 [name](const AcceleratorKind &kind) { return kind.name == name; });
    return it == kinds.end() ? nullptr : &*it;
}

double EngineProfile::kvCacheCapacity(const AcceleratorKind &kind, int heldLayers) const
{
    if (layers <= 0 || kvCacheBytesPerToken <= 0)
        return 0;
    const double freeMb = kind.memoryMb - layerMb * heldLayers;
    return std::max(0.0, freeMb * BytesPerMb / (kvCacheBytesPerToken / layers));
}

FleetConfiguration::FleetConfiguration(std::uint64_t version, std::vector<RouteRule> routes,
                                       std::vector<ServiceRule> services)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
{
    for (std::size_t i = 0; i < m_routes.size(); ++i)
        m_routeByPrefix.emplace(prefixKey(m_routes[i].host, m_routes[i].pathPrefix), i);
    for (const RouteRule &route : m_routes) {
        for (const WeightedService &it : route.services)
            m_routePriorities[it.service].insert(route.priority);
    }
}

void FleetConfiguration::addWorkspace(WorkspaceRule workspace, std::span<const std::string> keys)
{
    requireKeys();
    m_workspacePriorities.insert(workspace.priority);
    m_workspaces.push_back(std::make_unique<WorkspaceRule>(std::move(workspace)));
    for (const std::string &key : keys) {
        // A request without a key looks up the empty one.
        if (!key.empty())
            m_workspaceByKey.emplace(key, m_workspaces.back().get());
    }
}

const RouteRule *FleetConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    // Prefixes end with a slash, so only prefixes of the path that end with a slash can match. The
    // longest comes first.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto it = m_routeByPrefix.find(prefixKey(host, path.substr(0, end + 1)));
        if (it != m_routeByPrefix.end())
            return &m_routes[it->second];
    }
    return nullptr;
}

const ServiceRule *FleetConfiguration::findService(std::string_view name) const
{
    const auto it = std::find_if(m_services.begin(), m_services.end(),
                                 [name](const ServiceRule &rule) { return rule.name == name; });
    return it == m_services.end() ? nullptr : &*it;
}

std::vector<int> FleetConfiguration::ranks(std::string_view service) const
{
    const auto it = m_routePriorities.find(service);
    if (it == m_routePriorities.end())
        return {};
    std::set<std::optional<int>> workspaces = m_workspacePriorities;
    if (workspaces.empty())
        workspaces.insert(std::nullopt);
    std::set<int> ranks;
    for (const int route : it->second) {
        for (const std::optional<int> workspace : workspaces)
            ranks.insert(requestRank(route, workspace));
    }
    return {ranks.begin(), ranks.end()};
}

const WorkspaceRule *FleetConfiguration::findWorkspace(std::string_view key) const
{
    const auto it = m_workspaceByKey.find(std::string(key));
    return it == m_workspaceByKey.end() ? nullptr : it->second;
}

int requestRank(int routePriority, std::optional<int> workspacePriority)
{
    const int route = std::clamp(routePriority, 0, PriorityLevels - 1);
    const int workspace = std::clamp(workspacePriority.value_or(route), 0, PriorityLevels - 1);
    return workspace * PriorityLevels + route;
}

int priorityOf(int rank)
{
    return rank / PriorityLevels;
}

const WeightedService *chooseService(const RouteRule &route, double fraction)
{
    double total = 0;
    for (const WeightedService &it : route.services)
        total += it.weight;
    double rest = fraction * total;
    for (const WeightedService &it : route.services) {
        rest -= it.weight;
        if (rest < 0)
            return &it;
    }
    return route.services.empty() ? nullptr : &route.services.back();
}

} // namespace dogwoodvalve
