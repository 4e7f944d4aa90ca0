#pragma once

#include <dogwoodvalve/crash_report.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace dogwoodvalve {

/// A suspect with which no request is sent to a server, or only one at a time, and until when.
struct QuarantinedPart
{
    std::string id;
    TimePoint until {};
};

/// Finds parts of prompts, and whole requests, that crash the servers that answer them. A request
/// that may come again has a fingerprint, which is treated like a part that only its repeats share.
/// It is listed before the parts of its prompt: as far as the evidence does not differ, a part
/// explains more.
///
/// A crash is evidence against the parts of the requests whose answers the server had just begun,
/// and an answer that goes on past its beginning is evidence that its parts are harmless. If no
/// event had been delivered of some of these answers, only their parts are suspects; hosts learn of
/// one another's answers within a moment. A request that merely was on the server shares one crash
/// with the request that caused it, but seldom a second one. So a part is quarantined after two
/// crashes. A part that was answered before is quarantined after three at different times, as the
/// failure of many servers at once could explain fewer. A crash that a quarantined part explains is
/// no evidence against other parts.
///
/// Many requests share a part of a prompt, so a wrong quarantine costs many callers their answers,
/// and servers that crash for another reason crash with whatever they run. Before a part is
/// quarantined it is therefore in doubt, in which hosts send one request with it at a time. Such a
/// trial either crashes its server too, or is answered and clears the part.
///
/// Hosts exchange their reports and merge them, in any order. The reports are also kept in an
/// archive outside of the hosts, for when all of them are lost at once.
class PromptQuarantine
{
public:
    /// How long a crash is evidence.
    static constexpr Duration CrashRetention = std::chrono::minutes(10);
    /// An answer that goes on for this long shows that its parts are harmless. A server that
    /// crashes earlier may have crashed because of them.
    static constexpr Duration BeginningTime = std::chrono::milliseconds(500);
    static constexpr std::size_t MaxCrashes = 64;
    static constexpr std::size_t MaxPartsPerCrash = 32;
    /// Crashes in one message to other hosts.
    static constexpr std::size_t MaxReportedCrashes = 16;
    /// Bound of the memory of answered parts, which callers choose.
    static constexpr std::size_t MaxServedParts = 16'384;
    /// Fingerprints of whole requests begin with this, which no id of a part contains.
    static constexpr std::string_view RequestPrefix = "request:";

    /// A start of a server has crashed while it began to answer a prompt with these shared parts,
    /// in their order. `undelivered` tells that no event of that answer had been delivered. `tried`
    /// is the part for which the request was a trial, or empty.
    void recordCrash(std::string_view server, std::int64_t startedAtMs,
                     std::span<const std::string> parts, bool undelivered, TimePoint crashedAt,
                     TimePoint now, std::string_view tried = {});
    /// An answer to a prompt with these parts, which began at the given time, has gone on past its
    /// beginning.
    void recordServed(std::span<const std::string> parts, TimePoint begunAt, TimePoint now);
    /// Adds what another host reports.
    void merge(const CrashReports &reports, TimePoint now);

    /// Lets crashes count whose reports by other hosts have had the time to arrive, and forgets
    /// old ones. To be called regularly.
    void refresh(TimePoint now);

    /// What other hosts need to know.
    CrashReports reports(TimePoint now) const;
    /// Crashes among those that are reported whose evidence the archive is not known to hold in
    /// this era of it.
    std::vector<std::string> unarchived(std::uint64_t era, TimePoint now) const;
    /// Reports on these crashes, without those that have been forgotten.
    CrashReports reportsOn(std::span<const std::string> crashes, TimePoint now) const;
    /// The archive holds these reports since the given era. Evidence that came in the meantime is
    /// not archived.
    void recordArchived(const CrashReports &reports, std::uint64_t era);
    /// The first of these parts that is in quarantine.
    std::optional<QuarantinedPart> find(std::span<const std::string> parts, TimePoint now) const;
    /// The first of these parts that is in doubt.
    std::optional<QuarantinedPart> findDoubtful(std::span<const std::string> parts,
                                                TimePoint now) const;
    /// Whether a crash since the given time speaks against this part, of which no answer is known
    /// to have gone on past its beginning.
    bool isSuspect(const std::string &part, TimePoint since) const;
    /// Whether no answer to a prompt with one of these parts is known here to have gone on past its
    /// beginning.
    bool anyUnproven(std::span<const std::string> parts) const;
    /// When this start of a server crashed, if it is known to have crashed.
    std::optional<TimePoint> crashedAt(std::string_view server, std::int64_t startedAtMs) const;
    /// Parts that came into quarantine or doubt, and those that left them, since the last call.
    struct Changes
    {
        std::vector<QuarantinedPart> added;
        std::vector<QuarantinedPart> doubted;
        std::vector<std::string> removed;
    };
    Changes takeChanges();
    /// Whether the reports have changed since the last call.
    bool takeReportsChanged() { return std::exchange(m_reportsChanged, false); }
    std::size_t quarantinedParts() const { return m_quarantined.size(); }

private:
    struct Crash
    {
        TimePoint at {};
        std::map<std::string, SuspectedPart> parts = {};
        /// A part in quarantine explains the crash.
        bool explained = false;
        /// When the evidence changed last.
        TimePoint changedAt {};
        /// The era in which the archive held evidence on the crash, if it ever did.
        std::optional<std::uint64_t> archivedEra = std::nullopt;
        /// The evidence has changed since it was archived.
        bool archiveOutdated = false;

        void noteChange(TimePoint now);
        CrashReport report(TimePoint now) const;
        bool anyUndelivered() const;
        bool hasSuspect() const;
        /// Which crashes are kept and reported if there are too many: the highest.
        std::tuple<bool, bool, TimePoint> importance() const;
    };
    /// All evidence about a part.
    struct Evidence
    {
        std::vector<Crash *> crashes;
        PartStanding standing = PartStanding::Unproven;
        int position = 0;
    };

    /// The crashes that other hosts and the archive need to know, by their key.
    std::vector<std::pair<const std::string *, const Crash *>> reported(TimePoint now) const;
    PartStanding standingOf(const std::string &part, TimePoint crashedAt) const;
    std::optional<TimePoint> servedAt(const std::string &part) const;
    /// Adds a suspected part to a crash, or raises its standing. Returns whether that changed
    /// anything.
    bool addPart(Crash &crash, const std::string &part, SuspectedPart suspected, TimePoint now);
    void dropOldCrashes(TimePoint now);
    void evaluate(TimePoint now);
    std::map<std::string, Evidence> evidence(TimePoint now);
    /// Whether the evidence against a part is enough to stop all requests with it.
    static bool isProven(const std::string &part, const Evidence &against, TimePoint now);
    /// Replaces the parts in quarantine and in doubt, and notes what has changed.
    void replace(std::map<std::string, TimePoint> quarantined,
                 std::map<std::string, TimePoint> doubtful);
    /// The part with the strongest evidence among the crashes that are not explained yet, if it is
    /// enough.
    static const std::string *strongest(const std::map<std::string, Evidence> &evidence);

    std::map<std::string, Crash> m_crashes;
    std::map<std::string, TimePoint> m_quarantined;
    std::map<std::string, TimePoint> m_doubtful;
    /// When the latest answer with a part that went on had begun. The older half is dropped when
    /// the newer one is full.
    std::map<std::string, TimePoint> m_served;
    std::map<std::string, TimePoint> m_servedEarlier;
    TimePoint m_evaluatedAt {};
    Changes m_changes;
    bool m_reportsChanged = false;
};

} // namespace dogwoodvalve
