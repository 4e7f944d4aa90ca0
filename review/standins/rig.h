// Stand-ins for the platform's store, its servers and its clients, and a starter of gateway
// processes, all on loopback. Shared by the scripts of the review. POSIX sockets and threads only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <strings.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using nlohmann::json;

inline const auto Begin = std::chrono::steady_clock::now();

/// Milliseconds since the start of the program.
inline double nowMs()
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - Begin)
        .count();
}

inline void sleepMs(double ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// The record of what was sent, answered and run.
class Record
{
public:
    void open(const std::string &path) { m_out.open(path, std::ios::trunc); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char at[32];
        std::snprintf(at, sizeof at, "%9.3f ", nowMs() / 1000);
        m_out << at << text << '\n';
        m_out.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline Record record;

inline void say(const std::string &text)
{
    record.line(text);
    std::printf("%8.3f %s\n", nowMs() / 1000, text.c_str());
    std::fflush(stdout);
}

// ---------------------------------------------------------------------------- HTTP

struct Message
{
    /// The request line or the status line.
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    /// The whole body has arrived.
    bool whole = false;

    std::string field(const char *name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return {};
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto first = start.find(' ');
        return start.substr(first + 1, start.rfind(' ') - first - 1);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    std::string query(const std::string &name) const
    {
        std::string text = target();
        const auto mark = text.find('?');
        if (mark == std::string::npos)
            return {};
        std::stringstream rest(text.substr(mark + 1));
        for (std::string pair; std::getline(rest, pair, '&');) {
            if (pair.rfind(name + "=", 0) == 0)
                return unescape(pair.substr(name.size() + 1));
        }
        return {};
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }

    static std::string unescape(const std::string &text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }
};

/// A connected socket with a buffer of what was read and not used yet.
class Stream
{
public:
    explicit Stream(int fd)
        : m_fd(fd)
    { }

    int fd() const { return m_fd; }

    /// Reads more bytes. False at the end, on an error, or when nothing came by the time.
    bool more(double untilMs)
    {
        pollfd waiting {m_fd, POLLIN, 0};
        const int wait = static_cast<int>(std::max(0.0, untilMs - nowMs()));
        if (::poll(&waiting, 1, wait) <= 0) {
            m_timedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t n = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            m_reset = n < 0;
            m_ended = true;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    bool readHead(Message &message, double untilMs)
    {
        std::size_t end;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(untilMs))
                return false;
        }
        std::stringstream head(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        std::getline(head, message.start);
        message.start.pop_back();
        for (std::string line; std::getline(head, line) && line.size() > 1;) {
            line.pop_back();
            const auto colon = line.find(':');
            auto value = line.substr(colon + 1);
            while (!value.empty() && value.front() == ' ')
                value.erase(0, 1);
            message.fields.emplace_back(line.substr(0, colon), value);
        }
        return true;
    }

    /// Reads the body by its framing. An answer without framing ends with the connection.
    void readBody(Message &message, double untilMs, bool isAnswer)
    {
        const std::string length = message.field("Content-Length");
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            for (;;) {
                std::size_t end;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!more(untilMs))
                        return;
                }
                const std::size_t n = std::stoul(m_buffer.substr(0, end), nullptr, 16);
                while (m_buffer.size() < end + 2 + n + 2) {
                    if (!more(untilMs))
                        return;
                }
                message.body += m_buffer.substr(end + 2, n);
                m_buffer.erase(0, end + 2 + n + 2);
                if (n == 0) {
                    message.whole = true;
                    return;
                }
            }
        }
        if (!length.empty() || !isAnswer) {
            const std::size_t n = length.empty() ? 0 : std::stoul(length);
            while (m_buffer.size() < n) {
                if (!more(untilMs))
                    return;
            }
            message.body = m_buffer.substr(0, n);
            m_buffer.erase(0, n);
            message.whole = true;
            return;
        }
        while (more(untilMs)) { }
        message.body = std::exchange(m_buffer, {});
        message.whole = m_ended && !m_reset;
    }

    bool write(const std::string &bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Whether the peer has closed or reset the connection.
    bool peerGone() const
    {
        char byte;
        const ssize_t n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    bool timedOut() const { return m_timedOut; }

private:
    int m_fd;
    std::string m_buffer;
    bool m_ended = false;
    bool m_reset = false;
    bool m_timedOut = false;
};

inline sockaddr_in endpoint(const std::string &address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    const auto colon = address.find(':');
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return out;
}

inline int dial(const std::string &address, double timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto to = endpoint(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        pollfd waiting {fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&waiting, 1, static_cast<int>(timeoutMs)) <= 0
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline void resetClose(int fd)
{
    const linger now {1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
}

/// Accepts connections on an address; each is handled on a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Stream &)>;

    ~Listener() { stop(false); }

    bool start(const std::string &address, Handler handler)
    {
        m_shared = std::make_shared<Shared>();
        m_shared->handler = std::move(handler);
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto at = endpoint(address);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0
            || ::listen(m_fd, 1024) != 0) {
            ::close(m_fd);
            m_fd = -1;
            return false;
        }
        m_thread = std::thread([fd = m_fd, shared = m_shared] { accept(fd, shared); });
        return true;
    }

    /// Closes the port and, if asked, shuts all connections down, as the end of a process does.
    void stop(bool endConnections)
    {
        if (m_fd < 0)
            return;
        m_shared->stopped = true;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        m_fd = -1;
        if (endConnections) {
            const std::lock_guard lock(m_shared->mutex);
            for (const int fd : m_shared->open)
                ::shutdown(fd, SHUT_RDWR);
        }
    }
    bool running() const { return m_fd >= 0; }

private:
    struct Shared
    {
        std::mutex mutex;
        std::set<int> open;
        Handler handler;
        std::atomic<bool> stopped {false};
    };

    static void accept(int listening, const std::shared_ptr<Shared> &shared)
    {
        while (!shared->stopped) {
            const int fd = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (shared->stopped)
                    return;
                sleepMs(1);
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(shared->mutex);
                shared->open.insert(fd);
            }
            std::thread([fd, shared] {
                Stream stream(fd);
                shared->handler(stream);
                const std::lock_guard lock(shared->mutex);
                shared->open.erase(fd);
                ::close(fd);
            }).detach();
        }
    }

    int m_fd = -1;
    std::shared_ptr<Shared> m_shared;
    std::thread m_thread;
};

inline std::string answerText(int status,
                              const std::vector<std::pair<std::string, std::string>> &fields,
                              const std::string &body, bool keep = true)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : fields)
        out += name + ": " + value + "\r\n";
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!keep)
        out += "Connection: close\r\n";
    return out + "\r\n" + body;
}

// ---------------------------------------------------------------------------- the store

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t n = 0;
        for (std::size_t j = 0; j < 3; ++j)
            n = n << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (int j = 0; j < 4; ++j)
            out += i + static_cast<std::size_t>(j) > bytes.size() ? '='
                                                                  : digits[n >> (18 - 6 * j) & 63];
    }
    return out;
}

inline void bigEndian(std::string &out, std::uint64_t value, int bytes)
{
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift & 0xff);
}

/// The platform's metadata store: keyed topics and one group. Each gateway has an address of its
/// own for it, a "view", so that the store can turn single machines away.
class Store
{
public:
    /// How the store treats a machine.
    enum Mode { Serves, Silent, Busy };

    /// Changes the value of a server's entry for a machine, as network address translation would.
    std::function<std::string(const std::string &value, int view)> translate;

    bool listen(const std::string &address, int view)
    {
        auto listener = std::make_unique<Listener>();
        const bool ok =
            listener->start(address, [this, view](Stream &stream) { serve(stream, view); });
        m_listeners.push_back(std::move(listener));
        return ok;
    }

    void setMode(int view, Mode mode)
    {
        const std::lock_guard lock(m_mutex);
        m_modes[view] = mode;
        m_changed.notify_all();
    }

    void setAll(Mode mode)
    {
        const std::lock_guard lock(m_mutex);
        setAllLocked(mode);
    }

    /// Appends a record, and from that moment on treats all machines in the given way.
    void putAs(const std::string &topic, const std::string &key, const std::string &value,
               Mode mode)
    {
        const std::lock_guard lock(m_mutex);
        setAllLocked(mode);
        append(topic, key, value);
    }

    /// Appends a record; no value removes the key. Returns when the store has acknowledged it.
    void put(const std::string &topic, const std::string &key,
             const std::optional<std::string> &value)
    {
        const std::lock_guard lock(m_mutex);
        append(topic, key, value);
    }

    /// Refreshes a server's entry; an entry that isn't refreshed for three intervals is removed.
    void beat(const std::string &id, const std::string &value, double intervalMs)
    {
        const std::lock_guard lock(m_mutex);
        append("keyed.servers", id, value);
        m_expires[id] = nowMs() + 3 * intervalMs;
    }

    void start()
    {
        m_expiry = std::thread([this] {
            while (!m_stop) {
                sleepMs(100);
                const std::lock_guard lock(m_mutex);
                for (auto it = m_expires.begin(); it != m_expires.end();) {
                    if (it->second > nowMs()) {
                        ++it;
                        continue;
                    }
                    append("keyed.servers", it->first, std::nullopt);
                    it = m_expires.erase(it);
                }
            }
        });
    }
    /// The server has left: its entry is removed at once.
    void remove(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        append("keyed.servers", id, std::nullopt);
        m_expires.erase(id);
    }
    void stop()
    {
        m_stop = true;
        m_changed.notify_all();
        if (m_expiry.joinable())
            m_expiry.join();
        for (auto &it : m_listeners)
            it->stop(true);
    }

private:
    struct Topic
    {
        std::vector<std::pair<std::string, std::optional<std::string>>> records;
        std::map<std::string, std::size_t> newest;
    };
    struct Member
    {
        double expires = 0;
        std::uint64_t generation = 0;
    };

    static constexpr int Partitions = 12;

    void setAllLocked(Mode mode)
    {
        for (std::size_t view = 0; view < m_listeners.size(); ++view)
            m_modes[static_cast<int>(view)] = mode;
        m_changed.notify_all();
    }

    void append(const std::string &topic, const std::string &key,
                const std::optional<std::string> &value)
    {
        Topic &it = m_topics[topic];
        it.records.emplace_back(key, value);
        if (value)
            it.newest[key] = it.records.size() - 1;
        else
            it.newest.erase(key);
        m_changed.notify_all();
    }

    std::string shown(const std::string &topic, const std::string &value, int view) const
    {
        return topic == "keyed.servers" && translate ? translate(value, view) : value;
    }

    void serve(Stream &stream, int view)
    {
        for (;;) {
            Message request;
            if (!stream.readHead(request, nowMs() + 60'000))
                return;
            stream.readBody(request, nowMs() + 5'000, false);
            std::string answer;
            {
                std::unique_lock lock(m_mutex);
                if (m_modes[view] == Silent) {
                    waitWhileSilent(lock, view);
                    return;
                }
                if (m_modes[view] == Busy)
                    answer = answerText(503, {{"Store-Era", "1"}}, "{}");
                else
                    answer = handle(request, view, lock);
                if (m_modes[view] == Busy)
                    answer = answerText(503, {{"Store-Era", "1"}}, "{}");
                if (m_modes[view] == Silent) {
                    waitWhileSilent(lock, view);
                    return;
                }
            }
            sleepMs(4);
            if (!stream.write(answer)
                || strcasecmp(request.field("Connection").c_str(), "close") == 0)
                return;
        }
    }

    /// A call that arrives, or is to be answered, in a partition gets no answer.
    void waitWhileSilent(std::unique_lock<std::mutex> &lock, int view)
    {
        while (m_modes[view] == Silent && !m_stop)
            m_changed.wait_for(lock, std::chrono::milliseconds(200));
    }

    std::string ok(const std::string &body, const char *type = "application/json") const
    {
        return answerText(200, {{"Content-Type", type}, {"Store-Era", "1"}}, body);
    }

    std::string handle(const Message &request, int view, std::unique_lock<std::mutex> &lock)
    {
        const std::string path = request.path();
        const std::string name = request.query("Topic");
        if (path == "/v1/log-newest") {
            Topic &topic = m_topics[name];
            json items = json::array();
            const std::string after = request.query("After");
            for (const auto &[key, offset] : topic.newest) {
                if (key > after || after.empty())
                    items.push_back(
                        {{"Key", key},
                         {"Value", base64(shown(name, *topic.records[offset].second, view))},
                         {"Offset", offset}});
            }
            return ok(
                json {{"Items", items}, {"HasMore", false}, {"EndOffset", topic.records.size()}}
                    .dump());
        }
        if (path == "/v1/log-read") {
            const std::size_t from = std::stoul(request.query("From"));
            const std::string wait = request.query("WaitMs");
            const double until = nowMs() + (wait.empty() ? 0 : std::stod(wait));
            while (m_topics[name].records.size() <= from && nowMs() < until && !m_stop
                   && m_modes[view] == Serves)
                m_changed.wait_for(
                    lock,
                    std::chrono::duration<double, std::milli>(std::min(until - nowMs(), 200.0)));
            const Topic &topic = m_topics[name];
            if (from > topic.records.size())
                return answerText(410, {{"Store-Era", "1"}}, "{\"First\":0}");
            std::string body;
            bigEndian(body, topic.records.size(), 8);
            bigEndian(body, 0, 8);
            for (std::size_t i = from; i < topic.records.size() && body.size() < 900'000; ++i) {
                const auto &[key, value] = topic.records[i];
                const std::string text = value ? shown(name, *value, view) : std::string();
                bigEndian(body, 1 + key.size() + text.size(), 4);
                body += static_cast<char>(key.size());
                body += key + text;
            }
            return ok(body, "application/octet-stream");
        }
        if (path == "/v1/log-append") {
            const std::string &raw = request.body;
            const Topic &topic = m_topics[name];
            const std::size_t offset = topic.records.size();
            for (std::size_t at = 0; at + 4 <= raw.size();) {
                std::size_t n = 0;
                for (int i = 0; i < 4; ++i)
                    n = n << 8 | static_cast<unsigned char>(raw[at + static_cast<std::size_t>(i)]);
                const std::string content = raw.substr(at + 4, n);
                const std::size_t keyBytes = static_cast<unsigned char>(content[0]);
                const std::string value = content.substr(std::min(content.size(), 1 + keyBytes));
                append(name, content.substr(1, keyBytes),
                       value.empty() ? std::nullopt : std::optional(value));
                at += 4 + n;
            }
            return ok(json {{"Offset", offset}, {"EndOffset", topic.records.size()}}.dump());
        }
        if (path == "/v1/log-join") {
            const json body = json::parse(request.body);
            const std::string member = body["Member"];
            pruneMembers();
            if (m_members.count(member) == 0) {
                ++m_generation;
                m_members[member] = {};
                deal();
            }
            m_members[member].expires = nowMs() + body["TtlMs"].get<double>();
            m_members[member].generation = body["Generation"];
            for (int p = 0; p < Partitions; ++p) {
                const std::string owner = m_owner[p];
                const bool released =
                    m_members.count(owner) == 0 || m_members[owner].generation >= m_generation;
                if (owner != m_desired[p] && released)
                    m_owner[p] = m_desired[p];
            }
            json parts = json::array();
            for (int p = 0; p < Partitions; ++p) {
                if (m_owner[p] == member && m_desired[p] == member)
                    parts.push_back({body["Topics"][0], p, 0});
            }
            return ok(
                json {{"Generation", m_generation}, {"TtlMs", body["TtlMs"]}, {"parts", parts}}
                    .dump());
        }
        if (path == "/v1/log-leave") {
            const json body = json::parse(request.body);
            if (m_members.erase(body["Member"].get<std::string>()) > 0) {
                ++m_generation;
                deal();
            }
            return ok("{}");
        }
        return answerText(404, {{"Store-Era", "1"}}, "{}");
    }

    void pruneMembers()
    {
        const auto n =
            std::erase_if(m_members, [](const auto &it) { return it.second.expires < nowMs(); });
        if (n > 0) {
            ++m_generation;
            deal();
        }
    }

    void deal()
    {
        std::vector<std::string> names;
        for (const auto &[name, member] : m_members)
            names.push_back(name);
        for (int p = 0; p < Partitions; ++p)
            m_desired[p] =
                names.empty() ? std::string() : names[static_cast<std::size_t>(p) % names.size()];
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, double> m_expires;
    std::map<int, Mode> m_modes;
    std::map<std::string, Member> m_members;
    std::map<int, std::string> m_owner;
    std::map<int, std::string> m_desired;
    std::uint64_t m_generation = 0;
    std::vector<std::unique_ptr<Listener>> m_listeners;
    std::thread m_expiry;
    std::atomic<bool> m_stop {false};
};

// ---------------------------------------------------------------------------- servers

constexpr double HeartbeatMs = 1200;

/// One server of a service. It has one address for each view, so that single machines can be
/// partitioned from it.
class Server
{
public:
    struct Arrival
    {
        std::string server;
        int view = 0;
        Message request;
        double atMs = 0;
    };
    using Handler = std::function<void(Server &, Stream &, const Arrival &)>;

    /// The address of the server for each view.
    Server(Store &store, std::string name, std::string service, std::string zone,
           std::vector<std::string> addresses)
        : m_store(store)
        , m_name(std::move(name))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_addresses(std::move(addresses))
    { }
    virtual ~Server() { crash(); }

    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    const std::vector<std::string> &addresses() const { return m_addresses; }
    bool up() const { return m_up; }
    int slots = 192;
    std::string kind;
    bool layered = false;
    double loadMs = 0;
    /// Handles a request that is no health check, report or order.
    Handler handler;

    bool boot()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_id = "i-" + m_name + "-" + std::to_string(++m_starts);
            m_born = unixMs();
            m_seq = 0;
            m_orders = 0;
            m_fence = 0;
            m_from = m_end = 0;
            m_up = true;
        }
        m_listeners.clear();
        for (std::size_t view = 0; view < m_addresses.size(); ++view) {
            m_listeners.push_back(std::make_unique<Listener>());
            if (!m_listeners.back()->start(m_addresses[view], [this, view](Stream &stream) {
                    serve(stream, static_cast<int>(view));
                }))
                return false;
        }
        m_beat = std::thread([this, start = m_starts.load()] {
            while (m_up && m_starts == start) {
                publish();
                for (int i = 0; i < 12 && m_up && m_starts == start; ++i)
                    sleepMs(HeartbeatMs / 12);
            }
        });
        return true;
    }

    /// The process ends without a word: its connections and its port are closed.
    void crash()
    {
        if (!m_up.exchange(false))
            return;
        for (auto &it : m_listeners)
            it->stop(true);
        m_beat.join();
    }

    /// The machine of this view is partitioned from the server, or reaches it again.
    void setReachable(int view, bool reachable)
    {
        auto &listener = *m_listeners[static_cast<std::size_t>(view)];
        if (!reachable)
            listener.stop(true);
        else
            listener.start(m_addresses[static_cast<std::size_t>(view)],
                           [this, view](Stream &stream) { serve(stream, view); });
    }

    void publish()
    {
        json entry = {{"Service", m_service}, {"Addr", m_addresses[0]}, {"Zone", m_zone},
                      {"Version", "v1"},      {"Slots", slots},         {"State", "ready"},
                      {"ColdRemainingMs", 0}};
        {
            const std::lock_guard lock(m_mutex);
            if (!m_up)
                return;
            entry["Seq"] = ++m_seq;
            entry["born"] = m_born;
            if (layered) {
                entry["Stage"] = "unified";
                entry["Kind"] = kind;
                entry["Models"] = models();
                entry["Layers"] = layers();
            }
        }
        m_store.beat(m_id, entry.dump(), HeartbeatMs);
    }

private:
    json layers() const { return {{"From", m_from}, {"Target", m_end}, {"Version", 1}}; }
    static json models()
    {
        return json::array({{{"Name", "m"}, {"Version", 1}, {"Adapters", json::array()}}});
    }

    void serve(Stream &stream, int view)
    {
        for (;;) {
            Arrival arrival;
            if (!stream.readHead(arrival.request, nowMs() + 30'000))
                return;
            stream.readBody(arrival.request, nowMs() + 10'000, false);
            arrival.atMs = nowMs();
            arrival.view = view;
            arrival.server = m_id;
            if (!handle(stream, arrival) || !m_up)
                return;
            if (strcasecmp(arrival.request.field("Connection").c_str(), "close") == 0)
                return;
        }
    }

    bool handle(Stream &stream, const Arrival &arrival)
    {
        const Message &request = arrival.request;
        const std::string expected = request.field("X-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return stream.write(answerText(421, {{"X-Instance-Id", m_id}, {"X-Not-Run", "1"}}, ""));
        if (request.path() == "/healthz")
            return stream.write(answerText(200, {{"X-Instance-Id", m_id}}, ""));
        if (layered && request.path() == "/v1/report") {
            const std::lock_guard lock(m_mutex);
            const json report = {{"Stage", "unified"}, {"Models", models()}, {"Layers", layers()},
                                 {"Kind", kind},       {"Busy", m_loading},  {"Seq", m_orders},
                                 {"WaitingReqs", 0},   {"RunningReqs", 0},   {"KvUsed", 0},
                                 {"KvTotal", 800000},  {"Handles", 0},       {"pace", 1.0},
                                 {"born", m_born}};
            return stream.write(
                answerText(200, {{"Content-Type", "application/json"}}, report.dump()));
        }
        if (layered && request.path() == "/v1/order")
            return stream.write(answerText(order(request), {}, "{}"));
        if (!m_up)
            return false;
        handler(*this, stream, arrival);
        return true;
    }

    int order(const Message &request)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || body.value("Op", "") != "place")
            return 400;
        const std::lock_guard lock(m_mutex);
        const std::uint64_t fence = body.value("Fence", std::uint64_t {0});
        if (fence < m_fence)
            return 412;
        m_fence = fence;
        const int from = body["From"];
        const int end = body["Target"];
        if (from == m_from && end == m_end)
            return 200;
        if (m_loading)
            return 409;
        m_loading = true;
        ++m_orders;
        record.line("order " + m_id + " layers " + std::to_string(from) + "-"
                    + std::to_string(end));
        std::thread([this, from, end, start = m_starts.load()] {
            sleepMs(loadMs);
            {
                const std::lock_guard inner(m_mutex);
                m_loading = false;
                if (!m_up || m_starts != start)
                    return;
                m_from = from;
                m_end = end;
            }
            publish();
        }).detach();
        return 202;
    }

    Store &m_store;
    std::string m_name;
    std::string m_service;
    std::string m_zone;
    std::vector<std::string> m_addresses;
    std::mutex m_mutex;
    std::string m_id;
    std::int64_t m_born = 0;
    int m_seq = 0;
    int m_orders = 0;
    std::uint64_t m_fence = 0;
    int m_from = 0;
    int m_end = 0;
    bool m_loading = false;
    std::atomic<bool> m_up {false};
    std::atomic<int> m_starts {0};
    std::vector<std::unique_ptr<Listener>> m_listeners;
    std::thread m_beat;
};

// ---------------------------------------------------------------------------- gateways

/// A gateway process, started with the command and the template of the deploy file.
class Gateway
{
public:
    Gateway(std::string name, std::string zone, std::string ip, std::string store,
            std::string folder)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_ip(std::move(ip))
        , m_store(std::move(store))
        , m_folder(std::move(folder))
    { }
    ~Gateway() { kill(); }

    std::string front() const { return m_ip + ":8227"; }
    std::string ready() const { return m_ip + ":8220"; }
    const std::string &name() const { return m_name; }

    void start()
    {
        const std::map<std::string, std::string> values {{"Node", m_name},
                                                         {"Zone", m_zone},
                                                         {"Region", "tx-central"},
                                                         {"Listen.Front", m_ip + ":8227"},
                                                         {"Ip", m_ip},
                                                         {"Listen.Directory", m_ip + ":8224"},
                                                         {"PortRange.0", "7340"},
                                                         {"Listen.ReadyAddr", m_ip + ":8220"},
                                                         {"Platform.Addr", m_store},
                                                         {"Bounds.GraceS", "8"},
                                                         {"Bounds.RevokeMs", "5000"},
                                                         {"Bounds.DrainMs", "2000"},
                                                         {"Limits.LinkMbps", "1000.0"},
                                                         {"Bounds.BudgetWindowS", "10"},
                                                         {"Bounds.RetryBudgetRatio", "0.2"},
                                                         {"Bounds.BudgetSlack", "198"}};
        std::ifstream in("deploy/gateway.yaml");
        std::stringstream text;
        text << in.rdbuf();
        std::string settings = text.str();
        for (const auto &[name, value] : values) {
            const std::string mark = "{{" + name + "}}";
            for (auto at = settings.find(mark); at != std::string::npos; at = settings.find(mark))
                settings.replace(at, mark.size(), value);
        }
        const std::string file = m_folder + "/" + m_name + ".yaml";
        std::ofstream(file) << settings;
        const std::string log = m_folder + "/" + m_name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            // The gateway ends with this program, however it ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("DOGWOODVALVE_CONFIG", file.c_str(), 1);
            ::execl("target/dogwoodvalve", "target/dogwoodvalve", "gateway", "--settings",
                    file.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    /// Whether the process still runs.
    bool alive() const { return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == 0; }

private:
    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    std::string m_store;
    std::string m_folder;
    pid_t m_pid = -1;
};

// ---------------------------------------------------------------------------- clients

struct Answer
{
    /// 0 if there was none.
    int status = 0;
    bool whole = false;
    /// Without any byte of an answer: the connection was refused, closed or silent.
    std::string loss;
    Message message;
    double sentMs = 0;
    double endedMs = 0;
};

/// One attempt of a client on a new connection.
inline Answer ask(const std::string &gateway, const std::string &method, const std::string &target,
                  const std::vector<std::pair<std::string, std::string>> &fields,
                  const std::string &body, double deadlineMs)
{
    Answer answer;
    answer.sentMs = nowMs();
    const double until = nowMs() + deadlineMs;
    const int fd = dial(gateway, std::min(1000.0, deadlineMs));
    if (fd < 0) {
        answer.loss = "no connection";
        answer.endedMs = nowMs();
        return answer;
    }
    Stream stream(fd);
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: ficu95.example\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    text += "X-Deadline-Ms: " + std::to_string(static_cast<int>(deadlineMs)) + "\r\n";
    if (method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    stream.write(text + "\r\n" + body);
    if (stream.readHead(answer.message, until)) {
        answer.status = answer.message.status();
        stream.readBody(answer.message, until, true);
        answer.whole = answer.message.whole;
    } else {
        answer.loss = stream.timedOut() ? "deadline" : "connection closed";
    }
    ::close(fd);
    answer.endedMs = nowMs();
    return answer;
}

inline std::string newId()
{
    static std::atomic<std::uint64_t> next {0};
    static const std::uint64_t base = std::random_device {}();
    char text[32];
    std::snprintf(text, sizeof text, "%08llx%08llx", static_cast<unsigned long long>(base),
                  static_cast<unsigned long long>(++next));
    return text;
}

// ---------------------------------------------------------------------------- a run

/// The loopback network 127.A.B.0 of this run, and its temporary folder.
struct Site
{
    Site()
    {
        std::random_device random;
        net = "127." + std::to_string(20 + random() % 200) + "."
            + std::to_string(1 + random() % 250) + ".";
        folder = (std::filesystem::temp_directory_path()
                  / ("dogwoodvalve-review-" + std::to_string(::getpid())))
                     .string();
        std::filesystem::create_directories(folder);
    }
    std::string at(int host, int port) const
    {
        return net + std::to_string(host) + ":" + std::to_string(port);
    }
    std::string ip(int host) const { return net + std::to_string(host); }

    std::string net;
    std::string folder;
};

inline bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Waits until the condition holds. False if it does not within the time.
inline bool waitFor(double timeoutMs, const std::function<bool()> &condition)
{
    for (const double until = nowMs() + timeoutMs; nowMs() < until; sleepMs(50)) {
        if (condition())
            return true;
    }
    return condition();
}

} // namespace rig
