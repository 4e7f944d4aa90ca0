#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>

namespace review {

using nlohmann::json;

/// The platform's metadata store: keyed topics with one partition, reads that wait, the newest
/// records of a topic, and groups with one partition.
class Store
{
public:
    explicit Store(const Address &address)
        : m_server(address, [this](const Request &request, Connection &connection) {
            handle(request, connection);
        })
    { }

    /// Writes as the operator, a server or another writer does.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        append(topic, key, value);
    }
    void drop(const std::string &topic, const std::string &key) { put(topic, key, ""); }

private:
    struct Topic
    {
        std::deque<std::pair<std::string, std::string>> records;
        std::map<std::string, std::size_t> newest;
    };
    struct Group
    {
        std::uint64_t generation = 0;
        /// In the order in which they joined.
        std::vector<std::pair<std::string, Clock::time_point>> members;
    };

    static void appendNumber(std::string &out, std::uint64_t value, int bytes)
    {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            out += static_cast<char>(value >> shift & 0xff);
    }

    static std::string base64(const std::string &bytes)
    {
        static const char *const Digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t k = 0; k < 3; ++k)
                group = group << 8
                    | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
            for (std::size_t k = 0; k < 4; ++k)
                text += i + k > bytes.size() ? '=' : Digits[group >> (18 - 6 * k) & 63];
        }
        return text;
    }

    void append(const std::string &topic, const std::string &key, const std::string &value)
    {
        Topic &it = m_topics[topic];
        it.records.emplace_back(key, value);
        if (value.empty())
            it.newest.erase(key);
        else
            it.newest[key] = it.records.size() - 1;
        m_changed.notify_all();
    }

    static void reply(Connection &connection, int status, const std::string &body)
    {
        answer(connection, status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
               body);
    }

    void handle(const Request &request, Connection &connection)
    {
        const std::string path = request.path();
        if (path == "/v1/log-read")
            return read(request, connection);
        if (path == "/v1/log-newest")
            return readNewest(request, connection);
        if (path == "/v1/log-append")
            return takeAppend(request, connection);
        if (path == "/v1/log-join")
            return join(request, connection);
        if (path == "/v1/log-leave")
            return leave(request, connection);
        reply(connection, 404, "{}");
    }

    void read(const Request &request, Connection &connection)
    {
        const std::size_t from = std::strtoull(request.query("From").c_str(), nullptr, 10);
        const std::chrono::milliseconds wait(
            std::strtoll(request.query("WaitMs").c_str(), nullptr, 10));
        std::unique_lock lock(m_mutex);
        Topic &topic = m_topics[request.query("Topic")];
        m_changed.wait_for(lock, wait, [&] { return topic.records.size() > from; });
        if (from > topic.records.size()) {
            lock.unlock();
            return reply(connection, 410, R"({"First":0})");
        }
        std::string body;
        appendNumber(body, topic.records.size(), 8);
        appendNumber(body, 0, 8);
        for (std::size_t i = from; i < topic.records.size(); ++i) {
            const auto &[key, value] = topic.records[i];
            appendNumber(body, 1 + key.size() + value.size(), 4);
            body += static_cast<char>(key.size());
            body += key + value;
        }
        lock.unlock();
        reply(connection, 200, body);
    }

    void readNewest(const Request &request, Connection &connection)
    {
        json items = json::array();
        std::unique_lock lock(m_mutex);
        Topic &topic = m_topics[request.query("Topic")];
        for (const auto &[key, offset] : topic.newest)
            items.push_back({{"Key", key},
                             {"Value", base64(topic.records[offset].second)},
                             {"Offset", offset}});
        const json page = {
            {"Items", items}, {"HasMore", false}, {"EndOffset", topic.records.size()}};
        lock.unlock();
        reply(connection, 200, page.dump());
    }

    void takeAppend(const Request &request, Connection &connection)
    {
        const std::string topic = request.query("Topic");
        if (topic == "keyed.op" || topic == "keyed.servers")
            return reply(connection, 403, "{}");
        std::unique_lock lock(m_mutex);
        const std::size_t first = m_topics[topic].records.size();
        std::string_view rest = request.body;
        while (rest.size() > 5) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(rest[static_cast<unsigned>(i)]);
            const std::string_view record = rest.substr(4, length);
            const std::size_t keyBytes = static_cast<unsigned char>(record[0]);
            append(topic, std::string(record.substr(1, keyBytes)),
                   std::string(record.substr(1 + keyBytes)));
            rest.remove_prefix(4 + length);
        }
        const json result = {{"Offset", first}, {"EndOffset", m_topics[topic].records.size()}};
        lock.unlock();
        reply(connection, 200, result.dump());
    }

    void join(const Request &request, Connection &connection)
    {
        const json call = json::parse(request.body, nullptr, false);
        const std::string member = call.at("Member");
        std::unique_lock lock(m_mutex);
        Group &group = m_groups[call.at("group")];
        const auto now = Clock::now();
        const std::size_t before = group.members.size();
        std::erase_if(group.members, [now](const auto &it) { return it.second < now; });
        const bool shrunk = group.members.size() != before;
        const auto until = now + std::chrono::milliseconds(call.at("TtlMs").get<int>());
        const auto known = std::find_if(group.members.begin(), group.members.end(),
                                        [&](const auto &it) { return it.first == member; });
        const bool isNew = known == group.members.end();
        if (isNew)
            group.members.emplace_back(member, until);
        else
            known->second = until;
        if (shrunk || isNew)
            ++group.generation;
        json parts = json::array();
        if (group.members.front().first == member)
            parts.push_back({call.at("Topics").at(0), 0, 0});
        const json result = {{"Generation", group.generation}, {"parts", parts}};
        lock.unlock();
        reply(connection, 200, result.dump());
    }

    void leave(const Request &request, Connection &connection)
    {
        const json call = json::parse(request.body, nullptr, false);
        std::unique_lock lock(m_mutex);
        Group &group = m_groups[call.at("group")];
        std::erase_if(group.members, [&](const auto &it) { return it.first == call.at("Member"); });
        ++group.generation;
        lock.unlock();
        reply(connection, 200, "{}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, Group> m_groups;
    Server m_server;
};

} // namespace review
