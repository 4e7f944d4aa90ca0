#pragma once

#include "net/asio_loop_services.h"
#include "path_fleet.h"
#include "process/gateway_hosts.h"
#include "relay.h"

#include <boost/asio/executor_work_guard.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dogwoodvalve::process {

/// One gateway host as a real process, before a pretended platform in this process that has a relay
/// before each of its servers.
class RelayedHost
{
public:
    /// Takes the forty ports from `firstPort` on. The answerer is called on a thread of its own.
    RelayedHost(const std::string &name, int firstPort, const testtool::RelayAnswerer &answerer,
                const std::string &settings);
    ~RelayedHost();

    RelayedHost(const RelayedHost &) = delete;
    RelayedHost &operator=(const RelayedHost &) = delete;

    std::string front() const { return m_hosts.front(0); }
    std::string lookup() const { return m_hosts.lookup(0); }
    std::string peer() const { return m_hosts.peer(0); }
    std::string metrics() const { return m_hosts.metrics(0); }
    ChildProcess &process() { return m_hosts.process(0); }
    /// What the host has written.
    std::string log() const;

    /// Waits until this many requests for the target in a row were served.
    void awaitServed(const std::string &target, int times) const;

private:
    std::string at(int offset) const;

    int m_firstPort;
    std::string m_folder;
    boost::asio::io_context m_loop {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work {
        m_loop.get_executor()};
    AsioLoopServices m_services;
    testtool::PathFleet m_platform;
    std::vector<std::unique_ptr<testtool::Relay>> m_relays;
    GatewayHosts m_hosts;
    std::thread m_thread;
};

/// The request line and fields of a request that the pretended platform's routes take, without the
/// end of the head.
std::string platformRequest(const std::string &method, const std::string &target,
                            const std::string &id);

} // namespace dogwoodvalve::process
