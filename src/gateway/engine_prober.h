#pragma once

#include "gateway/platform_interfaces.h"

#include <map>
#include <memory>
#include <string>

namespace dogwoodvalve {

class GatewayNode;

/// Asks engines directly how they are. Each engine is asked about every second by one host, which
/// tells the others by its digest, and by any host whose streams fall silent there. So a slow
/// engine is known before streams pile up on it, and a dead one is told from one that is merely
/// busy.
class EngineProber
{
public:
    explicit EngineProber(GatewayNode &node);
    ~EngineProber();

    EngineProber(const EngineProber &) = delete;
    EngineProber &operator=(const EngineProber &) = delete;

    void start();
    /// A stream fell silent at a server, or could not reach it: asks it now.
    void probeNow(const std::string &server);

private:
    void probePeriodically();
    void probe(const ServerRegistration &server);
    bool isEngine(const ServerRegistration &server) const;

    GatewayNode &m_node;
    /// When servers were asked last.
    std::map<std::string, TimePoint> m_probedAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
