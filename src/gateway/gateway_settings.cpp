#include "gateway/gateway_settings.h"

#include "core/duration_math.h"
#include "daemon/settings.h"
#include "daemon/settings_fields.h"

namespace dogwoodvalve {

namespace {

constexpr double MaxLinkMbps = 1e6;

Duration readSeconds(ObjectReader &reader, std::string_view key, Duration fallback)
{
    return fromSeconds(reader.number(key, inSeconds(fallback), 0.001, 86'400));
}

void readRetries(ObjectReader &reader, RetryAllowance &retries)
{
    static const nlohmann::json Empty = nlohmann::json::object();
    const nlohmann::json *member = reader.member("retries");
    ObjectReader part(member ? *member : Empty, reader.pathOf("retries"));
    retries.window = readSeconds(part, "windowS", retries.window);
    retries.ratio = part.number("ratio", retries.ratio, 0, 10);
    retries.slack = part.number("slack", retries.slack, 0, 1e6);
    part.rejectUnknownKeys();
    reader.mergeFailure(part);
}

} // namespace

Result<GatewaySettings> readGatewaySettings(std::string_view yaml, std::string_view file)
{
    const auto read = readSettingsDocument(yaml, file, "docs/gateway.sample.yaml");
    if (!read)
        return read.error();
    const YamlDocument &document = read.value();
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
    settings.linkMbps = reader.number("linkMbps", settings.linkMbps, 0, MaxLinkMbps);
    settings.machine = readMachineSize(reader);
    readRetries(reader, settings.retries);
    const Result<LogLevel> level = logLevelFromString(reader.text("logLevel", "info"));
    if (level)
        settings.logLevel = level.value();
    else
        reader.fail("logLevel", level.error().message, level.error().remedy);
    settings.decisionLogRate =
        static_cast<int>(reader.integer("decisionLogRate", settings.decisionLogRate, 0, 1'000'000));
    reader.rejectUnknownKeys();
    if (reader.failure())
        return errorAtLine(*reader.failure(), file, document.lineOf(reader.failedPath()));
    return settings;
}

} // namespace dogwoodvalve
