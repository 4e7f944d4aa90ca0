#pragma once

#include <dogwoodvalve/configuration.h>
#include <dogwoodvalve/limits.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Reckons how many sequences of a pipeline a process may have running: what it has, and its share
/// of what its servers can keep busy beyond that; the smallest of the stages counts. Hosts share
/// free room in proportion to what they use already, so that those who see the same room at once
/// do not all take it.
class PipelineCapacity : public CapacitySource
{
public:
    using ConfigurationSource = std::function<std::shared_ptr<const Configuration>()>;
    using Clock = std::function<TimePoint()>;

    /// The last function tells how many entry hosts are alive.
    PipelineCapacity(std::string entryZone, ConfigurationSource configuration, Clock clock,
                     std::function<std::size_t()> hosts)
        : m_entryZone(std::move(entryZone))
        , m_configuration(std::move(configuration))
        , m_clock(std::move(clock))
        , m_hosts(std::move(hosts))
    { }

    int slots(std::string_view pipeline) override;

private:
    struct Cached
    {
        int slots = 0;
        TimePoint computedAt {};
    };

    /// Sequences at the servers of one stage.
    struct StageCapacity
    {
        double total = 0;
        double own = 0;
        double others = 0;

        double slots(std::size_t hosts) const;
    };

    StageCapacity stageCapacity(const Configuration &configuration, const ServerIndices &stage,
                                TimePoint now) const;

    std::string m_entryZone;
    ConfigurationSource m_configuration;
    Clock m_clock;
    std::function<std::size_t()> m_hosts;
    std::map<std::string, Cached, std::less<>> m_cache;
};

} // namespace dogwoodvalve
