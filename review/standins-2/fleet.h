#pragma once

// Stand-ins for the second review: a small HTTP/1.1 layer on blocking sockets, the platform's
// store, and the gateway processes of one small deployment. Everything listens on 127.0.0.1.

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Seconds since the start of this program.
double now();
void sleepFor(double seconds);
std::int64_t unixMillis();
/// Whether the disruption of the case takes place: TROUBLE is not 0.
bool troubled();

/// Lines that are written to record.txt at the end, in the order of their times.
class Record
{
public:
    void add(const std::string &line);
    void save(const std::string &file);

private:
    std::mutex m_mutex;
    std::vector<std::pair<double, std::string>> m_lines;
};

struct Request
{
    std::string method;
    std::string target;
    /// By name in lower case.
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const;
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string &name) const;
};

struct Response
{
    /// 0 if the connection ended or the time ran out before a final response was complete.
    int status = 0;
    /// Statuses of interim (1xx) responses before it.
    std::vector<int> interim;
    std::map<std::string, std::string> fields;
    std::string body;
    std::string failure;

    std::string field(const std::string &name) const;
};

/// A connection with a buffer of bytes that were received and not yet used.
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    { }
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static int connectTo(int port, double timeout);

    /// False if the peer closed the connection or the time, as now(), is over.
    bool readRequest(Request &request, double until);
    Response readResponse(const std::string &method, double until);
    bool send(const std::string &bytes);
    /// Waits until the peer closes the connection or the time is over.
    bool closedWithin(double seconds);
    void close();
    /// Ends the connection with a reset.
    void reset();
    int fd() const { return m_fd; }

private:
    bool fill(double until);
    bool readLine(std::string &line, double until);
    bool readBytes(std::string &out, std::size_t n, double until);
    bool readBody(const std::map<std::string, std::string> &fields, bool untilClose,
                  std::string &body, double until);

    int m_fd;
    std::string m_buffer;
};

/// Accepts connections, and handles each on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    Server() = default;
    ~Server() { stop(); }
    /// Listens on a free port.
    void start(Handler handler);
    void stop();
    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    int m_fd = -1;
    int m_port = 0;
    std::atomic<bool> m_stopped {false};
    std::thread m_thread;
};

/// The platform's store, as far as the gateway uses it. It is never in trouble.
class Store
{
public:
    Store();
    /// Writes a record of the operator or of a server.
    void put(const std::string &topic, const std::string &key,
             const std::optional<std::string> &value);
    std::string address() const { return m_server.address(); }

private:
    struct Entry
    {
        std::string key;
        std::optional<std::string> value;
    };
    struct Member
    {
        std::string name;
        double until;
    };

    void handle(Connection &connection);
    std::string answer(const Request &request);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Entry>> m_topics;
    std::vector<Member> m_members;
    std::uint64_t m_generation = 0;
    Server m_server;
};

/// Text of a response with a length.
std::string responseText(int status, const std::string &reason,
                         const std::vector<std::pair<std::string, std::string>> &fields,
                         const std::string &body);

int freePort();

/// Gateway processes, started as deploy/system.toml says.
class Gateways
{
public:
    /// The program is target/dogwoodvalve below the root of the repository.
    Gateways(std::string root, std::string folder, std::string storeAddress, int count);
    ~Gateways();

    void start(int i);
    void kill(int i, int signal);
    /// Waits until all are ready; false if that takes too long.
    bool waitUntilReady(double seconds);
    int port(int i) const { return m_hosts[static_cast<std::size_t>(i)].listen; }
    int count() const { return static_cast<int>(m_hosts.size()); }
    /// Whether the process has ended by itself.
    bool ended(int i);
    int pid(int i) const { return m_hosts[static_cast<std::size_t>(i)].pid; }

private:
    struct Host
    {
        int pid = 0;
        int listen = 0;
        int lookup = 0;
        int readiness = 0;
        int peer = 0;
        int metrics = 0;
    };

    std::string m_root;
    std::string m_folder;
    std::string m_store;
    std::vector<Host> m_hosts;
};

/// One request on a new connection.
Response call(int port, const std::string &text, const std::string &method, double timeout);

} // namespace review
