#include "log_store.h"

#include "net/http_text.h"
#include "standin_http.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>

namespace dogwoodvalve::testtool {

using nlohmann::json;

namespace {

constexpr std::size_t MaxBody = 4U << 20;
constexpr int LengthBytes = 4;
constexpr int OffsetBytes = 8;
constexpr int StatusGone = 410;

void appendNumber(std::string &out, std::uint64_t value, int bytes)
{
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift & 0xff);
}

std::string base64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                  reinterpret_cast<const unsigned char *>(bytes.data()),
                                  static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::uint64_t numberIn(const HttpExchange &exchange, std::string_view name)
{
    const std::string text(queryParameter(exchange.target(), name));
    return std::strtoull(text.c_str(), nullptr, 10);
}

std::string topicOf(const HttpExchange &exchange)
{
    return std::string(queryParameter(exchange.target(), "Topic"));
}

} // namespace

void LogStore::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    ++m_calls;
    if (m_faults.refuseWith != 0)
        return exchange->respond(m_faults.refuseWith, eraField(), "");
    const std::string_view path = pathOf(exchange->target());
    if (path == "/v1/log-read")
        return read(exchange);
    if (path == "/v1/log-newest")
        return readNewest(exchange);
    if (path == "/v1/log-append")
        return append(exchange);
    if (path == "/v1/log-join")
        return join(exchange);
    if (path == "/v1/log-leave")
        return leave(exchange);
    exchange->respond(404, eraField(), "");
}

std::vector<HttpField> LogStore::eraField() const
{
    if (!m_sendsEra)
        return {};
    return {{"Store-Era", std::to_string(m_era)}};
}

void LogStore::answer(const std::shared_ptr<HttpExchange> &exchange, int status,
                      const std::string &body)
{
    if (m_faults.refuseWith != 0)
        return exchange->respond(m_faults.refuseWith, eraField(), "");
    if (m_faults.loseAnswers)
        return exchange->abort();
    if (m_faults.slowness == Duration::zero())
        return exchange->respond(status, eraField(), body);
    m_timers.schedule(
        m_timers.now() + m_faults.slowness,
        [exchange, status, body, fields = eraField()] { exchange->respond(status, fields, body); });
}

void LogStore::put(const std::string &topic, const std::string &key,
                   const std::optional<std::string> &value)
{
    Topic &it = m_topics[topic];
    it.records.push_back({key, value, m_timers.now()});
    applyRecord(it, it.end() - 1);
    std::vector<std::function<void()>> waiting;
    const auto range = m_waiting.equal_range(topic);
    for (auto reader = range.first; reader != range.second; ++reader)
        waiting.push_back(reader->second);
    m_waiting.erase(range.first, range.second);
    for (const auto &wake : waiting)
        wake();
}

void LogStore::applyRecord(Topic &topic, std::uint64_t offset)
{
    const Record &record = topic.records[offset];
    if (record.value)
        topic.newest[record.key] = {offset, *record.value};
    else
        topic.newest.erase(record.key);
}

void LogStore::forgetHistory()
{
    for (auto &[name, topic] : m_topics)
        topic.first = topic.end();
}

void LogStore::restoreFromCopy(Duration age)
{
    const TimePoint copiedAt = m_timers.now() - age;
    for (auto &[name, topic] : m_topics) {
        while (!topic.records.empty() && topic.records.back().writtenAt > copiedAt)
            topic.records.pop_back();
        topic.first = std::min(topic.first, topic.end());
        topic.newest.clear();
        for (std::uint64_t offset = 0; offset < topic.end(); ++offset)
            applyRecord(topic, offset);
    }
    while (!m_groupHistory.empty() && m_groupHistory.back().first > copiedAt)
        m_groupHistory.pop_back();
    m_groups =
        m_groupHistory.empty() ? std::map<std::string, Group> {} : m_groupHistory.back().second;
    ++m_era;
}

std::string LogStore::encode(const Topic &topic, std::uint64_t from) const
{
    std::string body;
    appendNumber(body, topic.end(), OffsetBytes);
    appendNumber(body, topic.first, OffsetBytes);
    const std::size_t headBytes = body.size();
    for (std::uint64_t offset = std::max(from, topic.first); offset < topic.end(); ++offset) {
        const Record &record = topic.records[offset];
        const std::size_t recordBytes =
            LengthBytes + 1 + record.key.size() + record.value.value_or("").size();
        if (body.size() > headBytes && body.size() + recordBytes > headBytes + m_maxReadBytes)
            break;
        appendNumber(body, 1 + record.key.size() + record.value.value_or("").size(), LengthBytes);
        body += static_cast<char>(record.key.size());
        body += record.key + record.value.value_or("");
    }
    return body;
}

void LogStore::answerRead(const std::shared_ptr<HttpExchange> &exchange, const std::string &name,
                          std::uint64_t from)
{
    const Topic &topic = m_topics[name];
    if (!topic.has(from))
        return answer(exchange, StatusGone, json {{"First", topic.first}}.dump());
    answer(exchange, 200, encode(topic, from));
}

void LogStore::read(const std::shared_ptr<HttpExchange> &exchange)
{
    ++m_reads;
    const std::string name = topicOf(*exchange);
    const std::uint64_t from = numberIn(*exchange, "From");
    const Topic &topic = m_topics[name];
    const auto wait = std::chrono::milliseconds(numberIn(*exchange, "WaitMs"));
    if (topic.end() != from || wait == Duration::zero())
        return answerRead(exchange, name, from);
    const auto finish = [this, exchange, name, from] {
        if (!exchange->responded())
            answerRead(exchange, name, from);
    };
    m_waiting.emplace(name, finish);
    m_timers.schedule(m_timers.now() + wait, finish);
}

void LogStore::readNewest(const std::shared_ptr<HttpExchange> &exchange)
{
    ++m_reads;
    const Topic &topic = m_topics[topicOf(*exchange)];
    json items = json::array();
    for (const auto &[key, entry] : topic.newest)
        items.push_back({{"Key", key}, {"Value", base64(entry.second)}, {"Offset", entry.first}});
    answer(exchange, 200,
           json {{"Items", items}, {"HasMore", false}, {"EndOffset", topic.end()}}.dump());
}

void LogStore::append(const std::shared_ptr<HttpExchange> &exchange)
{
    exchange->readBody(MaxBody, [this, exchange](const Result<std::string> &body) {
        if (!body || body.value().size() <= LengthBytes)
            return answer(exchange, 400, "");
        std::string_view rest = body.value();
        while (rest.size() > LengthBytes) {
            std::size_t length = 0;
            for (int i = 0; i < LengthBytes; ++i)
                length =
                    length << 8 | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
            const std::string_view record = rest.substr(LengthBytes, length);
            if (record.empty())
                return answer(exchange, 400, "");
            rest.remove_prefix(LengthBytes + record.size());
            const std::size_t keyBytes = static_cast<unsigned char>(record.front());
            const std::string key(record.substr(1, keyBytes));
            const std::string value(record.substr(std::min(record.size(), 1 + keyBytes)));
            put(topicOf(*exchange), key,
                value.empty() ? std::nullopt : std::optional<std::string>(value));
        }
        answer(exchange, 200, json {{"Offset", 0}}.dump());
    });
}

void LogStore::join(const std::shared_ptr<HttpExchange> &exchange)
{
    withJsonBody(exchange, [this, exchange](const json &request) {
        Group &group = m_groups[request.at("group").get<std::string>()];
        const std::string member = request.at("Member");
        const TimePoint now = m_timers.now();
        auto &members = group.members;
        const auto before = members.size();
        std::erase_if(members, [now](const auto &it) { return it.second < now; });
        const auto known = std::find_if(members.begin(), members.end(),
                                        [&](const auto &it) { return it.first == member; });
        const TimePoint until =
            now + std::chrono::milliseconds(request.at("TtlMs").get<std::int64_t>());
        if (known == members.end())
            members.emplace_back(member, until);
        else
            known->second = until;
        if (known == members.end() || members.size() != before) {
            ++group.generation;
            m_groupHistory.emplace_back(now, m_groups);
        }
        json parts = json::array();
        if (members.front().first == member)
            parts.push_back({request.at("Topics").at(0), 0, 0});
        answer(exchange, 200, json {{"Generation", group.generation}, {"parts", parts}}.dump());
    });
}

void LogStore::leave(const std::shared_ptr<HttpExchange> &exchange)
{
    withJsonBody(exchange, [this, exchange](const json &request) {
        Group &group = m_groups[request.at("group").get<std::string>()];
        const std::string member = request.at("Member");
        std::erase_if(group.members, [&](const auto &it) { return it.first == member; });
        ++group.generation;
        m_groupHistory.emplace_back(m_timers.now(), m_groups);
        answer(exchange, 200, "{}");
    });
}

} // namespace dogwoodvalve::testtool
