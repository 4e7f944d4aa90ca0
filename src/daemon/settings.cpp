#include "daemon/settings.h"

#include "daemon/settings_fields.h"
#include "net/endpoint.h"

#include <dogwoodvalve/routing.h>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

constexpr std::size_t MinSecretBytes = 16;

const json &memberOrEmpty(ObjectReader &reader, std::string_view key)
{
    static const json Empty = json::object();
    const json *part = reader.member(key);
    return part ? *part : Empty;
}

void readIdentity(ObjectReader &reader, EntrySettings &settings)
{
    settings.name = reader.requiredText("name");
    if (settings.name.find_first_of("/. \t") != std::string::npos)
        reader.fail("name", "a name must not contain '/', '.', a space or a tab",
                    "use letters, digits and '-'");
    settings.region = reader.requiredText("region");
    settings.zone = reader.requiredText("zone");
    settings.listen = readAddress(reader, "listen");
    settings.operatorListen = readAddress(reader, "operatorListen");
    settings.peerListen = readAddress(reader, "peerListen");
    settings.platform = readAddress(reader, "platform");
    settings.seeds = reader.textList("seeds");
    for (const std::string &seed : settings.seeds) {
        const auto endpoint = parseEndpoint(seed);
        if (!endpoint)
            reader.fail("seeds", endpoint.error().message, endpoint.error().remedy);
    }
}

void readSecrets(ObjectReader &reader, EntrySettings &settings)
{
    settings.operatorToken = reader.requiredText("operatorToken");
    const json *list = reader.member("peerSecrets");
    if (!list || !list->is_array() || list->empty()) {
        reader.fail("peerSecrets", "a list with at least one secret is required",
                    "add '- {id: 1, secret: TEXT}', the same on all entry hosts");
        return;
    }
    for (const json &it : *list) {
        ObjectReader part(it, reader.pathOf("peerSecrets"));
        PeerSecret secret;
        secret.id = static_cast<std::uint8_t>(part.integer("id", 0, 0, 254));
        secret.secret = part.requiredText("secret");
        if (secret.secret.size() < MinSecretBytes)
            part.fail("secret", "the secret is too short", "use at least 16 characters");
        part.rejectUnknownKeys();
        reader.mergeFailure(part);
        settings.peerSecrets.push_back(secret);
    }
}

void readLimits(ObjectReader &reader, EntrySettings &settings)
{
    ObjectReader part(memberOrEmpty(reader, "limits"), reader.pathOf("limits"));
    HttpServerLimits &http = settings.http;
    const auto bytes = [&part](std::string_view key, std::size_t fallback, std::int64_t most) {
        return static_cast<std::size_t>(
            part.integer(key, static_cast<std::int64_t>(fallback), 1024, most));
    };
    http.maxHeaderBytes = bytes("headerBytes", http.maxHeaderBytes, 1 << 20);
    http.maxBodyBytes = bytes("bodyBytes", http.maxBodyBytes, 1LL << 32);
    http.maxConnections = static_cast<std::size_t>(
        part.integer("connections", static_cast<std::int64_t>(http.maxConnections), 1, 1'000'000));
    settings.machine = readMachineSize(part);
    http.headerTimeout = readMillis(part, "headerTimeoutMs", http.headerTimeout);
    http.idleTimeout = readMillis(part, "idleTimeoutMs", http.idleTimeout);
    http.stallTimeout = readMillis(part, "stallTimeoutMs", http.stallTimeout);
    settings.queueTimeout = readMillis(part, "queueTimeoutMs", settings.queueTimeout);
    settings.requestTimeout = readMillis(part, "requestTimeoutMs", settings.requestTimeout);
    settings.engineSilenceTimeout =
        readMillis(part, "engineSilenceMs", settings.engineSilenceTimeout);
    settings.homesPerWorkspace =
        static_cast<int>(part.integer("homesPerWorkspace", settings.homesPerWorkspace, 1, 1000));
    settings.keys.epochLength = readMillis(part, "keyEpochMs", settings.keys.epochLength);
    settings.keys.keysPerEpoch = static_cast<std::size_t>(part.integer(
        "keysPerEpoch", static_cast<std::int64_t>(settings.keys.keysPerEpoch), 1, 100'000'000));
    part.rejectUnknownKeys();
    reader.mergeFailure(part);
}

void readLog(ObjectReader &reader, EntrySettings &settings)
{
    ObjectReader part(memberOrEmpty(reader, "log"), reader.pathOf("log"));
    const Result<LogLevel> level = logLevelFromString(part.text("level", "info"));
    if (level)
        settings.logLevel = level.value();
    else
        part.fail("level", level.error().message, level.error().remedy);
    settings.logFile = part.text("file");
    settings.decisionLogRate =
        static_cast<int>(part.integer("decisionsPerSecond", 0, 0, 1'000'000));
    part.rejectUnknownKeys();
    reader.mergeFailure(part);
}

} // namespace

Error errorAtLine(const Error &error, std::string_view file, int line)
{
    return {error.kind, std::string(file) + ':' + std::to_string(line) + ": " + error.message,
            error.remedy};
}

Result<EntrySettings> readSettings(std::string_view yaml, std::string_view file)
{
    const auto read = readSettingsDocument(yaml, file, "docs/entry.sample.yaml");
    if (!read)
        return read.error();
    const YamlDocument &document = read.value();
    EntrySettings settings;
    ObjectReader reader(document.value, "");
    readIdentity(reader, settings);
    readSecrets(reader, settings);
    settings.threads = static_cast<int>(reader.integer("threads", settings.threads, 1, 64));
    settings.policy = reader.text("policy", settings.policy);
    if (const auto policy = makeRoutingPolicy(settings.policy); !policy)
        reader.fail("policy", policy.error().message, policy.error().remedy);
    settings.queue = reader.text("queue", settings.queue);
    if (settings.queue != "weighted-fair" && settings.queue != "priority")
        reader.fail("queue", "unknown queue '" + settings.queue + "'",
                    "use weighted-fair or priority");
    readLimits(reader, settings);
    readLog(reader, settings);
    reader.rejectUnknownKeys();
    if (reader.failure())
        return errorAtLine(*reader.failure(), file, document.lineOf(reader.failedPath()));
    return settings;
}

} // namespace dogwoodvalve
