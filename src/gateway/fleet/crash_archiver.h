#pragma once

#include "gateway/platform_interfaces.h"

#include <map>
#include <memory>
#include <string>

namespace dogwoodvalve {

class GatewayNode;

/// Keeps the evidence against requests that crash servers in the platform's store, so that it
/// outlasts the hosts. A host reads the archive when it starts; the members of a relayed zone learn
/// from their relays. The host that ranks first for a crash writes what all hosts know of it, and
/// the next ones do if it does not; hosts tell one another in digests what the store holds. While
/// the store is away, the evidence stays in memory and is written when the store returns.
///
/// Records are removed once they are too old to count, by one host that looks for them regularly.
class CrashArchiver
{
public:
    explicit CrashArchiver(GatewayNode &node)
        : m_node(node)
    { }

    void start();

private:
    void check();
    /// Whether the other hosts deliver what the archive holds.
    bool dependsOnPeers() const;
    void read(bool cleanUp);
    void onRead(const ArchivedCrashes &archived, bool cleanUp);
    /// Determines when this host writes on each crash that is not archived.
    void scheduleWrites();
    void writeDue();
    Duration nextRetryPause();

    GatewayNode &m_node;
    /// When this host writes on a crash unless another one has done so.
    std::map<std::string, TimePoint> m_dueAt;
    TimePoint m_nextReadAt {};
    TimePoint m_nextWriteAt {};
    int m_failures = 0;
    bool m_read = false;
    bool m_callInFlight = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
