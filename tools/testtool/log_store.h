#pragma once

#include "net/http_server.h"

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dogwoodvalve::testtool {

/// What goes wrong at the store, for all callers.
struct LogStoreFaults
{
    /// Answers with this status instead of doing anything, if not 0.
    int refuseWith = 0;
    /// Does what is asked and answers nothing.
    bool loseAnswers = false;
    Duration slowness {};
};

/// A pretended log service of the platform: keyed topics with one partition, reads that wait, the
/// newest record of each key, and groups whose first member owns all partitions.
class LogStore : public HttpHandler
{
public:
    explicit LogStore(TimerService &timers)
        : m_timers(timers)
    { }

    void handle(const std::shared_ptr<HttpExchange> &exchange) override;

    /// Writes as the operator and the servers do. Without a value, the key is dropped.
    void put(const std::string &topic, const std::string &key,
             const std::optional<std::string> &value);
    /// Drops all records but the newest of each key.
    void forgetHistory();
    /// Comes back from a copy of this age: what was written since is gone, its offsets are given
    /// out again, and the era rises. Reads that wait go on waiting.
    void restoreFromCopy(Duration age);
    /// Sends no era with the answers, as stores without copies do.
    void omitEra() { m_sendsEra = false; }
    void setFaults(const LogStoreFaults &faults) { m_faults = faults; }
    /// Limits the records of an answer to a read, in bytes. At least one record is returned.
    void setMaxReadBytes(std::size_t bytes) { m_maxReadBytes = bytes; }
    int calls() const { return m_calls; }
    int reads() const { return m_reads; }
    /// Records ever written to a topic, and keys that have a value.
    std::size_t recordsOf(const std::string &topic) { return m_topics[topic].records.size(); }
    std::size_t keysOf(const std::string &topic) { return m_topics[topic].newest.size(); }
    /// The member that owns the partitions of a group; empty if there is none.
    std::string ownerOf(const std::string &group) const
    {
        const auto it = m_groups.find(group);
        return it == m_groups.end() || it->second.members.empty()
            ? std::string()
            : it->second.members.front().first;
    }

private:
    struct Record
    {
        std::string key;
        std::optional<std::string> value;
        TimePoint writtenAt {};
    };
    struct Topic
    {
        /// Offset of the oldest record that can be read.
        std::uint64_t first = 0;
        /// All records ever written, by offset.
        std::deque<Record> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;

        std::uint64_t end() const { return records.size(); }
        bool has(std::uint64_t from) const { return from >= first && from <= end(); }
    };
    struct Group
    {
        std::uint64_t generation = 0;
        /// Members in the order in which they joined, with the end of their membership.
        std::vector<std::pair<std::string, TimePoint>> members;
    };

    void answer(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &body);
    std::vector<HttpField> eraField() const;
    static void applyRecord(Topic &topic, std::uint64_t offset);
    /// Answers a read with what the topic has now.
    void answerRead(const std::shared_ptr<HttpExchange> &exchange, const std::string &topic,
                    std::uint64_t from);
    void read(const std::shared_ptr<HttpExchange> &exchange);
    void readNewest(const std::shared_ptr<HttpExchange> &exchange);
    void append(const std::shared_ptr<HttpExchange> &exchange);
    void join(const std::shared_ptr<HttpExchange> &exchange);
    void leave(const std::shared_ptr<HttpExchange> &exchange);
    std::string encode(const Topic &topic, std::uint64_t from) const;

    TimerService &m_timers;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, Group> m_groups;
    /// All states of the groups after each change of a generation.
    std::vector<std::pair<TimePoint, std::map<std::string, Group>>> m_groupHistory;
    std::uint64_t m_era = 1;
    bool m_sendsEra = true;
    LogStoreFaults m_faults;
    std::size_t m_maxReadBytes = 1U << 20;
    /// Reads that wait, by topic and offset.
    std::multimap<std::string, std::function<void()>> m_waiting;
    int m_calls = 0;
    int m_reads = 0;
};

} // namespace dogwoodvalve::testtool
