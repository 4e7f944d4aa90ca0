#include "gateway/gateway_settings.h"

#include "codec/object_reader.h"
#include "codec/yaml_reader.h"
#include "daemon/settings.h"
#include "net/endpoint.h"

namespace dogwoodvalve {

namespace {

constexpr std::int64_t LongestMillis = 24LL * 3600 * 1000;

Duration readMillis(ObjectReader &reader, std::string_view key, Duration fallback)
{
    return std::chrono::milliseconds(
        reader.integer(key, fallback.count() / 1000, 1, LongestMillis));
}

Duration readSeconds(ObjectReader &reader, std::string_view key, Duration fallback)
{
    constexpr double Micros = 1e6;
    const double seconds = static_cast<double>(fallback.count()) / Micros;
    return Duration(
        static_cast<Duration::rep>(reader.number(key, seconds, 0.001, 86'400) * Micros));
}

std::string readAddress(ObjectReader &reader, std::string_view key)
{
    std::string address = reader.requiredText(key);
    const auto endpoint = parseEndpoint(address);
    if (!address.empty() && !endpoint)
        reader.fail(key, endpoint.error().message, endpoint.error().remedy);
    return address;
}

void readRetries(ObjectReader &reader, RetryAllowance &retries)
{
    static const nlohmann::json Empty = nlohmann::json::object();
    const nlohmann::json *member = reader.member("retries");
    ObjectReader part(member ? *member : Empty, reader.pathOf("retries"));
    retries.window = readSeconds(part, "windowS", retries.window);
    retries.ratio = part.number("ratio", retries.ratio, 0, 10);
    retries.slack = part.number("slack", retries.slack, 0, 1e6);
    part.finish();
    reader.adopt(part);
}

} // namespace

Result<GatewaySettings> readGatewaySettings(std::string_view yaml, std::string_view file)
{
    const auto documents = readYaml(yaml);
    if (!documents)
        return Error {documents.error().kind, std::string(file) + ": " + documents.error().message,
                      documents.error().remedy};
    if (documents.value().size() != 1)
        return Error {ErrorKind::Malformed, std::string(file) + ": settings are one YAML document",
                      "start from docs/gateway.sample.yaml"};
    const YamlDocument &document = documents.value().front();
    GatewaySettings settings;
    ObjectReader reader(document.value, "");
    settings.name = reader.requiredText("name");
    settings.zone = reader.requiredText("zone");
    settings.region = reader.text("region");
    settings.listen = readAddress(reader, "listen");
    settings.lookupListen = readAddress(reader, "lookupListen");
    settings.readinessListen = readAddress(reader, "readinessListen");
    settings.peerListen = readAddress(reader, "peerListen");
    settings.metricsListen = readAddress(reader, "metricsListen");
    settings.store = readAddress(reader, "store");
    settings.grace = readSeconds(reader, "graceS", settings.grace);
    settings.keyRevocation = readMillis(reader, "keyRevocationMs", settings.keyRevocation);
    settings.serverDrain = readMillis(reader, "serverDrainMs", settings.serverDrain);
    settings.lookupTimeToLive = readMillis(reader, "lookupTimeToLiveMs", settings.lookupTimeToLive);
    readRetries(reader, settings.retries);
    const Result<LogLevel> level = logLevelFromString(reader.text("logLevel", "info"));
    if (level)
        settings.logLevel = level.value();
    else
        reader.fail("logLevel", level.error().message, level.error().remedy);
    settings.decisionLogRate =
        static_cast<int>(reader.integer("decisionLogRate", settings.decisionLogRate, 0, 1'000'000));
    reader.finish();
    if (reader.failure())
        return locateError(*reader.failure(), file, document.lineOf(reader.failedPath()));
    return settings;
}

} // namespace dogwoodvalve
