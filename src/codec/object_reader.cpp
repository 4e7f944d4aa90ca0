#include "codec/object_reader.h"

#include <algorithm>

namespace dogwoodvalve {

using nlohmann::json;

ObjectReader::ObjectReader(const json &object, std::string path)
    : m_object(object)
    , m_path(std::move(path))
{
    if (!m_object.is_object())
        fail("", "a mapping of keys to values is expected", "write 'key: value' lines");
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    if (m_path.empty() || key.empty())
        return m_path + std::string(key);
    return m_path + '.' + std::string(key);
}

void ObjectReader::fail(std::string_view key, const std::string &message, std::string remedy)
{
    if (m_failure)
        return;
    m_failedPath = pathOf(key);
    m_failure = Error {ErrorKind::InvalidArgument,
                       (m_failedPath.empty() ? "" : "key '" + m_failedPath + "': ") + message,
                       std::move(remedy)};
}

void ObjectReader::mergeFailure(const ObjectReader &nested)
{
    if (m_failure || !nested.m_failure)
        return;
    m_failure = nested.m_failure;
    m_failedPath = nested.m_failedPath;
}

const json *ObjectReader::member(std::string_view key)
{
    m_readKeys.emplace_back(key);
    if (!m_object.is_object())
        return nullptr;
    const auto it = m_object.find(m_readKeys.back());
    return it == m_object.end() || it->is_null() ? nullptr : &*it;
}

std::string ObjectReader::text(std::string_view key, std::string defaultValue)
{
    const json *value = member(key);
    if (!value)
        return defaultValue;
    if (!value->is_string()) {
        fail(key, "text is expected", "put the value in quotes");
        return defaultValue;
    }
    return value->get<std::string>();
}

std::string ObjectReader::requiredText(std::string_view key)
{
    std::string value = text(key);
    if (value.empty())
        fail(key, "a value is required", "add the key '" + std::string(key) + "'");
    return value;
}

bool ObjectReader::flag(std::string_view key, bool defaultValue)
{
    const json *value = member(key);
    if (!value)
        return defaultValue;
    if (!value->is_boolean()) {
        fail(key, "true or false is expected", "write true or false without quotes");
        return defaultValue;
    }
    return value->get<bool>();
}

std::int64_t ObjectReader::integer(std::string_view key, std::int64_t defaultValue,
                                   std::int64_t min, std::int64_t max)
{
    const json *value = member(key);
    if (!value)
        return defaultValue;
    const bool fits = value->is_number_integer()
        && (!value->is_number_unsigned()
            || value->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
    if (!fits || value->get<std::int64_t>() < min || value->get<std::int64_t>() > max) {
        fail(key, "a whole number is expected",
             "give a number from " + std::to_string(min) + " to " + std::to_string(max));
        return defaultValue;
    }
    return value->get<std::int64_t>();
}

double ObjectReader::number(std::string_view key, double defaultValue, double min, double max)
{
    const json *value = member(key);
    if (!value)
        return defaultValue;
    if (!value->is_number() || !(value->get<double>() >= min && value->get<double>() <= max)) {
        fail(key, "a number in range is expected",
             "give a number from " + json(min).dump() + " to " + json(max).dump());
        return defaultValue;
    }
    return value->get<double>();
}

std::vector<std::string> ObjectReader::textList(std::string_view key,
                                                std::vector<std::string> defaultValue)
{
    const json *value = member(key);
    if (!value)
        return defaultValue;
    std::vector<std::string> list;
    const bool allText = value->is_array()
        && std::all_of(value->begin(), value->end(), [](const json &it) { return it.is_string(); });
    if (!allText) {
        fail(key, "a list of text is expected", "write [a, b]");
        return defaultValue;
    }
    for (const json &it : *value)
        list.push_back(it.get<std::string>());
    return list;
}

Labels ObjectReader::labels(std::string_view key)
{
    Labels labels;
    const json *value = member(key);
    if (!value)
        return labels;
    if (!value->is_object()) {
        fail(key, "labels are expected", "write a mapping of label names to values");
        return labels;
    }
    for (const auto &[name, it] : value->items()) {
        if (it.is_string())
            labels.set(name, it.get<std::string>());
        else if (it.is_number() || it.is_boolean())
            labels.set(name, it.dump());
        else
            fail(key, "label '" + name + "' is not text, a number or a boolean",
                 "give it a plain value");
    }
    return labels;
}

Selector ObjectReader::selector(std::string_view key)
{
    const std::string expression = text(key, "all");
    Result<Selector> parsed = Selector::parse(expression);
    if (parsed)
        return parsed.value();
    fail(key, parsed.error().message, parsed.error().remedy);
    return {};
}

void ObjectReader::rejectUnknownKeys()
{
    if (!m_object.is_object())
        return;
    for (const auto &[key, value] : m_object.items()) {
        if (std::find(m_readKeys.begin(), m_readKeys.end(), key) != m_readKeys.end())
            continue;
        std::string known;
        for (const std::string &it : m_readKeys)
            known += (known.empty() ? "" : ", ") + it;
        fail(key, "unknown key", "known keys here: " + known);
    }
}

} // namespace dogwoodvalve
