#pragma once

#include <dogwoodvalve/relay_digest.h>
#include <dogwoodvalve/timer_service.h>

#include <map>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// How a host learns the load of the other hosts.
enum class ExchangeMode {
    /// Each host sends its digest to every other one.
    Direct,
    /// The host sends its digest to the relays of its zone, which send it the load of the fleet.
    Member,
    /// The host sums the digests of its zone's hosts, and exchanges the sums with the relays of the
    /// other zones.
    Relay,
};

std::string_view toString(ExchangeMode mode);

/// The loads that relays report, and their sum. A member takes the load of the fleet from one relay
/// of its zone; a relay adds up one report for each other zone.
class RelayedLoads
{
public:
    explicit RelayedLoads(std::string ownZone)
        : m_ownZone(std::move(ownZone))
    { }

    void setMode(ExchangeMode mode);
    ExchangeMode mode() const { return m_mode; }
    /// Replaces the relay's previous report. Returns false, and changes nothing, if a newer one is
    /// known.
    bool apply(const RelayDigest &digest, TimePoint now);
    /// Drops reports that are too old to be of use.
    void expire(TimePoint now);
    /// Sets the load in this host's last digest. A member subtracts it from the load of the fleet,
    /// which contains it.
    void setOwnLoad(const HostDigest &digest);

    /// The load of other hosts on a server, as far as relays report it.
    LoadTotals load(std::string_view server) const;
    const std::map<std::string, LoadTotals, std::less<>> &totals() const { return m_totals; }
    /// Number of hosts in the totals.
    int hosts() const { return m_hosts; }
    /// The demand at other hosts, as far as relays report it.
    DemandReport demand() const;
    /// The demand at all reported hosts; in a member, this host is one of them.
    const DemandReport &totalDemand() const { return m_demand; }

    /// Without a newer report of a zone, the last one is used for this long: while a host is cut
    /// off, the other hosts' load is better estimated by what it was than by none.
    static constexpr Duration MaxReportAge = std::chrono::seconds(20);
    /// A report counts beside a newer one only if it is not older than this.
    static constexpr Duration FreshReportAge = std::chrono::seconds(2);

private:
    struct Report
    {
        std::string zone;
        std::int64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        int hosts = 0;
        std::map<std::string, LoadTotals> totals;
        DemandReport demand;
        TimePoint receivedAt {};
    };

    bool isUsed(const Report &report) const;
    void sumUp();

    std::string m_ownZone;
    ExchangeMode m_mode = ExchangeMode::Direct;
    std::map<std::string, Report> m_reports;
    std::map<std::string, LoadTotals, std::less<>> m_totals;
    int m_hosts = 0;
    DemandReport m_demand;
    std::map<std::string, LoadTotals, std::less<>> m_ownLoad;
    DemandTotals m_ownDemand;
};

} // namespace dogwoodvalve
