#include <dogwoodvalve/relayed_loads.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// A report counts as complete if it contains this share of the hosts of the largest one.
constexpr double MinHostsShare = 0.9;

} // namespace

std::string_view toString(ExchangeMode mode)
{
    switch (mode) {
    case ExchangeMode::Direct:
        return "direct";
    case ExchangeMode::Member:
        return "member";
    case ExchangeMode::Relay:
        return "relay";
    }
    return "direct";
}

void RelayedLoads::setMode(ExchangeMode mode)
{
    if (std::exchange(m_mode, mode) != mode)
        sumUp();
}

bool RelayedLoads::apply(const RelayDigest &digest, TimePoint now)
{
    const HostDigest &relay = digest.relay;
    const auto known = m_reports.find(relay.name);
    if (known != m_reports.end()
        && std::pair(relay.startedAtMs, relay.sequence)
            <= std::pair(known->second.startedAtMs, known->second.sequence))
        return false;
    m_reports[relay.name] = {relay.zone,   relay.startedAtMs, relay.sequence,
                             digest.hosts, digest.totals,     digest.demand,
                             now};
    sumUp();
    return true;
}

void RelayedLoads::expire(TimePoint now)
{
    const auto n = std::erase_if(
        m_reports, [now](const auto &it) { return now - it.second.receivedAt > MaxReportAge; });
    if (n > 0)
        sumUp();
}

void RelayedLoads::setOwnLoad(const HostDigest &digest)
{
    m_ownLoad.clear();
    for (const auto &[server, amount] : digest.commitments)
        m_ownLoad[server].committed = amount;
    for (const auto &[server, ms] : digest.backlogMs)
        m_ownLoad[server].backlogMs = ms;
    for (const auto &[server, n] : digest.inFlight)
        m_ownLoad[server].inFlight = n;
    m_ownDemand = digest.demand.value_or(DemandTotals {});
}

bool RelayedLoads::isUsed(const Report &report) const
{
    if (m_mode == ExchangeMode::Direct || report.hosts == 0)
        return false;
    return (report.zone == m_ownZone) == (m_mode == ExchangeMode::Member);
}

/// Uses one report for each zone, since the relays of a zone report the same hosts: the newest one
/// of a relay that hears about as many hosts as any. One that has just started hears few.
void RelayedLoads::sumUp()
{
    std::map<std::string_view, TimePoint> newest;
    for (const auto &[relay, report] : m_reports)
        newest[report.zone] = std::max(newest[report.zone], report.receivedAt);
    std::map<std::string_view, int> mostHosts;
    for (const auto &[relay, report] : m_reports) {
        if (newest[report.zone] - report.receivedAt <= FreshReportAge)
            mostHosts[report.zone] = std::max(mostHosts[report.zone], report.hosts);
    }
    std::map<std::string_view, const Report *> bestOfZone;
    for (const auto &[relay, report] : m_reports) {
        if (!isUsed(report) || report.hosts < mostHosts[report.zone] * MinHostsShare)
            continue;
        const Report *&best = bestOfZone[report.zone];
        if (!best || report.receivedAt > best->receivedAt)
            best = &report;
    }
    m_totals.clear();
    m_demand = {};
    m_hosts = 0;
    for (const auto &[zone, report] : bestOfZone) {
        m_hosts += report->hosts;
        m_demand.add(report->demand);
        for (const auto &[server, load] : report->totals)
            m_totals[server].add(load);
    }
}

LoadTotals RelayedLoads::load(std::string_view server) const
{
    const auto it = m_totals.find(server);
    LoadTotals load = it == m_totals.end() ? LoadTotals {} : it->second;
    if (m_mode != ExchangeMode::Member)
        return load;
    if (const auto own = m_ownLoad.find(server); own != m_ownLoad.end()) {
        load.committed = std::max(0.0, load.committed - own->second.committed);
        load.backlogMs = std::max(0.0, load.backlogMs - own->second.backlogMs);
        load.inFlight = std::max(0, load.inFlight - own->second.inFlight);
    }
    return load;
}

DemandReport RelayedLoads::demand() const
{
    DemandReport demand = m_demand;
    if (m_mode != ExchangeMode::Member)
        return demand;
    demand.hosts = std::max(0, demand.hosts - 1);
    for (const auto &[key, own] : m_ownDemand) {
        const auto it = demand.totals.find(key);
        if (it == demand.totals.end())
            continue;
        it->second.subtract(own);
    }
    return demand;
}

} // namespace dogwoodvalve
