#include "core/mutation.h"

#include <dogwoodvalve/prompt_quarantine.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace dogwoodvalve {

namespace {

/// Servers that fail together are noticed within this time of one another.
constexpr Duration SimultaneousTime = 20ms;
/// Crashes because of one disturbance of many servers may be spread over this time.
constexpr Duration DisturbanceTime = 100ms;
constexpr int CrashesAgainstUnproven = 2;
constexpr int CrashesAgainstServed = 3;
/// A part that is still in doubt for a while after this many crashes is quarantined without a
/// trial.
constexpr int ConclusiveCrashes = 5;
constexpr Duration LongestDoubt = 2s;
/// Time in which all hosts report on a crash.
constexpr Duration ReportTime = 1s;
/// A crash without suspects is reported for this long, so that all hosts learn what has cleared its
/// parts.
constexpr Duration ClearedReportTime = 30s;

/// Sorts the times, and leaves out those that are less than `gap` later than the one before.
void keepSeparateTimes(std::vector<TimePoint> &times, Duration gap)
{
    std::sort(times.begin(), times.end());
    std::size_t n = 0;
    for (const TimePoint time : times) {
        if (n == 0 || time - times[n - 1] >= gap)
            times[n++] = time;
    }
    times.resize(n);
}

std::string crashKey(std::string_view server, std::int64_t startedAtMs)
{
    return std::string(server) + ':' + std::to_string(startedAtMs);
}

/// The first of the parts that is listed until a later time.
std::optional<QuarantinedPart> findListed(const std::map<std::string, TimePoint> &listed,
                                          std::span<const std::string> parts, TimePoint now)
{
    for (const std::string &part : parts) {
        const auto it = listed.find(part);
        if (it != listed.end() && it->second > now)
            return QuarantinedPart {part, it->second};
    }
    return std::nullopt;
}

bool isNotCleared(const SuspectedPart &part)
{
    return part.standing != PartStanding::Cleared;
}

/// How likely a part has caused a crash. All hosts keep the same parts if there are too many.
auto suspicion(const std::string &part, const SuspectedPart &suspected)
{
    return std::tuple(isNotCleared(suspected), suspected.undelivered,
                      suspected.standing == PartStanding::Unproven, suspected.position, part);
}

} // namespace

bool PromptQuarantine::Crash::anyUndelivered() const
{
    return std::any_of(parts.begin(), parts.end(), [](const auto &part) {
        return part.second.undelivered && isNotCleared(part.second);
    });
}

bool PromptQuarantine::Crash::hasSuspect() const
{
    return std::any_of(parts.begin(), parts.end(),
                       [](const auto &part) { return isNotCleared(part.second); });
}

std::tuple<bool, bool, TimePoint> PromptQuarantine::Crash::importance() const
{
    return {explained, hasSuspect(), at};
}

void PromptQuarantine::Crash::noteChange(TimePoint now)
{
    changedAt = now;
    archiveOutdated = archivedEra.has_value();
}

CrashReport PromptQuarantine::Crash::report(TimePoint now) const
{
    return {std::max<Duration>(now - at, Duration::zero()), parts,
            archiveOutdated ? std::nullopt : archivedEra};
}

void PromptQuarantine::recordCrash(std::string_view server, std::int64_t startedAtMs,
                                   std::span<const std::string> parts, bool undelivered,
                                   TimePoint crashedAt, TimePoint now, std::string_view tried)
{
    if (parts.empty() || mutated("gateway-forget-crashes"))
        return;
    const std::string key = crashKey(server, startedAtMs);
    Crash &crash = m_crashes.try_emplace(key, Crash {crashedAt}).first->second;
    bool changed = false;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const SuspectedPart suspected {standingOf(parts[i], crash.at), static_cast<int>(i),
                                       undelivered, parts[i] == tried};
        changed = addPart(crash, parts[i], suspected, now) || changed;
    }
    if (changed)
        evaluate(now);
}

bool PromptQuarantine::addPart(Crash &crash, const std::string &part, SuspectedPart suspected,
                               TimePoint now)
{
    const auto known = crash.parts.find(part);
    if (known == crash.parts.end()) {
        if (crash.parts.size() >= MaxPartsPerCrash) {
            const auto least = std::min_element(
                crash.parts.begin(), crash.parts.end(), [](const auto &l, const auto &r) {
                    return suspicion(l.first, l.second) < suspicion(r.first, r.second);
                });
            if (suspicion(part, suspected) < suspicion(least->first, least->second))
                return false;
            crash.parts.erase(least);
        }
        crash.parts.emplace(part, suspected);
        crash.noteChange(now);
        m_reportsChanged = true;
        return true;
    }
    const SuspectedPart merged {std::max(known->second.standing, suspected.standing),
                                std::max(known->second.position, suspected.position),
                                known->second.undelivered || suspected.undelivered,
                                known->second.tried || suspected.tried};
    if (merged == known->second)
        return false;
    known->second = merged;
    crash.noteChange(now);
    m_reportsChanged = true;
    return true;
}

void PromptQuarantine::recordServed(std::span<const std::string> parts, TimePoint begunAt,
                                    TimePoint now)
{
    if (m_served.size() >= MaxServedParts / 2) {
        m_servedEarlier = std::move(m_served);
        m_served.clear();
    }
    for (const std::string &part : parts) {
        TimePoint &served = m_served[part];
        served = std::max(served, begunAt);
    }
    bool cleared = false;
    for (auto &[key, crash] : m_crashes) {
        for (auto &[part, suspected] : crash.parts) {
            if (!isNotCleared(suspected) || standingOf(part, crash.at) != PartStanding::Cleared
                || mutated("gateway-clear-no-parts"))
                continue;
            suspected.standing = PartStanding::Cleared;
            crash.noteChange(now);
            cleared = true;
        }
    }
    if (!cleared)
        return;
    m_reportsChanged = true;
    evaluate(now);
}

std::optional<TimePoint> PromptQuarantine::servedAt(const std::string &part) const
{
    for (const auto *served : {&m_served, &m_servedEarlier}) {
        const auto it = served->find(part);
        if (it != served->end())
            return it->second;
    }
    return std::nullopt;
}

PartStanding PromptQuarantine::standingOf(const std::string &part, TimePoint crashedAt) const
{
    const auto served = servedAt(part);
    if (!served)
        return PartStanding::Unproven;
    return *served >= crashedAt ? PartStanding::Cleared : PartStanding::ServedBefore;
}

void PromptQuarantine::merge(const CrashReports &reports, TimePoint now)
{
    if (reports.empty() || mutated("gateway-ignore-reported-crashes"))
        return;
    bool changed = false;
    for (const auto &[key, report] : reports) {
        if (report.age >= CrashRetention || report.parts.empty())
            continue;
        // The first time that is known stays, or ages would grow less with each host that passes
        // the report on.
        Crash &crash = m_crashes.try_emplace(key, Crash {now - report.age}).first->second;
        for (const auto &[part, reported] : report.parts) {
            const PartStanding standing = std::max(reported.standing, standingOf(part, crash.at));
            SuspectedPart suspected = reported;
            suspected.standing = standing;
            changed = addPart(crash, part, suspected, now) || changed;
        }
        if (report.archivedEra && crash.parts == report.parts) {
            crash.archivedEra = std::max(crash.archivedEra, report.archivedEra);
            crash.archiveOutdated = false;
        }
    }
    if (changed)
        evaluate(now);
}

std::vector<std::pair<const std::string *, const PromptQuarantine::Crash *>>
PromptQuarantine::reported(TimePoint now) const
{
    std::vector<std::pair<const std::string *, const Crash *>> reported;
    for (const auto &[key, crash] : m_crashes) {
        const bool current = crash.hasSuspect() ? now - crash.at < CrashRetention
                                                : now - crash.changedAt < ClearedReportTime;
        if (current)
            reported.emplace_back(&key, &crash);
    }
    std::sort(reported.begin(), reported.end(), [](const auto &l, const auto &r) {
        return l.second->importance() > r.second->importance();
    });
    reported.resize(std::min(reported.size(), MaxReportedCrashes));
    return reported;
}

CrashReports PromptQuarantine::reports(TimePoint now) const
{
    CrashReports reports;
    for (const auto &[key, crash] : reported(now))
        reports.emplace(*key, crash->report(now));
    return reports;
}

std::vector<std::string> PromptQuarantine::unarchived(std::uint64_t era, TimePoint now) const
{
    std::vector<std::string> crashes;
    for (const auto &[key, crash] : reported(now)) {
        // What clears a crash is of use to the archive only if that may hold what speaks against
        // its parts.
        const bool needed = crash->archivedEra ? crash->archiveOutdated || *crash->archivedEra < era
                                               : crash->hasSuspect();
        if (needed)
            crashes.push_back(*key);
    }
    return crashes;
}

CrashReports PromptQuarantine::reportsOn(std::span<const std::string> crashes, TimePoint now) const
{
    CrashReports reports;
    for (const std::string &key : crashes) {
        if (const auto it = m_crashes.find(key); it != m_crashes.end())
            reports.emplace(key, it->second.report(now));
    }
    return reports;
}

void PromptQuarantine::recordArchived(const CrashReports &reports, std::uint64_t era)
{
    for (const auto &[key, report] : reports) {
        const auto it = m_crashes.find(key);
        if (it == m_crashes.end())
            continue;
        it->second.archivedEra = std::max(it->second.archivedEra, std::optional(era));
        it->second.archiveOutdated = it->second.parts != report.parts;
    }
}

std::optional<QuarantinedPart> PromptQuarantine::find(std::span<const std::string> parts,
                                                      TimePoint now) const
{
    return findListed(m_quarantined, parts, now);
}

std::optional<QuarantinedPart> PromptQuarantine::findDoubtful(std::span<const std::string> parts,
                                                              TimePoint now) const
{
    return findListed(m_doubtful, parts, now);
}

std::optional<TimePoint> PromptQuarantine::crashedAt(std::string_view server,
                                                     std::int64_t startedAtMs) const
{
    const auto it = m_crashes.find(crashKey(server, startedAtMs));
    return it == m_crashes.end() ? std::nullopt : std::optional(it->second.at);
}

bool PromptQuarantine::isSuspect(const std::string &part, TimePoint since) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto &entry) {
        const auto it = entry.second.parts.find(part);
        return entry.second.at >= since && it != entry.second.parts.end()
            && it->second.standing == PartStanding::Unproven;
    });
}

bool PromptQuarantine::anyUnproven(std::span<const std::string> parts) const
{
    return std::any_of(parts.begin(), parts.end(),
                       [this](const std::string &part) { return !servedAt(part); });
}

PromptQuarantine::Changes PromptQuarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

void PromptQuarantine::dropOldCrashes(TimePoint now)
{
    std::erase_if(m_crashes,
                  [now](const auto &entry) { return now - entry.second.at >= CrashRetention; });
    while (m_crashes.size() > MaxCrashes)
        m_crashes.erase(
            std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &l, const auto &r) {
                return l.second.importance() < r.second.importance();
            }));
}

void PromptQuarantine::refresh(TimePoint now)
{
    const auto passed = [&](TimePoint time) { return m_evaluatedAt < time && time <= now; };
    const bool due = std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto &entry) {
        const TimePoint crashedAt = entry.second.at;
        return passed(crashedAt + ReportTime) || passed(crashedAt + LongestDoubt)
            || now - crashedAt >= CrashRetention;
    });
    if (due)
        evaluate(now);
}

std::map<std::string, PromptQuarantine::Evidence> PromptQuarantine::evidence(TimePoint now)
{
    std::map<std::string, Evidence> evidence;
    for (auto &[key, crash] : m_crashes) {
        const bool anyUndelivered = crash.anyUndelivered();
        if (!anyUndelivered && now - crash.at < ReportTime)
            continue;
        for (const auto &[part, suspected] : crash.parts) {
            if (!isNotCleared(suspected) || (anyUndelivered && !suspected.undelivered))
                continue;
            Evidence &against = evidence[part];
            against.crashes.push_back(&crash);
            against.standing = std::max(against.standing, suspected.standing);
            against.position = std::max(against.position, suspected.position);
        }
    }
    return evidence;
}

const std::string *PromptQuarantine::strongest(const std::map<std::string, Evidence> &evidence)
{
    const std::string *best = nullptr;
    std::tuple<bool, int, int> bestRank;
    for (const auto &[part, against] : evidence) {
        std::vector<TimePoint> times;
        for (const Crash *crash : against.crashes) {
            if (!crash->explained)
                times.push_back(crash->at);
        }
        const bool unproven = against.standing == PartStanding::Unproven;
        keepSeparateTimes(times, unproven ? SimultaneousTime : DisturbanceTime);
        const int crashes = static_cast<int>(times.size());
        if (crashes < (unproven ? CrashesAgainstUnproven : CrashesAgainstServed))
            continue;
        const std::tuple rank {unproven, crashes, against.position};
        if (best && rank <= bestRank)
            continue;
        best = &part;
        bestRank = rank;
    }
    return best;
}

bool PromptQuarantine::isProven(const std::string &part, const Evidence &against, TimePoint now)
{
    if (part.starts_with(RequestPrefix) || mutated("gateway-try-no-parts"))
        return true;
    std::vector<TimePoint> times;
    for (const Crash *crash : against.crashes) {
        if (crash->parts.at(part).tried)
            return true;
        times.push_back(crash->at);
    }
    keepSeparateTimes(times, DisturbanceTime);
    return times.size() >= ConclusiveCrashes && now - times[ConclusiveCrashes - 1] >= LongestDoubt;
}

void PromptQuarantine::evaluate(TimePoint now)
{
    dropOldCrashes(now);
    m_evaluatedAt = now;
    for (auto &[key, crash] : m_crashes)
        crash.explained = false;
    const std::map<std::string, Evidence> all = evidence(now);
    std::map<std::string, TimePoint> quarantined;
    std::map<std::string, TimePoint> doubtful;
    while (const std::string *part = strongest(all)) {
        TimePoint until {};
        for (Crash *crash : all.at(*part).crashes) {
            crash->explained = true;
            until = std::max(until, crash->at + CrashRetention);
        }
        (isProven(*part, all.at(*part), now) ? quarantined : doubtful)[*part] = until;
    }
    replace(std::move(quarantined), std::move(doubtful));
}

void PromptQuarantine::replace(std::map<std::string, TimePoint> quarantined,
                               std::map<std::string, TimePoint> doubtful)
{
    for (const auto &[part, until] : quarantined) {
        if (m_quarantined.count(part) == 0)
            m_changes.added.push_back({part, until});
    }
    for (const auto &[part, until] : doubtful) {
        if (m_doubtful.count(part) == 0)
            m_changes.doubted.push_back({part, until});
    }
    for (const auto *before : {&m_quarantined, &m_doubtful}) {
        for (const auto &[part, until] : *before) {
            if (quarantined.count(part) == 0 && doubtful.count(part) == 0)
                m_changes.removed.push_back(part);
        }
    }
    m_quarantined = std::move(quarantined);
    m_doubtful = std::move(doubtful);
}

} // namespace dogwoodvalve
