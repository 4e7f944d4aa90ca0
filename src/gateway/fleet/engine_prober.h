#pragma once

#include "gateway/platform_interfaces.h"

#include <map>
#include <memory>
#include <string>

namespace dogwoodvalve {

class GatewayNode;

/// Probes engines by reading their reports. One host probes each engine about every second and
/// passes the result on in its digest; besides, any host probes an engine when one of its streams
/// stalls there. Slow engines are thereby found before streams pile up on them, and dead engines
/// can be told from busy ones. Plain servers are probed on demand only.
class EngineProber
{
public:
    explicit EngineProber(GatewayNode &node);
    ~EngineProber();

    EngineProber(const EngineProber &) = delete;
    EngineProber &operator=(const EngineProber &) = delete;

    void start();
    /// Probes a server at once, for example because a stream stalled there. Nothing is sent if it
    /// was probed a moment ago. A plain server is only asked whether it accepts a connection.
    void probeNow(const std::string &server);
    /// As probeNow, but only a probe since the given time is taken for enough.
    void probeUnlessProbedSince(const std::string &server, TimePoint since);

private:
    /// Probes the engines that fall to this host.
    void probePeriodically();
    /// Probes a server, unless it was probed after the given time.
    void probe(const ServerRegistration &server, TimePoint since);
    void readReport(const ServerRegistration &engine);
    void checkPlainServer(const ServerRegistration &server);
    /// The registration of this start of a server, or nullptr.
    const ServerRegistration *findStart(const std::string &id, std::int64_t startedAtMs) const;
    TimePoint aMomentAgo() const;
    bool isEngine(const ServerRegistration &server) const;

    GatewayNode &m_node;
    /// When servers were last probed, by id.
    std::map<std::string, TimePoint> m_probedAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
