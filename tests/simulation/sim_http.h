#pragma once

#include "net/http_server.h"
#include "net/loop_services.h"
#include "simulation/sim_network.h"

#include <memory>
#include <string>

namespace dogwoodvalve::simulation {

/// The services of a pretended event loop: the process's timers and HTTP over the pretended
/// network. Addresses are written IP:PORT.
class SimLoopServices : public LoopServices
{
public:
    SimLoopServices(SimNetwork &network, std::shared_ptr<SimProcess> process)
        : m_network(network)
        , m_process(std::move(process))
    { }

    TimerService &timers() override { return m_process->timers(); }
    std::int64_t unixMillis() const override
    {
        return m_process->timers().now().time_since_epoch().count() / 1000;
    }
    void post(std::function<void()> callback) override;
    std::shared_ptr<HttpClientRequest> createHttpClient() override;

private:
    SimNetwork &m_network;
    std::shared_ptr<SimProcess> m_process;
};

/// Lets a handler serve requests that come over the pretended network. The handler must live as
/// long as the process.
void serveHttp(SimNetwork &network, const std::string &address,
               const std::shared_ptr<SimProcess> &process, HttpHandler &handler);

} // namespace dogwoodvalve::simulation
