#pragma once

#include <dogwoodvalve/timer_service.h>

#include <set>
#include <string>

namespace dogwoodvalve {

class GatewayNode;

/// The trials of parts of prompts that are in doubt: a host sends one request with such a part at a
/// time, and holds the others until the trial has shown whether the part crashes servers.
///
/// Hosts take turns in the order of their ranking for the part. A turn lasts for the time in which
/// a trial that crashes its server is usually known to all.
class PromptTrials
{
public:
    explicit PromptTrials(const GatewayNode &node)
        : m_node(node)
    { }

    /// A request with a part in doubt is held for this long at most.
    static constexpr Duration MaxHold = std::chrono::milliseconds(3300);

    /// Whether a request may be the next trial of a part whose last crash was at this time.
    bool mayBegin(const std::string &part, TimePoint crashedAt) const;
    void begin(const std::string &part) { m_open.insert(part); }
    void end(const std::string &part) { m_open.erase(part); }

private:
    const GatewayNode &m_node;
    std::set<std::string> m_open;
};

} // namespace dogwoodvalve
