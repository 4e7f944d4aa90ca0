#pragma once

#include "simulation/sim_process.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dogwoodvalve::simulation {

/// One connection between two processes. Messages arrive whole and in order. While the way is
/// cut they wait, as TCP's do; an end that closes or dies is noticed by the other only if the
/// way is open.
class SimConnection : public std::enable_shared_from_this<SimConnection>
{
public:
    /// The end that connected, or the one that accepted.
    enum Side {
        Connecting = 0,
        Accepting = 1,
    };

    using Received = std::function<void(const std::string &)>;
    using Closed = std::function<void()>;

    void setHandlers(Side side, Received received, Closed closed);
    void send(Side side, std::string message);
    /// Ends the connection from one side, which gets no more events.
    void close(Side side);
    bool involves(const SimProcess *process) const;
    void processEnded(const SimProcess *process);
    /// Ends the connection; both ends notice at once.
    void reset();

private:
    friend class SimNetwork;

    struct End
    {
        std::shared_ptr<SimProcess> process;
        Received received;
        Closed closed;
        std::deque<std::function<void()>> inbox;
        TimePoint lastArrival {};
        bool open = true;
    };

    void pass(Side from, std::function<void()> arrival);
    void arrive(Side from, TimePoint at);
    static Side other(Side side) { return side == Connecting ? Accepting : Connecting; }

    class SimNetwork *m_network = nullptr;
    End m_ends[2];
};

/// The network between the processes of a run: latencies, and cuts in one direction or both.
class SimNetwork
{
public:
    using Accept = std::function<void(std::shared_ptr<SimConnection>)>;
    using Connected = std::function<void(std::shared_ptr<SimConnection>)>;

    SimNetwork(SimClock &clock, Random &random)
        : m_clock(clock)
        , m_random(random)
    { }

    /// Drops what connections hold, so that their ends do not keep one another alive.
    ~SimNetwork();

    SimNetwork(const SimNetwork &) = delete;
    SimNetwork &operator=(const SimNetwork &) = delete;

    void listen(const std::string &address, std::shared_ptr<SimProcess> process, Accept accept);
    void stopListening(const std::string &address) { m_listeners.erase(address); }

    /// Calls back in the connecting process with the connection, or with nothing if the address
    /// refuses. No call comes while the way is cut.
    void connect(const std::shared_ptr<SimProcess> &process, const std::string &address,
                 Connected connected);

    /// Lets nothing pass from one process to another.
    void cut(const std::string &from, const std::string &to) { m_cuts.insert({from, to}); }
    void heal(const std::string &from, const std::string &to) { m_cuts.erase({from, to}); }
    void healAll()
    {
        m_cuts.clear();
        m_refusals.clear();
    }
    /// Refuses the connections that one process makes to another. Open ones live on.
    void refuse(const std::string &from, const std::string &to) { m_refusals.insert({from, to}); }
    void endRefusal(const std::string &from, const std::string &to)
    {
        m_refusals.erase({from, to});
    }
    /// Breaks the open connections between two processes, at both ends.
    void reset(const std::string &one, const std::string &other);
    bool passes(const std::string &from, const std::string &to) const
    {
        return m_cuts.count({from, to}) == 0;
    }

    /// To be called when a process has ended: its connections break.
    void processEnded(const SimProcess *process);

    SimClock &clock() { return m_clock; }
    Duration latency();

private:
    struct Listener
    {
        std::shared_ptr<SimProcess> process;
        Accept accept;
    };

    SimClock &m_clock;
    Random &m_random;
    std::map<std::string, Listener> m_listeners;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::pair<std::string, std::string>> m_refusals;
    std::vector<std::weak_ptr<SimConnection>> m_connections;
};

} // namespace dogwoodvalve::simulation
