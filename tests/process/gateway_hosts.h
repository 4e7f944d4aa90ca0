#pragma once

#include "process/fleet.h"

#include <memory>
#include <string>
#include <vector>

namespace dogwoodvalve::process {

/// Gateway hosts as real processes on loopback. Each has ten ports of its own.
class GatewayHosts
{
public:
    /// The store's address by host, so that each host may have a relay of its own before it.
    GatewayHosts(std::string folder, int firstPort, std::vector<std::string> stores);

    GatewayHosts(const GatewayHosts &) = delete;
    GatewayHosts &operator=(const GatewayHosts &) = delete;

    int count() const { return static_cast<int>(m_stores.size()); }
    /// Starts a host, anew if it has ended. More lines of YAML may follow the usual settings.
    void start(int i, const std::string &moreSettings = "");
    /// Returns the file's path. More lines of YAML may follow the usual ones.
    std::string writeSettings(int i, const std::string &more = "") const;
    ChildProcess &process(int i) { return *m_processes[static_cast<std::size_t>(i)]; }
    void endAll() { m_processes.clear(); }

    std::string front(int i) const { return at(i, 0); }
    std::string lookup(int i) const { return at(i, 1); }
    std::string readiness(int i) const { return at(i, 2); }
    std::string peer(int i) const { return at(i, 3); }
    std::string metrics(int i) const { return at(i, 4); }

private:
    std::string at(int host, int offset) const;

    std::string m_folder;
    int m_firstPort;
    std::vector<std::string> m_stores;
    std::vector<std::unique_ptr<ChildProcess>> m_processes;
};

} // namespace dogwoodvalve::process
