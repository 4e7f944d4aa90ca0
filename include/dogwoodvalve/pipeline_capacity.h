#pragma once

#include <dogwoodvalve/configuration.h>
#include <dogwoodvalve/limits.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Reckons how many sequences of a pipeline a process may have running: for each stage what its
/// servers can keep busy, less what others have there; the smallest of the stages counts.
class PipelineCapacity : public CapacitySource
{
public:
    using ConfigurationSource = std::function<std::shared_ptr<const Configuration>()>;
    using Clock = std::function<TimePoint()>;

    PipelineCapacity(ConfigurationSource configuration, Clock clock)
        : m_configuration(std::move(configuration))
        , m_clock(std::move(clock))
    { }

    int slots(std::string_view pipeline) override;

private:
    struct Cached
    {
        int slots = 0;
        TimePoint at {};
    };

    static int reckon(const Configuration &configuration, const ConfiguredPipeline &pipeline,
                      TimePoint now);

    ConfigurationSource m_configuration;
    Clock m_clock;
    std::map<std::string, Cached, std::less<>> m_cache;
};

} // namespace dogwoodvalve
