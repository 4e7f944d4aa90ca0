#include <dogwoodvalve/hash.h>
#include <dogwoodvalve/host_table.h>

namespace dogwoodvalve {

namespace {

/// With fewer hosts than this in the caller's zone, hosts of other zones are named too.
constexpr std::size_t LeastAddresses = 2;
constexpr std::size_t MostAddresses = 64;

bool isServing(const HostDigest &digest)
{
    return digest.ready && !digest.leaving && !digest.callerAddress.empty();
}

} // namespace

bool HostTable::take(const HostDigest &digest, TimePoint now)
{
    Peer &peer = m_peers[digest.name];
    const HostDigest &known = peer.digest;
    const bool older = digest.startedAtMs < known.startedAtMs
        || (digest.startedAtMs == known.startedAtMs && digest.sequence <= known.sequence);
    if (!known.name.empty() && older)
        return false;
    peer.digest = digest;
    peer.heardAt = now;
    return true;
}

void HostTable::expire(TimePoint now)
{
    std::erase_if(m_peers,
                  [now](const auto &entry) { return now - entry.second.heardAt > ForgetTimeout; });
}

Duration HostTable::digestInterval() const
{
    const int rounds = 1 + static_cast<int>(m_peers.size()) / PeersPerInterval;
    return LeastInterval * rounds;
}

bool HostTable::isLive(const Peer &peer, TimePoint now) const
{
    return now - peer.heardAt <= digestInterval() * MissedDigests;
}

int HostTable::liveHosts(TimePoint now) const
{
    int n = 1;
    for (const auto &[name, peer] : m_peers)
        n += isLive(peer, now) ? 1 : 0;
    return n;
}

bool HostTable::ranksFirst(std::string_view self, std::string_view task, int count,
                           TimePoint now) const
{
    const std::uint64_t own = rendezvousWeight(task, self);
    int before = 0;
    for (const auto &[name, peer] : m_peers) {
        if (isLive(peer, now) && !peer.digest.leaving && rendezvousWeight(task, name) > own)
            ++before;
    }
    return before < count;
}

double HostTable::committedElsewhere(std::string_view server, TimePoint now) const
{
    double sum = 0;
    for (const auto &[name, peer] : m_peers) {
        const auto it = peer.digest.commitments.find(std::string(server));
        if (isLive(peer, now) && it != peer.digest.commitments.end())
            sum += it->second;
    }
    return sum;
}

int HostTable::inFlightElsewhere(std::string_view server, TimePoint now) const
{
    int sum = 0;
    for (const auto &[name, peer] : m_peers) {
        const auto it = peer.digest.inFlight.find(std::string(server));
        if (isLive(peer, now) && it != peer.digest.inFlight.end())
            sum += it->second;
    }
    return sum;
}

std::vector<std::string> chooseCallerAddresses(const HostDigest &self, const HostTable &table,
                                               std::string_view zone, TimePoint now)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    const auto add = [&](const HostDigest &digest) {
        if (isServing(digest))
            (digest.zone == zone ? near : far).push_back(digest.callerAddress);
    };
    add(self);
    for (const auto &[name, peer] : table.peers()) {
        if (table.isLive(peer, now) && name != self.name)
            add(peer.digest);
    }
    if (near.size() < LeastAddresses)
        near.insert(near.end(), far.begin(), far.end());
    if (near.size() > MostAddresses)
        near.resize(MostAddresses);
    return near;
}

} // namespace dogwoodvalve
