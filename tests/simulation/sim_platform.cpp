#include "simulation/sim_platform.h"

namespace dogwoodvalve::simulation {

namespace {

constexpr Duration RequestTimeout = 2s;

} // namespace

template <class Value>
void SimPlatform::exchange(std::function<Result<Value>()> effect, bool mayLose,
                           std::function<void(Result<Value>)> done)
{
    const Duration half = m_core.faults().latency / 2 + m_network.latency();
    const auto timedOut = [process = m_process, done] {
        process->deliver([done] {
            done(Error {ErrorKind::Timeout, "the platform did not answer", "try again later"});
        });
    };
    SimClock &clock = m_network.clock();
    clock.after(half,
                [this, process = m_process, &clock, half, effect, mayLose, done, timedOut,
                 &network = m_network, &core = m_core, &random = m_random] {
                    (void)this;
                    if (core.faults().down || !network.passes(process->name(), PlatformNode))
                        return clock.after(RequestTimeout, timedOut);
                    const Result<Value> result = effect();
                    const bool lost = mayLose && random.chance(core.faults().loseAnswer);
                    if (lost || !network.passes(PlatformNode, process->name()))
                        return clock.after(RequestTimeout, timedOut);
                    clock.after(half, [process, done, result] {
                        process->deliver([done, result] { done(result); });
                    });
                });
}

void SimPlatform::append(std::string_view stream, std::string record,
                         std::function<void(Result<LogOffset>)> done)
{
    exchange<LogOffset>([&core = m_core, name = std::string(stream),
                         record = std::move(record)] { return core.append(name, record); },
                        true, std::move(done));
}

void SimPlatform::read(std::string_view stream, LogOffset from, std::size_t maxRecords,
                       std::function<void(Result<LogPage>)> done)
{
    exchange<LogPage>(
        [&core = m_core, name = std::string(stream), from, maxRecords]() -> Result<LogPage> {
            return core.read(name, from, maxRecords);
        },
        false, std::move(done));
}

void SimPlatform::listHosts(std::function<void(Result<std::vector<HostStatus>>)> done)
{
    exchange<std::vector<HostStatus>>(
        [&core = m_core]() -> Result<std::vector<HostStatus>> { return core.hosts(); }, false,
        std::move(done));
}

} // namespace dogwoodvalve::simulation
