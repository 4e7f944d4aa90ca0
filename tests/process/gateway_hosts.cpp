#include "process/gateway_hosts.h"

#include <fstream>

namespace dogwoodvalve::process {

namespace {

constexpr int PortsPerHost = 10;

} // namespace

GatewayHosts::GatewayHosts(std::string folder, int firstPort, std::vector<std::string> stores)
    : m_folder(std::move(folder))
    , m_firstPort(firstPort)
    , m_stores(std::move(stores))
    , m_processes(m_stores.size())
{ }

std::string GatewayHosts::at(int host, int offset) const
{
    return "127.0.0.1:" + std::to_string(m_firstPort + PortsPerHost * host + offset);
}

std::string GatewayHosts::writeSettings(int i, const std::string &more) const
{
    std::string file = m_folder + "/host-" + std::to_string(i) + ".yaml";
    std::ofstream(file) << "name: host-" << i << "\nzone: a\nlisten: " << at(i, 0)
                        << "\nlookupListen: " << at(i, 1) << "\nreadinessListen: " << at(i, 2)
                        << "\npeerListen: " << at(i, 3) << "\nmetricsListen: " << at(i, 4)
                        << "\nstore: " << m_stores[static_cast<std::size_t>(i)] << "\n"
                        << more;
    return file;
}

void GatewayHosts::start(int i, const std::string &moreSettings)
{
    auto &process = m_processes[static_cast<std::size_t>(i)];
    process.reset();
    process = std::make_unique<ChildProcess>(
        std::vector<std::string> {programs().valve, "gateway", "--settings",
                                  writeSettings(i, moreSettings)},
        m_folder + "/host-" + std::to_string(i) + ".log");
}

} // namespace dogwoodvalve::process
