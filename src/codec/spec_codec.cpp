#include "codec/spec_codec.h"

#include "codec/object_reader.h"

#include <charconv>
#include <cmath>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

constexpr int MaxLayers = 100'000;
constexpr int MaxBatch = 100'000;
constexpr std::int64_t MaxLatencyMicros = 10'000'000;
constexpr double MaxRate = 1e9;

constexpr std::array<std::string_view, 8> KindNames {
    "zone", "link", "server", "pool", "pipeline", "workspace", "placement", "service"};

/// Reads "0-11", or "3" for a single layer.
bool parseLayers(std::string_view text, LayerRange &range)
{
    const char *end = text.data() + text.size();
    auto parsed = std::from_chars(text.data(), end, range.first);
    if (parsed.ec != std::errc())
        return false;
    range.last = range.first;
    if (parsed.ptr != end) {
        if (*parsed.ptr != '-')
            return false;
        parsed = std::from_chars(parsed.ptr + 1, end, range.last);
    }
    return parsed.ec == std::errc() && parsed.ptr == end && range.first >= 0
        && range.first <= range.last && range.last < MaxLayers;
}

std::string layersToText(const LayerRange &range)
{
    return std::to_string(range.first) + '-' + std::to_string(range.last);
}

json labelsToJson(const Labels &labels)
{
    json object = json::object();
    for (const Labels::Pair &pair : labels.pairs())
        object[pair.first] = pair.second;
    return object;
}

ObjectSpec readZone(ObjectReader &reader)
{
    auto spec = std::make_shared<AvailabilityZoneSpec>();
    spec->region = reader.requiredText("region");
    return SpecPointer<AvailabilityZoneSpec>(spec);
}

ObjectSpec readLink(ObjectReader &reader)
{
    auto spec = std::make_shared<LinkSpec>();
    spec->from = reader.requiredText("from");
    spec->to = reader.requiredText("to");
    spec->latency = Duration(reader.integer("latencyMicros", 0, 0, MaxLatencyMicros));
    spec->bandwidth = reader.number("megabytesPerSecond", 1000, 0.001, MaxRate);
    return SpecPointer<LinkSpec>(spec);
}

ObjectSpec readServer(ObjectReader &reader)
{
    auto spec = std::make_shared<BackendServerSpec>();
    spec->address = reader.requiredText("address");
    spec->zone = reader.requiredText("zone");
    spec->labels = reader.labels("labels");
    spec->model = reader.text("model");
    spec->version = reader.text("version");
    spec->adapters = reader.textList("adapters");
    spec->batch = static_cast<int>(reader.integer("batch", 16, 1, MaxBatch));
    spec->draining = reader.flag("draining", false);
    const std::string layers = reader.text("layers", "0-0");
    if (!parseLayers(layers, spec->layers))
        reader.fail("layers", "'" + layers + "' is not a range of layers", "write FIRST-LAST");
    return SpecPointer<BackendServerSpec>(spec);
}

ObjectSpec readPool(ObjectReader &reader)
{
    auto spec = std::make_shared<PoolSpec>();
    spec->servers = reader.selector("servers");
    spec->retryPercent = static_cast<int>(reader.integer("retryPercent", 20, 0, 100));
    spec->subset = static_cast<int>(reader.integer("subset", 64, 1, MaxBatch));
    return SpecPointer<PoolSpec>(spec);
}

ObjectSpec readPipeline(ObjectReader &reader)
{
    auto spec = std::make_shared<PipelineSpec>();
    spec->model = reader.requiredText("model");
    spec->version = reader.text("version");
    spec->adapter = reader.text("adapter");
    spec->pool = reader.requiredText("pool");
    spec->maxTokens = static_cast<int>(reader.integer("maxTokens", 1024, 1, 1'000'000));
    int next = 0;
    for (const std::string &text : reader.textList("stages")) {
        LayerRange range;
        if (!parseLayers(text, range) || range.first != next)
            reader.fail("stages",
                        "stage '" + text + "' does not begin at layer " + std::to_string(next),
                        "list the stages in order, without gap or overlap, as [0-11, 12-23]");
        next = range.last + 1;
        spec->stages.push_back(range);
    }
    if (spec->stages.empty())
        reader.fail("stages", "a pipeline needs at least one stage",
                    "write, for example, stages: [0-11, 12-23]");
    return SpecPointer<PipelineSpec>(spec);
}

ObjectSpec readWorkspace(ObjectReader &reader)
{
    auto spec = std::make_shared<WorkspaceSpec>();
    spec->labels = reader.labels("labels");
    for (const std::string &text : reader.textList("keyHashes")) {
        const Result<KeyHash> hash = keyHashFromHex(text);
        if (hash)
            spec->keyHashes.push_back(hash.value());
        else
            reader.fail("keyHashes", hash.error().message, hash.error().remedy);
    }
    static const json EmptyObject = json::object();
    const json *limits = reader.member("limits");
    ObjectReader limitsReader(limits ? *limits : EmptyObject, reader.pathOf("limits"));
    spec->limits.requestsPerSecond = limitsReader.number("requestsPerSecond", 0, 0, MaxRate);
    spec->limits.concurrentRequests =
        static_cast<int>(limitsReader.integer("concurrentRequests", 0, 0, 1'000'000));
    spec->limits.tokensPerSecond = limitsReader.number("tokensPerSecond", 0, 0, MaxRate);
    spec->limits.weight = limitsReader.number("weight", 1, 0.001, 1000);
    limitsReader.rejectUnknownKeys();
    reader.mergeFailure(limitsReader);
    return SpecPointer<WorkspaceSpec>(spec);
}

ObjectSpec readPlacement(ObjectReader &reader)
{
    auto spec = std::make_shared<PlacementSpec>();
    spec->work = reader.selector("work");
    spec->servers = reader.selector("servers");
    return SpecPointer<PlacementSpec>(spec);
}

ObjectSpec readService(ObjectReader &reader)
{
    auto spec = std::make_shared<ServiceSpec>();
    spec->servers = reader.selector("servers");
    spec->idempotentMethods = reader.textList("idempotentMethods", spec->idempotentMethods);
    return SpecPointer<ServiceSpec>(spec);
}

ObjectSpec readSpecOfKind(ObjectKind kind, ObjectReader &reader)
{
    switch (kind) {
    case ObjectKind::Zone:
        return readZone(reader);
    case ObjectKind::Link:
        return readLink(reader);
    case ObjectKind::Server:
        return readServer(reader);
    case ObjectKind::Pool:
        return readPool(reader);
    case ObjectKind::Pipeline:
        return readPipeline(reader);
    case ObjectKind::Workspace:
        return readWorkspace(reader);
    case ObjectKind::Placement:
        return readPlacement(reader);
    case ObjectKind::Service:
        return readService(reader);
    }
    return readZone(reader);
}

/// Converts each kind of spec to JSON.
struct SpecWriter
{
    json operator()(const SpecPointer<AvailabilityZoneSpec> &spec) const
    {
        return {{"region", spec->region}};
    }

    json operator()(const SpecPointer<LinkSpec> &spec) const
    {
        return {{"from", spec->from},
                {"to", spec->to},
                {"latencyMicros", spec->latency.count()},
                {"megabytesPerSecond", spec->bandwidth}};
    }

    json operator()(const SpecPointer<BackendServerSpec> &spec) const
    {
        json object = {{"address", spec->address},
                       {"zone", spec->zone},
                       {"labels", labelsToJson(spec->labels)},
                       {"batch", spec->batch},
                       {"draining", spec->draining}};
        if (spec->model.empty())
            return object;
        object["model"] = spec->model;
        object["version"] = spec->version;
        object["layers"] = layersToText(spec->layers);
        object["adapters"] = spec->adapters;
        return object;
    }

    json operator()(const SpecPointer<PoolSpec> &spec) const
    {
        return {{"servers", spec->servers.text()},
                {"retryPercent", spec->retryPercent},
                {"subset", spec->subset}};
    }

    json operator()(const SpecPointer<PipelineSpec> &spec) const
    {
        json stages = json::array();
        for (const LayerRange &range : spec->stages)
            stages.push_back(layersToText(range));
        return {{"model", spec->model}, {"version", spec->version}, {"adapter", spec->adapter},
                {"pool", spec->pool},   {"stages", stages},         {"maxTokens", spec->maxTokens}};
    }

    json operator()(const SpecPointer<WorkspaceSpec> &spec) const
    {
        json hashes = json::array();
        for (const KeyHash &hash : spec->keyHashes)
            hashes.push_back(toHex(hash));
        const WorkspaceLimits &limits = spec->limits;
        return {{"labels", labelsToJson(spec->labels)},
                {"keyHashes", hashes},
                {"limits",
                 {{"requestsPerSecond", limits.requestsPerSecond},
                  {"concurrentRequests", limits.concurrentRequests},
                  {"tokensPerSecond", limits.tokensPerSecond},
                  {"weight", limits.weight}}}};
    }

    json operator()(const SpecPointer<PlacementSpec> &spec) const
    {
        return {{"work", spec->work.text()}, {"servers", spec->servers.text()}};
    }

    json operator()(const SpecPointer<ServiceSpec> &spec) const
    {
        return {{"servers", spec->servers.text()}, {"idempotentMethods", spec->idempotentMethods}};
    }
};

} // namespace

std::string_view toString(ObjectKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

Result<ObjectKind> objectKindFromString(std::string_view text)
{
    for (std::size_t i = 0; i < KindNames.size(); ++i) {
        if (KindNames.at(i) == text)
            return static_cast<ObjectKind>(i);
    }
    return Error {ErrorKind::InvalidArgument, "unknown kind '" + std::string(text) + "'",
                  "use zone, link, server, pool, pipeline, workspace, placement or service"};
}

std::string ObjectId::describe() const
{
    return std::string(toString(kind)) + '/' + name;
}

Result<ObjectSpec> readSpec(ObjectKind kind, const json &object, std::string *failedPath)
{
    ObjectReader reader(object, "");
    ObjectSpec spec = readSpecOfKind(kind, reader);
    reader.rejectUnknownKeys();
    if (!reader.failure())
        return spec;
    if (failedPath)
        *failedPath = reader.failedPath();
    return *reader.failure();
}

json writeSpec(const ObjectSpec &spec)
{
    return std::visit(SpecWriter {}, spec);
}

std::string toHex(const KeyHash &hash)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : hash) {
        text += Digits[byte >> 4];
        text += Digits[byte & 15];
    }
    return text;
}

Result<KeyHash> keyHashFromHex(std::string_view text)
{
    KeyHash hash {};
    const Error error {ErrorKind::InvalidArgument, "a key hash has 64 hexadecimal digits",
                       "compute it with: printf KEY | sha256sum"};
    if (text.size() != hash.size() * 2)
        return error;
    for (std::size_t i = 0; i < hash.size(); ++i) {
        const char *begin = text.data() + 2 * i;
        const auto parsed = std::from_chars(begin, begin + 2, hash[i], 16);
        if (parsed.ec != std::errc() || parsed.ptr != begin + 2)
            return error;
    }
    return hash;
}

} // namespace dogwoodvalve
