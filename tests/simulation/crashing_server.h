#pragma once

#include "simulation/gateway_world.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodvalve::simulation {

/// A plain server that crashes while it runs one request, and starts again later.
class CrashingServer : public HttpHandler
{
public:
    static constexpr Duration RunTime = std::chrono::milliseconds(60);
    /// Time from a crash to the next start.
    static constexpr Duration Downtime = std::chrono::seconds(3);
    /// The requests that crash it.
    static constexpr const char *SafeTarget = "/read/crash";
    static constexpr const char *UnsafeTarget = "/write/crash";

    CrashingServer(GatewayWorld &world, int number)
        : m_world(world)
        , m_name("c-" + std::to_string(number))
        , m_address("10.0.4." + std::to_string(number) + ":80")
    {
        start();
    }

    void handle(const std::shared_ptr<HttpExchange> &exchange) override
    {
        const bool crashes = exchange->target() == SafeTarget || exchange->target() == UnsafeTarget;
        if (crashes)
            crashingRuns.push_back(m_world.now());
        if (crashes && answersForAnother) {
            const std::vector<HttpField> fields {{"X-Server-Stamp", m_name},
                                                 {"X-Request-Id", "of-another"}};
            exchange->respond(200, fields, "done");
        }
        if (resets)
            return exchange->abort();
        m_world.after(RunTime, [this, crashes, exchange, life = m_life] {
            if (life != m_life || !m_process->alive())
                return;
            if (crashes)
                return crash();
            const std::vector<HttpField> fields {{"X-Server-Stamp", m_name}};
            exchange->respond(200, fields, "done");
        });
    }

    void crash()
    {
        if (!m_process->alive())
            return;
        crashes.push_back(m_world.now());
        m_process->end();
        if (!goesDark)
            m_world.network().processEnded(m_process.get());
        m_world.after(Downtime, [this] { start(); });
    }

    /// Closes each connection without an answer, and goes on.
    bool resets = false;
    /// Its connections do not end when it crashes.
    bool goesDark = false;
    /// Sends the late answer to another request before it crashes.
    bool answersForAnother = false;
    std::vector<TimePoint> crashes;
    /// When the crashing request has reached the server.
    std::vector<TimePoint> crashingRuns;

private:
    void start()
    {
        ++m_life;
        m_process = m_world.process(m_name + '-' + std::to_string(m_life));
        serveHttp(m_world.network(), m_address, m_process, *this);
        json entry = testtool::plainEntry("web", m_address, false);
        entry["born"] = m_life;
        m_world.registerServer(m_name, entry);
    }

    GatewayWorld &m_world;
    std::string m_name;
    std::string m_address;
    std::shared_ptr<SimProcess> m_process;
    int m_life = 0;
};

/// Hosts, and the only servers of the plain service.
struct CrashingFleet
{
    static constexpr int Hosts = 3;
    static constexpr int Servers = 3;

    explicit CrashingFleet(int engines = 4)
        : world(Hosts, engines)
    {
        world.registerPlain("p-1", PlainAddress, true);
        for (int i = 1; i <= Servers; ++i)
            servers.push_back(std::make_unique<CrashingServer>(world, i));
        world.settle();
    }

    std::vector<TimePoint> collect(std::vector<TimePoint> CrashingServer::*times) const
    {
        std::vector<TimePoint> all;
        for (const auto &server : servers)
            all.insert(all.end(), (*server.*times).begin(), (*server.*times).end());
        std::sort(all.begin(), all.end());
        return all;
    }

    /// Number of hosts' verdicts that stop a request.
    std::size_t stopped() const
    {
        std::size_t n = 0;
        for (const auto &host : world.hosts)
            n += host->node.view().quarantine().quarantinedParts();
        return n;
    }

    GatewayWorld world;
    std::vector<std::unique_ptr<CrashingServer>> servers;
};

} // namespace dogwoodvalve::simulation
