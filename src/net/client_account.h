#pragma once

#include "net/machine_size.h"

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/timer_service.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>

namespace dogwoodvalve {

/// How much a process holds for all clients together.
struct ClientLimits
{
    std::size_t bytes = 0;
    std::size_t connections = 0;
};

/// The share of a machine that clients get; the process itself needs the rest.
ClientLimits clientLimits(const MachineSize &machine);

/// Makes the allocator return large blocks to the operating system as soon as they are freed. To be
/// called at the start of a process.
void returnLargeBlocksAtOnce();

/// What a client's connection is doing.
enum class ClientActivity {
    /// No request has begun.
    Idle,
    /// A request has begun and has not arrived whole.
    Uploading,
    /// The request has arrived, and the next bytes of its answer are awaited.
    Waiting,
    /// Bytes of an answer wait until the client takes them.
    Downloading,
};

/// What the process is short of when it takes room back from a client or refuses a request.
enum class Shortage {
    Bytes,
    Connections,
};

std::string_view toString(ClientActivity activity);
std::string_view toString(Shortage shortage);

/// A connection as its account sees it.
class AccountedClient
{
public:
    virtual ~AccountedClient() = default;

    /// Asks the client's connection to give back what it holds, soon and on its own thread. Called
    /// on any thread, with the account locked.
    virtual void requestReclaim(Shortage shortage) = 0;
};

/// The error of a request that was not run because the process has no room for it.
Error noRoomForRequest();

class ClientHolding;
class HttpExchange;

/// A client from which room was taken back, or which was refused for want of room.
struct DroppedClient
{
    Shortage shortage = Shortage::Bytes;
    ClientActivity activity = ClientActivity::Idle;
    /// What it held.
    std::size_t bytes = 0;
    /// Time in the activity.
    Duration age {};
};

/// Is told of dropped clients, on the thread of each.
class ClientAccountObserver
{
public:
    virtual ~ClientAccountObserver() = default;
    /// The request has no method if its head had not arrived.
    virtual void clientDropped(const HttpExchange &request, const DroppedClient &client) = 0;
};

/// The one account of what a process holds for its clients, at all ports and on all threads: bytes
/// of requests and answers, in the process and in the buffers of the operating system, and
/// connections.
///
/// When an addition does not fit, room is taken back from other clients: from the one for which the
/// product of bytes and time is the largest, and never from requests that wait for their answers.
/// Large clients, those with more than SmallClientBytes, leave a quarter of the bytes to small ones
/// and take room back only from other large ones that have stood for MinReclaimAge. Small ones take
/// it from all large ones. If that is not enough, the addition is refused.
class ClientAccount
{
public:
    /// Holds at least an ordinary request and its answer.
    static constexpr std::size_t SmallClientBytes = 96 * 1024;
    /// Clients that got on within this time are not stalled.
    static constexpr Duration MinReclaimAge = 1s;

    explicit ClientAccount(const ClientLimits &limits);

    ClientAccount(const ClientAccount &) = delete;
    ClientAccount &operator=(const ClientAccount &) = delete;

    const ClientLimits &limits() const { return m_limits; }
    std::size_t bytes() const { return m_bytes.load(std::memory_order_relaxed); }
    std::size_t connections() const { return m_connections.load(std::memory_order_relaxed); }

    /// To be set before there are clients.
    void setObserver(ClientAccountObserver *observer) { m_observer = observer; }

    /// Returns freed memory to the operating system if much of it was freed since the last time. To
    /// be called now and then.
    void trimFreedMemory();

private:
    friend class ClientHolding;

    using Lock = std::lock_guard<std::mutex>;

    /// Makes room for one more connection. Needs the lock.
    bool makeConnectionRoom(std::size_t limit, TimePoint now);
    /// Makes room for more bytes of a client. Needs the lock.
    bool makeByteRoom(const ClientHolding &client, std::size_t more, TimePoint now);
    /// Asks the client for which `rank` returns the largest value to give back its room. Those for
    /// which it returns nothing, and those with a request that waits, are not asked. Returns
    /// whether there is one. Needs the lock.
    template <class Rank>
    bool reclaimLargest(Shortage shortage, Rank rank);

    const ClientLimits m_limits;
    std::mutex m_mutex;
    std::set<ClientHolding *> m_clients;
    /// What clients are about to give back.
    std::size_t m_bytesReclaimed = 0;
    std::size_t m_connectionsReclaimed = 0;
    std::atomic<std::size_t> m_bytes {0};
    std::atomic<std::size_t> m_connections {0};
    /// The most bytes since freed memory was last returned.
    std::atomic<std::size_t> m_peakBytes {0};
    ClientAccountObserver *m_observer = nullptr;
};

/// One connection's part of an account. Used on the connection's thread.
class ClientHolding
{
public:
    ClientHolding(std::shared_ptr<ClientAccount> account, AccountedClient &client);
    ~ClientHolding();

    ClientHolding(const ClientHolding &) = delete;
    ClientHolding &operator=(const ClientHolding &) = delete;

    /// Enters the account as idle. Returns false if there are too many connections; those of
    /// `internal` ports, for the platform and other hosts, may take the last ones.
    bool open(bool internal, TimePoint now);
    /// Leaves the account.
    void close();

    /// Sets what the client holds. Returns false, and changes nothing, if there is no room for it.
    bool tryHold(std::size_t bytes, TimePoint now);
    /// The same for bytes that can't be refused any more.
    void hold(std::size_t bytes, TimePoint now);
    std::size_t bytes() const { return m_bytes; }

    /// Sets what the client is doing from now on. Without a change, the time does not begin anew.
    void setActivity(ClientActivity activity, TimePoint now);
    ClientActivity activity() const { return m_activity; }
    /// What was asked of the client does not apply any more, as its activity has changed.
    void withdrawReclaim();

    /// Tells the observer that this client is dropped, with what it holds.
    void reportDropped(const HttpExchange &request, Shortage shortage, TimePoint now) const;

private:
    friend class ClientAccount;

    void setBytes(std::size_t bytes);

    const std::shared_ptr<ClientAccount> m_account;
    AccountedClient &m_client;
    /// Guarded by the account's lock.
    std::size_t m_bytes = 0;
    ClientActivity m_activity = ClientActivity::Idle;
    TimePoint m_since {};
    bool m_open = false;
    /// Set while the client has been asked to give back what it holds.
    std::optional<Shortage> m_reclaimed;
};

} // namespace dogwoodvalve
