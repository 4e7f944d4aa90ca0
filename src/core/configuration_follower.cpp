#include "codec/change_codec.h"
#include "core/mutation.h"

#include <dogwoodvalve/configuration_follower.h>
#include <dogwoodvalve/invariant.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

constexpr std::size_t RecordsPerRead = 256;
/// Records kept in memory for peers; one that is further behind gets a snapshot.
constexpr std::size_t MaxRecentRecords = 512;
/// Time until the next scheduled poll after a failed read.
constexpr Duration FailedReadRetryDelay = 500ms;

} // namespace

ConfigurationFollower::ConfigurationFollower(Platform &platform, TimerService &timers,
                                             ConfigurationFollowerHooks &hooks,
                                             ConfigurationFollowerOptions options)
    : m_platform(platform)
    , m_timers(timers)
    , m_hooks(hooks)
    , m_options(options)
    , m_assembler(std::make_shared<SnapshotAssembler>())
    , m_alive(std::make_shared<bool>(true))
{ }

ConfigurationFollower::~ConfigurationFollower()
{
    m_timers.cancel(m_pollTimer);
    m_timers.cancel(m_snapshotTimer);
}

void ConfigurationFollower::start()
{
    m_confirmedAt = m_timers.now();
    m_lastSnapshotAt = m_timers.now();
    pollNow();
}

void ConfigurationFollower::schedulePoll(Duration delay)
{
    m_timers.cancel(m_pollTimer);
    m_pollTimer = m_timers.schedule(m_timers.now() + delay, [this] {
        m_pollTimer = 0;
        pollNow();
    });
}

void ConfigurationFollower::pollNow()
{
    if (m_reading)
        return;
    m_reading = true;
    if (m_needsSnapshot)
        readSnapshots(0);
    else
        readRecords();
}

void ConfigurationFollower::readSnapshots(LogOffset from)
{
    m_platform.read(SnapshotStream, from, RecordsPerRead,
                    [this, alive = std::weak_ptr(m_alive)](const Result<LogPage> &page) {
                        if (!alive.expired())
                            onSnapshotPage(page);
                    });
}

void ConfigurationFollower::onSnapshotPage(const Result<LogPage> &page)
{
    if (!page) {
        m_reading = false;
        m_logReachable = false;
        return schedulePoll(FailedReadRetryDelay);
    }
    const LogPage &found = page.value();
    for (const std::string &record : found.records)
        m_assembler->add(record);
    if (found.from < found.firstKept)
        return readSnapshots(found.firstKept);
    const LogOffset next = found.from + found.records.size();
    if (next < found.end && !found.records.empty())
        return readSnapshots(next);
    m_needsSnapshot = false;
    if (m_assembler->latestOffset() > m_state.nextOffset())
        restoreFrom(m_assembler->latest());
    m_lastSnapshot = std::max(m_lastSnapshot, m_assembler->latestOffset());
    m_assembler = std::make_shared<SnapshotAssembler>();
    readRecords();
}

void ConfigurationFollower::readRecords()
{
    m_askedAt = m_timers.now();
    m_platform.read(ConfigurationStream, m_state.nextOffset(), RecordsPerRead,
                    [this, alive = std::weak_ptr(m_alive)](const Result<LogPage> &page) {
                        if (!alive.expired())
                            onRecordPage(page);
                    });
}

void ConfigurationFollower::onRecordPage(const Result<LogPage> &page)
{
    m_reading = false;
    m_logReachable = page.has_value();
    if (!page)
        return schedulePoll(FailedReadRetryDelay);
    const LogPage &found = page.value();
    m_firstKept = found.firstKept;
    if (m_state.nextOffset() < found.firstKept) {
        // The log no longer keeps the next records: get them from a snapshot or a peer.
        m_needsSnapshot = true;
        scheduleSnapshotIfDue();
        return schedulePoll(FailedReadRetryDelay);
    }
    applyRecords(found.from, found.records, "");
    if (m_state.nextOffset() < found.end)
        return pollNow();
    // The answer may have waited to be read.
    markConfirmed(mutated("confirm-on-reading") ? m_timers.now() : m_askedAt);
    scheduleSnapshotIfDue();
    const Duration shared =
        m_options.pollIntervalPerMember * static_cast<std::int64_t>(m_hooks.liveMembers() + 1);
    schedulePoll(std::max(m_options.minPollInterval, shared));
}

/// Applies the records that are new and forwards them; returns whether there were any.
bool ConfigurationFollower::applyRecords(LogOffset from, const std::vector<std::string> &records,
                                         std::string_view source)
{
    ConfigurationTransfer applied;
    applied.from = m_state.nextOffset();
    LogOffset offset = from;
    for (const std::string &record : records) {
        const LogOffset at = offset++;
        if (at != m_state.nextOffset())
            continue;
        const Result<Change> change = readChange(record);
        if (change)
            (void)m_state.apply(at, change.value());
        else
            (void)m_state.skip(at);
        checkInvariant(m_state.nextOffset() == at + 1,
                       "each record must advance the offset by one");
        m_recentRecords.push_back(record);
        applied.records.push_back(record);
    }
    while (m_recentRecords.size() > MaxRecentRecords)
        m_recentRecords.pop_front();
    if (applied.records.empty())
        return false;
    m_hooks.stateApplied(m_state);
    m_hooks.pushToPeers(applied, source);
    return true;
}

bool ConfigurationFollower::restoreFrom(std::string_view snapshot)
{
    ConfigurationState restored;
    const Result<void> read = readSnapshot(snapshot, restored);
    const bool newer = restored.nextOffset() > m_state.nextOffset();
    if (!read || (!newer && !mutated("take-older-snapshot")))
        return false;
    m_state = std::move(restored);
    m_recentRecords.clear();
    m_hooks.stateApplied(m_state);
    return true;
}

void ConfigurationFollower::markConfirmed(TimePoint asOf)
{
    m_ready = true;
    m_confirmedAt = std::max(m_confirmedAt, asOf);
}

bool ConfigurationFollower::isolated() const
{
    return m_peerSeen && m_timers.now() - m_confirmedAt > m_options.isolationTimeout;
}

void ConfigurationFollower::onPeerOffset(std::string_view peer, LogOffset nextOffset,
                                         LogOffset snapshotOffset)
{
    m_peerSeen = true;
    updateLastSnapshot(snapshotOffset);
    if (nextOffset > m_state.nextOffset())
        return m_hooks.requestFromPeer(peer, m_state.nextOffset());
    // A host that started while the log was unreachable is confirmed once it has caught up with a
    // peer, but not while it holds no records.
    if (m_state.nextOffset() > 0 || m_ready)
        markConfirmed(m_timers.now());
}

ConfigurationTransfer ConfigurationFollower::makeTransfer(LogOffset from) const
{
    ConfigurationTransfer transfer;
    if (from >= m_state.nextOffset())
        return transfer;
    const LogOffset oldest = m_state.nextOffset() - m_recentRecords.size();
    if (from < oldest) {
        transfer.snapshot = writeSnapshot(m_state);
        return transfer;
    }
    transfer.from = from;
    transfer.records.assign(m_recentRecords.begin() + static_cast<std::ptrdiff_t>(from - oldest),
                            m_recentRecords.end());
    return transfer;
}

void ConfigurationFollower::onTransfer(std::string_view peer, const ConfigurationTransfer &transfer)
{
    m_peerSeen = true;
    if (!transfer.snapshot.empty()) {
        if (restoreFrom(transfer.snapshot))
            markConfirmed(m_timers.now());
        return;
    }
    if (transfer.from > m_state.nextOffset())
        return m_hooks.requestFromPeer(peer, m_state.nextOffset());
    if (applyRecords(transfer.from, transfer.records, peer))
        markConfirmed(m_timers.now());
}

/// Schedules a snapshot if one is due. The host that ranks first writes at once; each other one
/// waits for its turn and writes only if a snapshot is still due by then.
void ConfigurationFollower::scheduleSnapshotIfDue()
{
    if (m_snapshotTimer != 0 || m_writingSnapshot || !snapshotDue())
        return;
    const auto rank = static_cast<std::int64_t>(m_hooks.snapshotRank(m_state.nextOffset()));
    const TimePoint at = m_timers.now() + m_options.snapshotStagger * rank;
    m_snapshotTimer = m_timers.schedule(at, [this] {
        m_snapshotTimer = 0;
        if (snapshotDue())
            writeSnapshotNow();
    });
}

bool ConfigurationFollower::snapshotDue() const
{
    if (m_state.nextOffset() == 0)
        return false;
    // Records that neither a snapshot nor the log holds exist in the memory of the hosts only.
    if (m_firstKept > m_lastSnapshot && m_state.nextOffset() > m_lastSnapshot
        && !mutated("leave-records-without-snapshot"))
        return true;
    return m_state.nextOffset() >= m_lastSnapshot + m_options.snapshotRecords
        || m_timers.now() - m_lastSnapshotAt >= m_options.snapshotInterval;
}

void ConfigurationFollower::updateLastSnapshot(LogOffset offset)
{
    if (offset <= m_lastSnapshot)
        return;
    m_lastSnapshot = offset;
    m_lastSnapshotAt = m_timers.now();
}

void ConfigurationFollower::writeSnapshotNow()
{
    const LogOffset offset = m_state.nextOffset();
    auto records =
        std::make_shared<std::vector<std::string>>(splitSnapshot(writeSnapshot(m_state), offset));
    m_writingSnapshot = true;
    appendSnapshotPart(offset, records, 0);
}

void ConfigurationFollower::appendSnapshotPart(
    LogOffset offset, const std::shared_ptr<std::vector<std::string>> &records, std::size_t part)
{
    if (part == records->size()) {
        m_writingSnapshot = false;
        m_lastSnapshotAt = m_timers.now();
        m_lastSnapshot = std::max(m_lastSnapshot, offset);
        return;
    }
    m_platform.append(SnapshotStream, std::move((*records)[part]),
                      [this, offset, records, part,
                       alive = std::weak_ptr(m_alive)](const Result<LogOffset> &appended) {
                          if (alive.expired())
                              return;
                          if (appended)
                              return appendSnapshotPart(offset, records, part + 1);
                          // An incomplete snapshot is ignored by readers; the next poll schedules
                          // another one.
                          m_writingSnapshot = false;
                      });
}

} // namespace dogwoodvalve
