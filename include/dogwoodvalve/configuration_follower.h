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

/// A range of configuration records, or a snapshot, as entry hosts pass them on to one another.
struct ConfigurationTransfer
{
    /// Set if the receiver is too far behind for records: then the whole state.
    std::string snapshot;
    /// The offset of the first record.
    LogOffset from = 0;
    std::vector<std::string> records;
};

/// What the follower asks of its surroundings.
class ConfigurationFollowerHooks
{
public:
    virtual ~ConfigurationFollowerHooks() = default;

    /// Other entry hosts that this one believes alive.
    virtual std::size_t liveMembers() const = 0;
    /// This host's place, from 0, among the live hosts for writing a snapshot.
    virtual std::size_t snapshotRank(LogOffset offset) const = 0;
    /// Asks a peer for what follows an offset.
    virtual void requestFromPeer(std::string_view peer, LogOffset from) = 0;
    /// Passes records on to all linked peers but the one that they came from.
    virtual void pushToPeers(const ConfigurationTransfer &transfer, std::string_view except) = 0;
    /// A newer state is in force.
    virtual void stateApplied(const ConfigurationState &state) = 0;
};

/// Times of the follower. At the size that the design is for, the poll interval grows with the
/// number of members so that all of them together read the log at a constant rate.
struct ConfigurationFollowerOptions
{
    Duration minPollInterval = 250ms;
    Duration pollIntervalPerMember = 25ms;
    /// Without confirmation from log or peers for this long, the host is isolated.
    Duration isolationTimeout = 8s;
    /// A snapshot is written after this many records, or after this time.
    std::size_t snapshotRecords = 200;
    Duration snapshotInterval = 600s;
    /// Between the writers that stand in for one another.
    Duration snapshotStagger = 5s;
};

/// Keeps the configuration of one entry host up to date: reads the log, starts from a snapshot,
/// takes over from peers and passes on. It only goes forward.
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

    /// A peer says how far it is and which snapshot it knows of.
    void onPeerOffset(std::string_view peer, LogOffset nextOffset, LogOffset snapshot);
    /// A peer asks for what follows an offset.
    ConfigurationTransfer makeTransfer(LogOffset from) const;
    void onTransfer(std::string_view peer, const ConfigurationTransfer &transfer);

    const ConfigurationState &state() const { return m_state; }
    /// Whether a configuration was confirmed by the log or a peer since the start.
    bool ready() const { return m_ready; }
    /// Whether neither log nor any peer has confirmed the configuration for too long. Never true
    /// for a host that knows no other.
    bool isolated() const;
    /// Whether the last read of the log succeeded.
    bool logReachable() const { return m_logReachable; }
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
    void markConfirmed();
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
    /// The latest records, for peers that are behind.
    std::deque<std::string> m_recentRecords;
    std::shared_ptr<class SnapshotAssembler> m_assembler;
    /// Answers of the platform that come after this object's end find it gone.
    std::shared_ptr<bool> m_alive;
    TimePoint m_confirmedAt {};
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
