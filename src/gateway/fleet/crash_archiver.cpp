#include "gateway/fleet/crash_archiver.h"

#include "core/duration_math.h"
#include "core/mutation.h"
#include "daemon/log.h"
#include "gateway/gateway_node.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dogwoodvalve {

namespace {

constexpr Duration CheckInterval = 100ms;
/// Time in which the other hosts' findings on a crash arrive.
constexpr Duration CollectionTime = 200ms;
/// Time from a host's turn to write on a crash until that of the next one, which learns from
/// digests that it need not write.
constexpr Duration TurnTime = 1s;
constexpr Duration MinWriteInterval = 500ms;
/// Exponential backoff after failed calls, as refused calls are priced too.
constexpr Duration MinRetryPause = 500ms;
constexpr int MaxRetryDoublings = 4;
/// The archive is searched for old records this often, by one host.
constexpr Duration CleanUpInterval = 5min;
constexpr const char *CleanUpTask = "clean-up-crashes";
/// Differences between the hosts' times of day.
constexpr Duration MaxClockDifference = 1min;
/// Records that one call removes.
constexpr std::size_t MaxRemovedRecords = 256;

} // namespace

void CrashArchiver::start()
{
    m_nextReadAt = m_node.now();
    check();
}

bool CrashArchiver::dependsOnPeers() const
{
    const HostTable &hosts = m_node.view().hosts();
    return hosts.exchangeMode() == ExchangeMode::Member && !hosts.isolated(m_node.now());
}

void CrashArchiver::check()
{
    const TimePoint now = m_node.now();
    if (!m_read && dependsOnPeers())
        m_node.view().setArchiveRead();
    if (!m_callInFlight && now >= m_nextReadAt) {
        const bool cleansUp = m_read
            && m_node.view().hosts().isTopRanked(m_node.settings().name, CleanUpTask, 1, now);
        if (cleansUp || (!m_read && !dependsOnPeers()))
            read(cleansUp);
        else if (m_read)
            m_nextReadAt = now + CleanUpInterval;
    }
    scheduleWrites();
    writeDue();
    m_node.timers().schedule(now + CheckInterval, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            check();
    });
}

Duration CrashArchiver::nextRetryPause()
{
    return backoff(MinRetryPause, m_failures++, MaxRetryDoublings);
}

void CrashArchiver::read(bool cleanUp)
{
    if (mutated("gateway-forget-archived-crashes"))
        return m_node.view().setArchiveRead();
    m_callInFlight = true;
    m_node.platform().crashes->read(
        [this, cleanUp, alive = std::weak_ptr(m_alive)](const Result<ArchivedCrashes> &archived) {
            if (alive.expired())
                return;
            m_callInFlight = false;
            if (archived)
                onRead(archived.value(), cleanUp);
            else
                m_nextReadAt = m_node.now() + nextRetryPause();
            m_node.view().setArchiveRead();
        });
}

void CrashArchiver::onRead(const ArchivedCrashes &archived, bool cleanUp)
{
    m_read = true;
    m_failures = 0;
    m_nextReadAt = m_node.now() + CleanUpInterval;
    const std::int64_t nowMs = m_node.loop().unixMillis();
    std::vector<std::string> outdated = archived.unreadable;
    for (const ArchivedCrash &crash : archived.crashes) {
        const Duration age = std::chrono::milliseconds(nowMs - crash.crashedAtMs);
        if (age < -MaxClockDifference
            || age >= PromptQuarantine::CrashRetention + MaxClockDifference) {
            outdated.push_back(crash.record);
            continue;
        }
        m_node.view().adoptArchivedCrashes(
            {{crash.crash,
              {std::max<Duration>(age, Duration::zero()), crash.parts, archived.era}}});
    }
    LogEvent("crash_archive_read")
        .field("crashes", archived.crashes.size())
        .field("outdated", outdated.size())
        .field("era", archived.era);
    if (!cleanUp || outdated.empty())
        return;
    m_node.platform().crashes->remove(
        std::span(outdated).first(std::min(outdated.size(), MaxRemovedRecords)));
}

void CrashArchiver::scheduleWrites()
{
    const TimePoint now = m_node.now();
    const std::vector<std::string> unarchived = m_node.view().unarchivedCrashes();
    std::erase_if(m_dueAt, [&unarchived](const auto &entry) {
        return std::find(unarchived.begin(), unarchived.end(), entry.first) == unarchived.end();
    });
    for (const std::string &crash : unarchived) {
        if (m_dueAt.count(crash) > 0)
            continue;
        const int turn = m_node.view().hosts().rank(m_node.settings().name, crash, now);
        m_dueAt.emplace(crash, now + CollectionTime + TurnTime * turn);
    }
}

void CrashArchiver::writeDue()
{
    const TimePoint now = m_node.now();
    std::vector<std::string> due;
    for (const auto &[crash, at] : m_dueAt) {
        if (at <= now)
            due.push_back(crash);
    }
    if (due.empty() || m_callInFlight || now < m_nextWriteAt)
        return;
    CrashReports reports = m_node.view().quarantine().reportsOn(due, now);
    std::vector<ArchivedCrash> crashes;
    const std::int64_t nowMs = m_node.loop().unixMillis();
    for (const auto &[crash, report] : reports)
        crashes.push_back({{}, crash, nowMs - report.age.count() / 1000, report.parts});
    m_callInFlight = true;
    m_node.platform().crashes->write(
        m_node.settings().name, crashes,
        [this, reports = std::move(reports),
         alive = std::weak_ptr(m_alive)](const Result<std::uint64_t> &era) {
            if (alive.expired())
                return;
            m_callInFlight = false;
            m_nextWriteAt = m_node.now() + (era ? MinWriteInterval : nextRetryPause());
            if (!era)
                return;
            m_failures = 0;
            m_node.view().recordArchivedCrashes(reports, era.value());
            LogEvent::decision("crashes_archived")
                .field("crashes", reports.size())
                .field("era", era.value());
        });
}

} // namespace dogwoodvalve
