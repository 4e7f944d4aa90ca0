#include "gateway/peers/host_digest_codec.h"

#include "gateway/peers/log_position_json.h"
#include "gateway/peers/suspected_part_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

/// A digest of a relay has this member, which no host's digest has.
constexpr const char *RelayKey = "relay";
constexpr const char *LeavingKey = "l";
constexpr const char *CrashesKey = "c";
constexpr const char *RateLimitsKey = "r";
constexpr const char *DemandKeyName = "d";
constexpr const char *DemandHostsKey = "dh";

/// An age as it is sent, in ms.
std::int64_t ageMillis(Duration age)
{
    return std::clamp<Duration>(age, Duration::zero(), HostDigest::MaxAge).count() / 1000;
}

Duration durationOf(const json &millis)
{
    return std::chrono::milliseconds(millis.get<std::int64_t>());
}

/// The state of a host without its load and its reports.
json encodeState(const HostDigest &digest)
{
    return json::array(
        {digest.name, digest.zone, digest.callerAddress, digest.peerAddress,
         std::llround(digest.linkMbps), digest.startedAtMs, digest.sequence, digest.ready,
         digest.leaving, digest.configurationVersion, ageMillis(digest.configurationAge),
         encodeLogPosition(digest.registrationsEnd), ageMillis(digest.registrationsAge),
         digest.cutOff, ageMillis(digest.uptime)});
}

/// Reads the values in the order in which encodeState writes them.
HostDigest decodeState(const json &value)
{
    HostDigest digest;
    digest.name = value.at(0);
    digest.zone = value.at(1);
    digest.callerAddress = value.at(2);
    digest.peerAddress = value.at(3);
    digest.linkMbps = value.at(4);
    digest.startedAtMs = value.at(5);
    digest.sequence = value.at(6);
    digest.ready = value.at(7);
    digest.leaving = value.at(8);
    digest.configurationVersion = value.at(9);
    digest.configurationAge = durationOf(value.at(10));
    digest.registrationsEnd = decodeLogPosition(value.at(11));
    digest.registrationsAge = durationOf(value.at(12));
    // Hosts of earlier versions do not send the last ones.
    digest.cutOff = value.size() > 13 && value.at(13).get<bool>();
    if (value.size() > 14)
        digest.uptime = durationOf(value.at(14));
    return digest;
}

/// Starts of leaving servers. Hosts of earlier versions do not send them.
std::map<std::string, std::int64_t> decodeLeaving(const json &value)
{
    const auto it = value.find(LeavingKey);
    return it == value.end() ? std::map<std::string, std::int64_t> {}
                             : it->get<std::map<std::string, std::int64_t>>();
}

/// By server and start: the age, the suspected parts, and the era in which the archive held the
/// evidence or null.
json encodeCrashes(const CrashReports &reports)
{
    json value = json::object();
    for (const auto &[server, report] : reports) {
        value[server] = {ageMillis(report.age), encodeSuspectedParts(report.parts), nullptr};
        if (report.archivedEra)
            value[server][2] = *report.archivedEra;
    }
    return value;
}

/// Hosts of earlier versions send none, or none with an era.
CrashReports decodeCrashes(const json &value)
{
    CrashReports reports;
    const auto it = value.find(CrashesKey);
    if (it == value.end())
        return reports;
    for (const auto &[server, report] : it->items()) {
        CrashReport &decoded = reports[server];
        decoded.age = std::max<Duration>(durationOf(report.at(0)), Duration::zero());
        decoded.parts = decodeSuspectedParts(report.at(1));
        if (report.size() > 2 && !report.at(2).is_null())
            decoded.archivedEra = report.at(2).get<std::uint64_t>();
    }
    return reports;
}

/// By server: its start, the limit or null, and the age of the answer.
json encodeRateLimits(const RateLimitReports &reports)
{
    json value = json::object();
    for (const auto &[server, report] : reports)
        value[server] = {report.startedAtMs,
                         report.perSecond ? json(*report.perSecond) : json(nullptr),
                         ageMillis(report.age)};
    return value;
}

/// Hosts of earlier versions send none.
RateLimitReports decodeRateLimits(const json &value)
{
    RateLimitReports reports;
    const auto it = value.find(RateLimitsKey);
    if (it == value.end())
        return reports;
    for (const auto &[server, report] : it->items()) {
        RateLimitReport &decoded = reports[server];
        decoded.startedAtMs = report.at(0);
        if (!report.at(1).is_null())
            decoded.perSecond = std::max(0.0, report.at(1).get<double>());
        decoded.age = std::max<Duration>(durationOf(report.at(2)), Duration::zero());
    }
    return reports;
}

/// By service, rank and workspace: tokens asked per second, held, and released per second, and the
/// token-seconds of the latter.
json encodeDemand(const DemandTotals &totals)
{
    json value = json::object();
    for (const auto &[key, demand] : totals)
        value[key.service][std::to_string(key.rank)][key.workspace] = {
            std::llround(demand.askedPerSecond), std::llround(demand.held),
            std::llround(demand.servedPerSecond), std::llround(demand.servedTokenSeconds)};
    return value;
}

int decodeRank(const std::string &text)
{
    int rank = 0;
    std::from_chars(text.data(), text.data() + text.size(), rank);
    return rank;
}

DemandTotals decodeDemand(const json &value)
{
    DemandTotals totals;
    for (const auto &[service, ranks] : value.items()) {
        for (const auto &[rank, workspaces] : ranks.items()) {
            for (const auto &[workspace, demand] : workspaces.items())
                totals[{service, decodeRank(rank), workspace}] = {
                    std::max(0.0, demand.at(0).get<double>()),
                    std::max(0.0, demand.at(1).get<double>()),
                    std::max(0.0, demand.at(2).get<double>()),
                    std::max(0.0, demand.at(3).get<double>())};
        }
    }
    return totals;
}

Error unreadable(const json::exception &e)
{
    return {ErrorKind::Malformed, std::string("unreadable digest: ") + e.what(),
            "run the same version on all hosts"};
}

HostDigest decodeHostDigest(const json &value)
{
    HostDigest digest = decodeState(value.at("n"));
    for (const auto &[server, amount] : value.at("k").items())
        digest.commitments.emplace(server, amount.get<double>());
    for (const auto &[server, ms] : value.at("q").items())
        digest.backlogMs.emplace(server, ms.get<double>());
    for (const auto &[server, n] : value.at("i").items())
        digest.inFlight.emplace(server, n.get<int>());
    digest.failedProbes = value.at("u").get<std::vector<std::string>>();
    for (const auto &[server, factor] : value.at("w").items())
        digest.slowness.emplace(server, factor.get<double>());
    digest.leavingServers = decodeLeaving(value);
    digest.crashes = decodeCrashes(value);
    digest.rateLimits = decodeRateLimits(value);
    if (const auto it = value.find(DemandKeyName); it != value.end())
        digest.demand = decodeDemand(*it);
    return digest;
}

RelayDigest decodeRelayDigest(const json &value)
{
    RelayDigest digest;
    digest.relay = decodeState(value.at(RelayKey));
    digest.hosts = value.at("hosts");
    for (const auto &[server, load] : value.at("t").items())
        digest.totals[server] = {load.at(0), load.at(1), load.at(2)};
    for (const auto &[server, report] : value.at("w").items())
        digest.slowness[server] = {report.at(0), durationOf(report.at(1))};
    for (const auto &[server, hosts] : value.at("u").items()) {
        for (const auto &[host, age] : hosts.items())
            digest.failedProbes[server][host] = durationOf(age);
    }
    for (const json &host : value.at("o"))
        digest.roster.push_back({decodeState(host.at(0)), durationOf(host.at(1))});
    digest.leavingServers = decodeLeaving(value);
    digest.crashes = decodeCrashes(value);
    digest.rateLimits = decodeRateLimits(value);
    if (const auto it = value.find(DemandKeyName); it != value.end())
        digest.demand = {value.value(DemandHostsKey, 0), decodeDemand(*it)};
    return digest;
}

} // namespace

std::vector<std::uint8_t> encodeDigest(const HostDigest &digest)
{
    json commitments = json::object();
    for (const auto &[server, amount] : digest.commitments)
        commitments[server] = std::llround(amount);
    json backlog = json::object();
    for (const auto &[server, ms] : digest.backlogMs)
        backlog[server] = std::llround(ms);
    json value = {{"n", encodeState(digest)},
                  {"k", std::move(commitments)},
                  {"q", std::move(backlog)},
                  {"i", digest.inFlight},
                  {"u", digest.failedProbes},
                  {"w", digest.slowness},
                  {LeavingKey, digest.leavingServers},
                  {CrashesKey, encodeCrashes(digest.crashes)},
                  {RateLimitsKey, encodeRateLimits(digest.rateLimits)}};
    if (digest.demand)
        value[DemandKeyName] = encodeDemand(*digest.demand);
    return json::to_cbor(value);
}

std::vector<std::uint8_t> encodeRelayDigest(const RelayDigest &digest)
{
    json totals = json::object();
    for (const auto &[server, load] : digest.totals)
        totals[server] = {std::llround(load.committed), std::llround(load.backlogMs),
                          load.inFlight};
    json slowness = json::object();
    for (const auto &[server, report] : digest.slowness)
        slowness[server] = {report.factor, ageMillis(report.age)};
    json failedProbes = json::object();
    for (const auto &[server, hosts] : digest.failedProbes) {
        json &ages = failedProbes[server] = json::object();
        for (const auto &[host, age] : hosts)
            ages[host] = ageMillis(age);
    }
    json roster = json::array();
    for (const RelayedHost &host : digest.roster)
        roster.push_back(json::array({encodeState(host.state), ageMillis(host.age)}));
    const json value = {{RelayKey, encodeState(digest.relay)},
                        {"hosts", digest.hosts},
                        {"t", std::move(totals)},
                        {"w", std::move(slowness)},
                        {"u", std::move(failedProbes)},
                        {"o", std::move(roster)},
                        {LeavingKey, digest.leavingServers},
                        {CrashesKey, encodeCrashes(digest.crashes)},
                        {RateLimitsKey, encodeRateLimits(digest.rateLimits)},
                        {DemandHostsKey, digest.demand.hosts},
                        {DemandKeyName, encodeDemand(digest.demand.totals)}};
    return json::to_cbor(value);
}

void addDelay(PeerDigest &digest, Duration delay)
{
    const auto addToReports = [delay](CrashReports &crashes, RateLimitReports &limits) {
        for (auto &[crash, report] : crashes)
            report.age += delay;
        for (auto &[server, report] : limits)
            report.age += delay;
    };
    const auto addToHost = [&](HostDigest &state) {
        state.configurationAge += delay;
        state.registrationsAge += delay;
        addToReports(state.crashes, state.rateLimits);
    };
    if (auto *host = std::get_if<HostDigest>(&digest))
        return addToHost(*host);
    auto &relayed = std::get<RelayDigest>(digest);
    addToHost(relayed.relay);
    addToReports(relayed.crashes, relayed.rateLimits);
    for (RelayedHost &host : relayed.roster)
        host.age += delay;
    for (auto &[server, report] : relayed.slowness)
        report.age += delay;
    for (auto &[server, hosts] : relayed.failedProbes) {
        for (auto &[host, age] : hosts)
            age += delay;
    }
}

Result<PeerDigest> decodeDigest(std::span<const std::uint8_t> bytes)
{
    const json value = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    try {
        if (value.is_object() && value.contains(RelayKey))
            return PeerDigest {decodeRelayDigest(value)};
        return PeerDigest {decodeHostDigest(value)};
    } catch (const json::exception &e) {
        return unreadable(e);
    }
}

} // namespace dogwoodvalve
