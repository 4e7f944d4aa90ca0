#include "simulation/sim_network.h"

#include <algorithm>

namespace dogwoodvalve::simulation {

namespace {

constexpr Duration ShortestLatency = 200us;
constexpr std::uint64_t LatencySpreadMicros = 1500;
/// How often a message that waits at a cut is tried again.
constexpr Duration CutRetry = 50ms;

} // namespace

void SimConnection::setHandlers(Side side, Received received, Closed closed)
{
    m_ends[side].received = std::move(received);
    m_ends[side].closed = std::move(closed);
}

void SimConnection::send(Side side, std::string message)
{
    if (!m_ends[side].open)
        return;
    pass(side, [self = shared_from_this(), to = other(side), message = std::move(message)] {
        End &end = self->m_ends[to];
        if (end.open && end.received)
            end.received(message);
    });
}

void SimConnection::close(Side side)
{
    if (!m_ends[side].open)
        return;
    m_ends[side].open = false;
    m_ends[side].received = nullptr;
    m_ends[side].closed = nullptr;
    pass(side, [self = shared_from_this(), to = other(side)] {
        End &end = self->m_ends[to];
        if (!end.open)
            return;
        end.open = false;
        const auto closed = std::move(end.closed);
        end.received = nullptr;
        end.closed = nullptr;
        if (closed)
            closed();
    });
}

void SimConnection::pass(Side from, std::function<void()> arrival)
{
    End &target = m_ends[other(from)];
    target.inbox.push_back(std::move(arrival));
    const TimePoint at =
        std::max(target.lastArrival, m_network->clock().now() + m_network->latency());
    target.lastArrival = at;
    arrive(from, at);
}

/// Each message has one arrival, which hands over the oldest one that waits.
void SimConnection::arrive(Side from, TimePoint at)
{
    m_network->clock().timers().schedule(at, [self = shared_from_this(), from] {
        End &target = self->m_ends[other(from)];
        const auto &sender = self->m_ends[from].process;
        if (!self->m_network->passes(sender->name(), target.process->name()))
            return self->arrive(from, self->m_network->clock().now() + CutRetry);
        auto oldest = std::move(target.inbox.front());
        target.inbox.pop_front();
        target.process->deliver(std::move(oldest));
    });
}

bool SimConnection::involves(const SimProcess *process) const
{
    return m_ends[Connecting].process.get() == process
        || m_ends[Accepting].process.get() == process;
}

void SimConnection::processEnded(const SimProcess *process)
{
    close(m_ends[Connecting].process.get() == process ? Connecting : Accepting);
}

void SimConnection::reset()
{
    for (End &end : m_ends) {
        const bool wasOpen = std::exchange(end.open, false);
        const Closed closed = std::exchange(end.closed, nullptr);
        end.received = nullptr;
        if (wasOpen && closed)
            end.process->deliver(closed);
    }
}

void SimNetwork::reset(const std::string &one, const std::string &other)
{
    const auto connections = m_connections;
    for (const auto &weak : connections) {
        const auto connection = weak.lock();
        if (!connection)
            continue;
        const std::string &from = connection->m_ends[SimConnection::Connecting].process->name();
        const std::string &to = connection->m_ends[SimConnection::Accepting].process->name();
        if ((from == one && to == other) || (from == other && to == one))
            connection->reset();
    }
}

SimNetwork::~SimNetwork()
{
    for (const auto &weak : m_connections) {
        const auto connection = weak.lock();
        if (!connection)
            continue;
        for (SimConnection::End &end : connection->m_ends) {
            end.received = nullptr;
            end.closed = nullptr;
            end.inbox.clear();
            // A frozen process still holds work that refers to its connections.
            end.process->end();
        }
    }
}

Duration SimNetwork::latency()
{
    return ShortestLatency
        + Duration(static_cast<std::int64_t>(m_random.below(LatencySpreadMicros)));
}

void SimNetwork::listen(const std::string &address, std::shared_ptr<SimProcess> process,
                        Accept accept)
{
    m_listeners[address] = {std::move(process), std::move(accept)};
}

void SimNetwork::connect(const std::shared_ptr<SimProcess> &process, const std::string &address,
                         Connected connected)
{
    m_clock.after(latency(), [this, process, address, connected = std::move(connected)] {
        const auto it = m_listeners.find(address);
        const bool listening = it != m_listeners.end() && it->second.process->alive();
        if (listening
            && (!passes(process->name(), it->second.process->name())
                || !passes(it->second.process->name(), process->name())))
            return;
        if (!listening || m_refusals.count({process->name(), it->second.process->name()}) > 0)
            return process->deliver([connected] { connected(nullptr); });
        auto connection = std::make_shared<SimConnection>();
        connection->m_network = this;
        connection->m_ends[SimConnection::Connecting].process = process;
        connection->m_ends[SimConnection::Accepting].process = it->second.process;
        std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
        m_connections.push_back(connection);
        // The host's network stack accepts even while the process is frozen.
        it->second.process->deliver(
            [accept = it->second.accept, connection] { accept(connection); });
        process->deliver([connected, connection] { connected(connection); });
    });
}

void SimNetwork::processEnded(const SimProcess *process)
{
    const auto connections = m_connections;
    for (const auto &weak : connections) {
        const auto connection = weak.lock();
        if (connection && connection->involves(process))
            connection->processEnded(process);
    }
}

} // namespace dogwoodvalve::simulation
