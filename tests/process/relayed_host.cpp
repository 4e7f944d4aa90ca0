#include "process/relayed_host.h"

#include "net/endpoint.h"
#include "process/broken_answers.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace dogwoodvalve::process {

namespace {

constexpr int Engines = 6;
constexpr int Servers = Engines + testtool::PathFleet::Services;
/// Servers are registered under the ports of the relays before them.
constexpr int RelayShift = 10;
constexpr int HostShift = 20;

} // namespace

RelayedHost::RelayedHost(const std::string &name, int firstPort,
                         const testtool::RelayAnswerer &answerer, const std::string &settings)
    : m_firstPort(firstPort)
    , m_folder(std::filesystem::temp_directory_path()
               / ("dogwoodvalve-" + name + '-' + std::to_string(::getpid())))
    , m_services(m_loop)
    , m_platform(m_loop, m_services.timers(), Engines, RelayShift)
    , m_hosts(m_folder, firstPort + HostShift, {at(0)})
{
    std::filesystem::create_directories(m_folder);
    m_platform.listen(parseEndpoint(at(0)).value()).value();
    for (int i = 1; i <= Servers; ++i) {
        m_relays.push_back(std::make_unique<testtool::Relay>(m_loop, parseEndpoint(at(i)).value()));
        m_relays.back()->listen(parseEndpoint(at(i + RelayShift)).value()).value();
        m_relays.back()->setAnswerer(answerer);
    }
    m_hosts.start(0, settings);
    m_thread = std::thread([this] { m_loop.run(); });
}

RelayedHost::~RelayedHost()
{
    m_hosts.endAll();
    m_loop.stop();
    m_thread.join();
    std::filesystem::remove_all(m_folder);
}

std::string RelayedHost::at(int offset) const
{
    return "127.0.0.1:" + std::to_string(m_firstPort + offset);
}

std::string RelayedHost::log() const
{
    std::ifstream in(m_folder + "/host-0.log");
    return {std::istreambuf_iterator<char>(in), {}};
}

void RelayedHost::awaitServed(const std::string &target, int times) const
{
    int served = 0;
    Fleet::eventually("the servers are used", [this, &target, &served, times] {
        const std::string answer = rawAnswer(front(), platformRequest("GET", target, "sound"), 0);
        served = startsWith(answer, "HTTP/1.1 200 ") ? served + 1 : 0;
        return served == times;
    });
}

std::string platformRequest(const std::string &method, const std::string &target,
                            const std::string &id)
{
    return method + ' ' + target + " HTTP/1.1\r\nHost: demo\r\nApi-Key: demo-key\r\nX-Request-Id: "
        + id + "\r\nX-Token-Usage: 100,60\r\n";
}

} // namespace dogwoodvalve::process
