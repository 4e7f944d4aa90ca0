#include "codec/change_codec.h"

#include "codec/object_reader.h"
#include "codec/spec_codec.h"

#include <dogwoodvalve/hash.h>

#include <algorithm>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

/// Bytes of snapshot text in one log record.
constexpr std::size_t SnapshotPartBytes = 128 * 1024;
constexpr std::size_t MaxSnapshotParts = 4096;
/// Incomplete snapshots that are kept while their parts arrive.
constexpr std::size_t MaxPartialSnapshots = 4;

Error malformed(std::string message)
{
    return {ErrorKind::Malformed, std::move(message), "write records with 'dogwoodvalve apply'"};
}

std::string dump(const json &object)
{
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

json operationToJson(const Operation &operation)
{
    json object = {{"kind", toString(operation.id.kind)},
                   {"name", operation.id.name},
                   {"base", operation.baseVersion}};
    if (operation.spec)
        object["spec"] = writeSpec(*operation.spec);
    return object;
}

Result<Operation> operationFromJson(const json &object)
{
    ObjectReader reader(object, "");
    Operation operation;
    const Result<ObjectKind> kind = objectKindFromString(reader.requiredText("kind"));
    operation.id.name = reader.requiredText("name");
    operation.baseVersion = static_cast<std::uint64_t>(reader.integer("base", 0, 0, INT64_MAX));
    const json *spec = reader.member("spec");
    if (reader.failure())
        return *reader.failure();
    if (!kind)
        return kind.error();
    operation.id.kind = kind.value();
    if (!spec)
        return operation;
    Result<ObjectSpec> read = readSpec(operation.id.kind, *spec);
    if (!read)
        return read.error();
    operation.spec = std::move(read).value();
    return operation;
}

json storedObjectToJson(const ObjectId &id, const ConfigurationState::StoredObject &object)
{
    return {{"kind", toString(id.kind)},
            {"name", id.name},
            {"version", object.version},
            {"change", object.changeId},
            {"spec", writeSpec(object.spec)}};
}

/// Removes the first line from a text and returns it without the line break.
std::string_view consumeLine(std::string_view &text)
{
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return line;
}

} // namespace

std::string writeChange(const Change &change)
{
    json operations = json::array();
    for (const Operation &operation : change.operations)
        operations.push_back(operationToJson(operation));
    return dump({{"id", change.id}, {"author", change.author}, {"operations", operations}});
}

Result<Change> readChange(std::string_view record)
{
    const json object = json::parse(record, nullptr, false);
    if (object.is_discarded())
        return malformed("the record is not JSON");
    ObjectReader reader(object, "");
    Change change;
    change.id = reader.requiredText("id");
    change.author = reader.text("author");
    const json *operations = reader.member("operations");
    if (reader.failure())
        return malformed(reader.failure()->message);
    if (!operations || !operations->is_array())
        return malformed("the record has no operations");
    for (const json &it : *operations) {
        Result<Operation> operation = operationFromJson(it);
        if (!operation)
            return operation.error();
        change.operations.push_back(std::move(operation).value());
    }
    return change;
}

json outcomeToJson(const ChangeOutcome &outcome)
{
    return {{"id", outcome.id},
            {"offset", outcome.offset},
            {"accepted", outcome.accepted},
            {"reason", outcome.reason},
            {"conflictsWith", outcome.conflictsWith}};
}

Result<ChangeOutcome> outcomeFromJson(const json &object)
{
    ObjectReader reader(object, "");
    ChangeOutcome outcome;
    outcome.id = reader.text("id");
    outcome.offset = static_cast<LogOffset>(reader.integer("offset", 0, 0, INT64_MAX));
    outcome.accepted = reader.flag("accepted", false);
    outcome.reason = reader.text("reason");
    outcome.conflictsWith = reader.text("conflictsWith");
    if (reader.failure())
        return *reader.failure();
    return outcome;
}

std::string writeSnapshot(const ConfigurationState &state)
{
    std::string text = dump({{"format", 1},
                             {"nextOffset", state.nextOffset()},
                             {"objects", state.objects().size()},
                             {"outcomes", state.outcomes().size()}});
    text += '\n';
    for (const auto &[id, object] : state.objects())
        text += dump(storedObjectToJson(id, object)) + '\n';
    for (const ChangeOutcome &outcome : state.outcomes())
        text += dump(outcomeToJson(outcome)) + '\n';
    return text;
}

Result<void> readSnapshot(std::string_view text, ConfigurationState &state)
{
    const json header = json::parse(consumeLine(text), nullptr, false);
    ObjectReader reader(header, "");
    const std::int64_t format = reader.integer("format", 0, 0, INT64_MAX);
    const auto nextOffset = static_cast<LogOffset>(reader.integer("nextOffset", 0, 0, INT64_MAX));
    const std::int64_t objectCount = reader.integer("objects", 0, 0, INT64_MAX);
    const std::int64_t outcomeCount = reader.integer("outcomes", 0, 0, INT64_MAX);
    if (reader.failure() || format != 1)
        return malformed("the snapshot has an unknown header");
    std::map<ObjectId, ConfigurationState::StoredObject> objects;
    for (std::int64_t i = 0; i < objectCount; ++i) {
        const json line = json::parse(consumeLine(text), nullptr, false);
        ObjectReader object(line, "");
        const Result<ObjectKind> kind = objectKindFromString(object.requiredText("kind"));
        const std::string name = object.requiredText("name");
        const auto version = static_cast<std::uint64_t>(object.integer("version", 0, 0, INT64_MAX));
        const std::string changeId = object.text("change");
        const json *spec = object.member("spec");
        if (object.failure() || !kind || !spec)
            return malformed("the snapshot is cut or damaged");
        Result<ObjectSpec> read = readSpec(kind.value(), *spec);
        if (!read)
            return read.error();
        objects.emplace_hint(
            objects.end(), ObjectId {kind.value(), name},
            ConfigurationState::StoredObject {std::move(read).value(), version, changeId});
    }
    std::deque<ChangeOutcome> outcomes;
    for (std::int64_t i = 0; i < outcomeCount; ++i) {
        Result<ChangeOutcome> outcome =
            outcomeFromJson(json::parse(consumeLine(text), nullptr, false));
        if (!outcome)
            return malformed("the snapshot is cut or damaged");
        outcomes.push_back(std::move(outcome).value());
    }
    state.restore(nextOffset, std::move(objects), std::move(outcomes));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::vector<std::string> splitSnapshot(const std::string &text, LogOffset nextOffset)
{
    const std::size_t parts = (text.size() + SnapshotPartBytes - 1) / SnapshotPartBytes;
    std::vector<std::string> records;
    for (std::size_t i = 0; i < parts; ++i)
        records.push_back(dump({{"nextOffset", nextOffset},
                                {"digest", std::to_string(stableHash(text))},
                                {"part", i},
                                {"parts", parts},
                                {"text", text.substr(i * SnapshotPartBytes, SnapshotPartBytes)}}));
    return records;
}

void SnapshotAssembler::add(std::string_view record)
{
    const json object = json::parse(record, nullptr, false);
    ObjectReader reader(object, "");
    const auto nextOffset = static_cast<LogOffset>(reader.integer("nextOffset", 0, 0, INT64_MAX));
    const std::string digest = reader.requiredText("digest");
    const auto part = static_cast<std::size_t>(reader.integer("part", 0, 0, MaxSnapshotParts));
    const auto parts = static_cast<std::size_t>(reader.integer("parts", 0, 1, MaxSnapshotParts));
    std::string text = reader.text("text");
    if (reader.failure() || part >= parts || nextOffset < m_latestOffset)
        return;
    PartialSnapshot &partial = m_partialSnapshots[nextOffset];
    if (partial.parts != parts || partial.digest != digest)
        partial = PartialSnapshot {digest, parts, std::vector<std::string>(parts)};
    partial.texts[part] = std::move(text);
    std::string assembled;
    for (const std::string &it : partial.texts) {
        if (it.empty())
            break;
        assembled += it;
    }
    if (std::to_string(stableHash(assembled)) == digest) {
        m_latest = std::move(assembled);
        m_latestOffset = nextOffset;
        m_partialSnapshots.erase(m_partialSnapshots.begin(),
                                 m_partialSnapshots.upper_bound(nextOffset));
    }
    while (m_partialSnapshots.size() > MaxPartialSnapshots)
        m_partialSnapshots.erase(m_partialSnapshots.begin());
}

} // namespace dogwoodvalve
