#include "net/client_account.h"

#include <algorithm>
#include <malloc.h>

namespace dogwoodvalve {

namespace {

/// Clients get 1 of so many parts of the machine's memory, and of its connections.
constexpr std::size_t ClientParts = 2;
/// Descriptors that are left to files and the process's own connections, and at most which part.
constexpr std::size_t OwnDescriptors = 200;
constexpr std::size_t OwnDescriptorParts = 4;
/// Large clients leave 1 of so many parts of the bytes to small ones, and those of other ports 1 of
/// so many connections to internal ports.
constexpr std::size_t SmallClientParts = 4;
constexpr std::size_t InternalParts = 8;
/// Less freed memory than this stays with the allocator.
constexpr std::size_t MinTrimBytes = 4U << 20;
/// Blocks from this size on are mapped one by one. Without a fixed size the allocator raises it to
/// that of the largest freed block, and keeps all smaller ones.
constexpr int MappedBlockBytes = 256 * 1024;

} // namespace

ClientLimits clientLimits(const MachineSize &machine)
{
    const std::size_t own = std::min(OwnDescriptors, machine.descriptors / OwnDescriptorParts);
    return {machine.memoryBytes / ClientParts, (machine.descriptors - own) / ClientParts};
}

void returnLargeBlocksAtOnce()
{
    ::mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
}

std::string_view toString(ClientActivity activity)
{
    switch (activity) {
    case ClientActivity::Idle:
        return "idle";
    case ClientActivity::Uploading:
        return "uploading";
    case ClientActivity::Waiting:
        return "waiting";
    case ClientActivity::Downloading:
        return "downloading";
    }
    return "";
}

std::string_view toString(Shortage shortage)
{
    return shortage == Shortage::Bytes ? "memory" : "connections";
}

Error noRoomForRequest()
{
    return {ErrorKind::Overloaded, "this host has no memory for the request",
            "send it again later"};
}

ClientAccount::ClientAccount(const ClientLimits &limits)
    : m_limits(limits)
{ }

void ClientAccount::trimFreedMemory()
{
    const std::size_t peak = m_peakBytes.load(std::memory_order_relaxed);
    const std::size_t now = bytes();
    if (peak < now + MinTrimBytes || now > peak / 2)
        return;
    m_peakBytes.store(now, std::memory_order_relaxed);
    ::malloc_trim(0);
}

template <class Rank>
bool ClientAccount::reclaimLargest(Shortage shortage, Rank rank)
{
    ClientHolding *victim = nullptr;
    decltype(rank(*victim)) largest;
    for (ClientHolding *it : m_clients) {
        if (it->m_reclaimed || it->m_activity == ClientActivity::Waiting)
            continue;
        const auto value = rank(*it);
        if (value && (!victim || *value > *largest)) {
            victim = it;
            largest = value;
        }
    }
    if (!victim)
        return false;
    victim->m_reclaimed = shortage;
    m_bytesReclaimed += victim->m_bytes;
    // A connection that gives back bytes stays open until its client has read why.
    if (shortage == Shortage::Connections)
        ++m_connectionsReclaimed;
    victim->m_client.requestReclaim(shortage);
    return true;
}

bool ClientAccount::makeConnectionRoom(std::size_t limit, TimePoint now)
{
    const auto rank = [now](const ClientHolding &it) {
        const bool idle = it.m_activity == ClientActivity::Idle;
        const Duration age = now - it.m_since;
        return idle || age >= MinReclaimAge ? std::optional(std::pair(idle, age)) : std::nullopt;
    };
    while (m_connections - m_connectionsReclaimed >= limit) {
        if (!reclaimLargest(Shortage::Connections, rank))
            return false;
    }
    return true;
}

bool ClientAccount::makeByteRoom(const ClientHolding &client, std::size_t more, TimePoint now)
{
    const bool small = client.m_bytes + more <= SmallClientBytes;
    const std::size_t limit = m_limits.bytes - (small ? 0 : m_limits.bytes / SmallClientParts);
    const auto rank = [&client, small, now](const ClientHolding &it) {
        const Duration age = now - it.m_since;
        const bool large = it.m_bytes > SmallClientBytes;
        const bool stalled = age >= MinReclaimAge;
        const bool eligible = small ? large || stalled : large && stalled;
        const double weight = static_cast<double>(it.m_bytes) * static_cast<double>(age / 1us);
        return eligible && &it != &client ? std::optional(weight) : std::nullopt;
    };
    while (m_bytes - m_bytesReclaimed + more > limit) {
        if (!reclaimLargest(Shortage::Bytes, rank))
            return false;
    }
    return true;
}

ClientHolding::ClientHolding(std::shared_ptr<ClientAccount> account, AccountedClient &client)
    : m_account(std::move(account))
    , m_client(client)
{ }

ClientHolding::~ClientHolding()
{
    close();
}

bool ClientHolding::open(bool internal, TimePoint now)
{
    const ClientAccount::Lock lock(m_account->m_mutex);
    const std::size_t all = m_account->m_limits.connections;
    if (!m_account->makeConnectionRoom(internal ? all : all - all / InternalParts, now))
        return false;
    m_open = true;
    m_since = now;
    m_account->m_clients.insert(this);
    ++m_account->m_connections;
    return true;
}

void ClientHolding::close()
{
    if (!m_open)
        return;
    const ClientAccount::Lock lock(m_account->m_mutex);
    m_open = false;
    setBytes(0);
    if (m_reclaimed == Shortage::Connections)
        --m_account->m_connectionsReclaimed;
    --m_account->m_connections;
    m_account->m_clients.erase(this);
}

/// Needs the account's lock.
void ClientHolding::setBytes(std::size_t bytes)
{
    // Unsigned arithmetic wraps, so these also subtract.
    const std::size_t more = bytes - m_bytes;
    if (m_reclaimed)
        m_account->m_bytesReclaimed += more;
    m_account->m_bytes += more;
    m_bytes = bytes;
    if (m_account->m_bytes > m_account->m_peakBytes)
        m_account->m_peakBytes = m_account->m_bytes.load();
}

bool ClientHolding::tryHold(std::size_t bytes, TimePoint now)
{
    const ClientAccount::Lock lock(m_account->m_mutex);
    if (bytes > m_bytes
        && (!m_open || m_reclaimed || !m_account->makeByteRoom(*this, bytes - m_bytes, now)))
        return false;
    setBytes(m_open ? bytes : 0);
    return true;
}

void ClientHolding::hold(std::size_t bytes, TimePoint now)
{
    const ClientAccount::Lock lock(m_account->m_mutex);
    if (bytes > m_bytes && !m_reclaimed)
        m_account->makeByteRoom(*this, bytes - m_bytes, now);
    setBytes(m_open ? bytes : 0);
}

void ClientHolding::setActivity(ClientActivity activity, TimePoint now)
{
    if (m_activity == activity)
        return;
    const ClientAccount::Lock lock(m_account->m_mutex);
    m_activity = activity;
    m_since = now;
}

void ClientHolding::withdrawReclaim()
{
    const ClientAccount::Lock lock(m_account->m_mutex);
    if (!m_reclaimed)
        return;
    m_account->m_bytesReclaimed -= m_bytes;
    if (m_reclaimed == Shortage::Connections)
        --m_account->m_connectionsReclaimed;
    m_reclaimed.reset();
}

void ClientHolding::reportDropped(const HttpExchange &request, Shortage shortage,
                                  TimePoint now) const
{
    if (m_account->m_observer)
        m_account->m_observer->clientDropped(
            request, {shortage, m_activity, m_bytes, m_open ? now - m_since : Duration {}});
}

} // namespace dogwoodvalve
