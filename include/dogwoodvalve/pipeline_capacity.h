#pragma once

#include <dogwoodvalve/configuration.h>
#include <dogwoodvalve/limits.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Computes how many sequences of a pipeline this process may run at the same time: those that it
/// runs already, plus its share of the servers' free capacity, at the stage where this is lowest.
/// Hosts divide free capacity in proportion to their current use, so that hosts which see the same
/// free capacity at the same time do not all claim it.
class PipelineCapacity : public CapacitySource
{
public:
    using ConfigurationSource = std::function<std::shared_ptr<const Configuration>()>;
    using Clock = std::function<TimePoint()>;

    /// `hosts` returns the number of live entry hosts.
    PipelineCapacity(std::string entryZone, ConfigurationSource configuration, Clock clock,
                     std::function<std::size_t()> hosts)
        : m_entryZone(std::move(entryZone))
        , m_configuration(std::move(configuration))
        , m_clock(std::move(clock))
        , m_hosts(std::move(hosts))
    { }

    /// Returns 0 for an unknown pipeline. Results are cached for a short time.
    int slots(std::string_view pipeline) override;

private:
    struct Cached
    {
        int slots = 0;
        TimePoint computedAt {};
    };

    /// Sequences at the servers of one stage: the most that they should run, those of this host,
    /// and those of the others.
    struct StageCapacity
    {
        double total = 0;
        double own = 0;
        double others = 0;

        /// Sequences that this host may run at the stage.
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
