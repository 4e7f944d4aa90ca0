#pragma once

#include <dogwoodvalve/configuration_state.h>
#include <dogwoodvalve/platform.h>
#include <dogwoodvalve/timer_service.h>

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// A range of configuration records, or a snapshot, that one entry host sends to another.
struct ConfigurationTransfer
{
    /// The whole state, if the receiver is too far behind for records; otherwise empty.
    std::string snapshot;
    /// The offset of the first record.
    LogOffset from = 0;
    std::vector<std::string> records;
};

/// What the follower needs from its owner.
class ConfigurationFollowerHooks
{
public:
    virtual ~ConfigurationFollowerHooks() = default;

    /// Number of other entry hosts that this one regards as live.
    virtual std::size_t liveMembers() const = 0;
    /// This host's rank, from 0, among the live hosts in the order in which they write a snapshot.
    virtual std::size_t snapshotRank(LogOffset offset) const = 0;
    /// Requests the records from an offset on from a peer.
    virtual void requestFromPeer(std::string_view peer, LogOffset from) = 0;
    /// Sends records to all linked peers except the one that they came from.
    virtual void pushToPeers(const ConfigurationTransfer &transfer, std::string_view except) = 0;
    /// A newer state has been applied.
    virtual void stateApplied(const ConfigurationState &state) = 0;
};

/// Intervals and limits of the follower. Beyond the shortest interval, the poll interval grows with
/// the number of members, so that all of them together read the log at a constant rate.
struct ConfigurationFollowerOptions
{
    Duration minPollInterval = 250ms;
    /// The poll interval is at least this times the number of live entry hosts.
    Duration pollIntervalPerMember = 25ms;
    /// Without confirmation from the log or a peer for this long, the host is isolated.
    Duration isolationTimeout = 8s;
    /// A snapshot is due after this many records or after this time, whichever comes first.
    std::size_t snapshotRecords = 200;
    Duration snapshotInterval = 600s;
    /// A host waits this long per rank before it writes, so that usually only the first one does.
    Duration snapshotStagger = 5s;
};

/// Keeps the configuration of one entry host up to date: starts from a snapshot, then applies
/// records from the log and from peers and forwards them to other peers. Never reverts to an older
/// state.
class ConfigurationFollower
{
public:
    ConfigurationFollower(Platform &platform, TimerService &timers,
                          ConfigurationFollowerHooks &hooks, ConfigurationFollowerOptions options);
    ~ConfigurationFollower();

    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    void start();

    /// Reads the log now instead of at the next poll.
    void pollNow();

    /// A peer's heartbeat says how many records it has applied and the newest snapshot that it
    /// knows of.
    void onPeerOffset(std::string_view peer, LogOffset nextOffset, LogOffset snapshotOffset);
    /// The records from an offset on, or a snapshot if not all of them are kept here. Empty if
    /// there are none.
    ConfigurationTransfer makeTransfer(LogOffset from) const;
    /// Applies records or a snapshot from a peer; requests the records in between if some are
    /// missing.
    void onTransfer(std::string_view peer, const ConfigurationTransfer &transfer);

    const ConfigurationState &state() const { return m_state; }
    /// Whether the log or a peer has confirmed the configuration since the start.
    bool ready() const { return m_ready; }
    /// Whether neither the log nor a peer has confirmed the configuration for the isolation
    /// timeout. Never true for a host that has had no peer.
    bool isolated() const;
    /// Whether the last read of the log succeeded.
    bool logReachable() const { return m_logReachable; }
    /// Number of records in the newest snapshot that this host knows of.
    LogOffset lastSnapshot() const { return m_lastSnapshot; }

private:
    void schedulePoll(Duration delay);
    void readSnapshots(LogOffset from);
    void onSnapshotPage(const Result<LogPage> &page);
    void readRecords();
    void onRecordPage(const Result<LogPage> &page);
    bool applyRecords(LogOffset from, const std::vector<std::string> &records,
                      std::string_view source);
    bool restoreFrom(std::string_view snapshot);
    void markConfirmed(TimePoint asOf);
    void scheduleSnapshotIfDue();
    bool snapshotDue() const;
    void updateLastSnapshot(LogOffset offset);
    void writeSnapshotNow();
    void appendSnapshotPart(LogOffset offset,
                            const std::shared_ptr<std::vector<std::string>> &records,
                            std::size_t part);

    Platform &m_platform;
    TimerService &m_timers;
    ConfigurationFollowerHooks &m_hooks;
    ConfigurationFollowerOptions m_options;
    ConfigurationState m_state;
    /// The latest records applied, for peers that are behind.
    std::deque<std::string> m_recentRecords;
    std::shared_ptr<class SnapshotAssembler> m_assembler;
    /// Callbacks of the platform hold a weak pointer to this and do nothing once it has expired.
    std::shared_ptr<bool> m_alive;
    TimePoint m_confirmedAt {};
    /// When the read of records in flight was sent.
    TimePoint m_askedAt {};
    TimePoint m_lastSnapshotAt {};
    TimerId m_pollTimer = 0;
    TimerId m_snapshotTimer = 0;
    LogOffset m_lastSnapshot = 0;
    LogOffset m_firstKept = 0;
    bool m_ready = false;
    bool m_reading = false;
    bool m_logReachable = false;
    bool m_needsSnapshot = true;
    bool m_peerSeen = false;
    bool m_writingSnapshot = false;
};

} // namespace dogwoodvalve
