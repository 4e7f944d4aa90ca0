#include "gateway/host_digest_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

/// Ages are capped at this, which exceeds every bound that they are compared with.
constexpr Duration MaxAge = 1h;

/// An age as it is sent, in ms.
std::int64_t ageMillis(Duration age)
{
    return std::clamp<Duration>(age, Duration::zero(), MaxAge).count() / 1000;
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
    const json value = {{"n", digest.name},
                        {"z", digest.zone},
                        {"c", digest.callerAddress},
                        {"p", digest.peerAddress},
                        {"b", digest.startedAtMs},
                        {"s", digest.sequence},
                        {"r", digest.ready},
                        {"l", digest.leaving},
                        {"v", digest.configurationVersion},
                        {"va", ageMillis(digest.configurationAge)},
                        {"e", digest.registrationsEnd},
                        {"ea", ageMillis(digest.registrationsAge)},
                        {"k", std::move(commitments)},
                        {"q", std::move(backlog)},
                        {"i", digest.inFlight},
                        {"u", digest.failedProbes},
                        {"w", digest.slowness}};
    return json::to_cbor(value);
}

Result<HostDigest> decodeDigest(std::span<const std::uint8_t> bytes)
{
    const json value = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    try {
        HostDigest digest;
        digest.name = value.at("n");
        digest.zone = value.at("z");
        digest.callerAddress = value.at("c");
        digest.peerAddress = value.at("p");
        digest.startedAtMs = value.at("b");
        digest.sequence = value.at("s");
        digest.ready = value.at("r");
        digest.leaving = value.at("l");
        digest.configurationVersion = value.at("v");
        digest.configurationAge = std::chrono::milliseconds(value.at("va").get<std::int64_t>());
        digest.registrationsEnd = value.at("e");
        digest.registrationsAge = std::chrono::milliseconds(value.at("ea").get<std::int64_t>());
        for (const auto &[server, amount] : value.at("k").items())
            digest.commitments.emplace(server, amount.get<double>());
        for (const auto &[server, ms] : value.at("q").items())
            digest.backlogMs.emplace(server, ms.get<double>());
        for (const auto &[server, n] : value.at("i").items())
            digest.inFlight.emplace(server, n.get<int>());
        digest.failedProbes = value.at("u").get<std::vector<std::string>>();
        for (const auto &[server, factor] : value.at("w").items())
            digest.slowness.emplace(server, factor.get<double>());
        return digest;
    } catch (const json::exception &e) {
        return Error {ErrorKind::Malformed, std::string("unreadable digest: ") + e.what(),
                      "run the same version on all hosts"};
    }
}

} // namespace dogwoodvalve
