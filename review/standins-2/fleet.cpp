#include "fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <random>
#include <unistd.h>

namespace review {

namespace {

const Clock::time_point Start = Clock::now();

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

std::string base64(const std::string &bytes)
{
    static const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (k < n ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out += k <= n ? Digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

void appendNumber(std::string &out, std::uint64_t value, int bytes)
{
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift & 0xff);
}

} // namespace

double now()
{
    return std::chrono::duration<double>(Clock::now() - Start).count();
}

void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

bool troubled()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_lines.emplace_back(now(), line);
}

void Record::save(const std::string &file)
{
    const std::lock_guard lock(m_mutex);
    std::stable_sort(m_lines.begin(), m_lines.end(),
                     [](const auto &l, const auto &r) { return l.first < r.first; });
    std::FILE *out = std::fopen(file.c_str(), "w");
    if (!out)
        return;
    for (const auto &[at, line] : m_lines)
        std::fprintf(out, "%9.3f s  %s\n", at, line.c_str());
    std::fclose(out);
}

std::string Request::field(const std::string &name) const
{
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
}

std::string Request::query(const std::string &name) const
{
    std::string rest = target.substr(std::min(target.find('?') + 1, target.size()));
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string pair = rest.substr(0, end);
        if (pair.substr(0, name.size() + 1) == name + "=")
            return pair.substr(name.size() + 1);
        rest.erase(0, end + 1);
    }
    return "";
}

std::string Response::field(const std::string &name) const
{
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
}

int Connection::connectTo(int port, double timeout)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd waiting {fd, POLLOUT, 0};
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t length = sizeof(error);
        if (error == 0 && ::poll(&waiting, 1, static_cast<int>(timeout * 1000)) <= 0)
            error = ETIMEDOUT;
        if (error == 0)
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            ::close(fd);
            return -1;
        }
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

bool Connection::fill(double until)
{
    while (m_fd >= 0) {
        const double left = until - now();
        if (left <= 0)
            return false;
        pollfd waiting {m_fd, POLLIN, 0};
        if (::poll(&waiting, 1, static_cast<int>(std::min(left, 1.0) * 1000) + 1) <= 0)
            continue;
        char bytes[16384];
        const ssize_t n = ::recv(m_fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (n > 0) {
            m_buffer.append(bytes, static_cast<std::size_t>(n));
            return true;
        }
        if (n == 0 || (errno != EAGAIN && errno != EINTR))
            return false;
    }
    return false;
}

bool Connection::readLine(std::string &line, double until)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill(until))
            return false;
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool Connection::readBytes(std::string &out, std::size_t n, double until)
{
    while (m_buffer.size() < n) {
        if (!fill(until))
            return false;
    }
    out.append(m_buffer, 0, n);
    m_buffer.erase(0, n);
    return true;
}

bool Connection::readBody(const std::map<std::string, std::string> &fields, bool untilClose,
                          std::string &body, double until)
{
    if (const auto it = fields.find("transfer-encoding"); it != fields.end()) {
        for (;;) {
            std::string line;
            if (!readLine(line, until))
                return false;
            const std::size_t n = std::strtoul(line.c_str(), nullptr, 16);
            if (n == 0) {
                while (readLine(line, until) && !line.empty()) { }
                return true;
            }
            if (!readBytes(body, n, until) || !readLine(line, until))
                return false;
        }
    }
    if (const auto it = fields.find("content-length"); it != fields.end())
        return readBytes(body, std::strtoul(it->second.c_str(), nullptr, 10), until);
    if (!untilClose)
        return true;
    while (fill(until)) { }
    body.swap(m_buffer);
    return now() < until;
}

bool Connection::readRequest(Request &request, double until)
{
    request = {};
    std::string line;
    if (!readLine(line, until))
        return false;
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string::npos || last <= first)
        return false;
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, last - first - 1);
    while (readLine(line, until)) {
        if (line.empty())
            return readBody(request.fields, false, request.body, until);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        request.fields[lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
    }
    return false;
}

Response Connection::readResponse(const std::string &method, double until)
{
    Response response;
    for (;;) {
        std::string line;
        if (!readLine(line, until)) {
            response.failure = now() >= until ? "time over" : "connection ended";
            return response;
        }
        if (line.size() < 12 || line.compare(0, 5, "HTTP/") != 0) {
            response.failure = "no response: " + line.substr(0, 40);
            return response;
        }
        const int status = std::atoi(line.c_str() + 9);
        response.fields.clear();
        bool headEnded = false;
        while (readLine(line, until)) {
            if (line.empty()) {
                headEnded = true;
                break;
            }
            const std::size_t colon = line.find(':');
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            response.fields[lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
        if (!headEnded) {
            response.failure =
                now() >= until ? "time over in a head" : "connection ended in a head";
            return response;
        }
        if (status < 200) {
            response.interim.push_back(status);
            continue;
        }
        if (method != "HEAD" && status != 204 && status != 304
            && !readBody(response.fields, true, response.body, until)) {
            response.failure =
                now() >= until ? "time over in a body" : "connection ended in a body";
            return response;
        }
        response.status = status;
        return response;
    }
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size() && m_fd >= 0) {
        const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            pollfd waiting {m_fd, POLLOUT, 0};
            if (::poll(&waiting, 1, 20'000) > 0)
                continue;
        }
        return false;
    }
    return sent == bytes.size();
}

bool Connection::closedWithin(double seconds)
{
    const double until = now() + seconds;
    while (fill(until)) { }
    return now() < until;
}

void Connection::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
}

void Connection::reset()
{
    const linger now {1, 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

void Server::start(Handler handler)
{
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof(address);
    if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(m_fd, 512) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this, handler = std::move(handler)] {
        while (!m_stopped) {
            pollfd waiting {m_fd, POLLIN, 0};
            if (::poll(&waiting, 1, 100) <= 0)
                continue;
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([handler, fd] {
                Connection connection(fd);
                handler(connection);
            }).detach();
        }
    });
}

void Server::stop()
{
    if (m_fd < 0)
        return;
    m_stopped = true;
    m_thread.join();
    ::close(m_fd);
    m_fd = -1;
}

Store::Store()
{
    m_server.start([this](Connection &connection) { handle(connection); });
}

void Store::put(const std::string &topic, const std::string &key,
                const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({key, value});
    m_changed.notify_all();
}

void Store::handle(Connection &connection)
{
    Request request;
    while (connection.readRequest(request, now() + 60)) {
        if (!connection.send(answer(request)))
            return;
    }
}

std::string Store::answer(const Request &request)
{
    const std::vector<std::pair<std::string, std::string>> fields {
        {"Content-Type", "application/json"}, {"Store-Era", "1"}};
    std::unique_lock lock(m_mutex);
    const std::string path = request.path();
    const std::string topic = request.query("Topic");
    if (path == "/v1/log-read") {
        const std::size_t from = std::strtoul(request.query("From").c_str(), nullptr, 10);
        const auto wait =
            std::chrono::milliseconds(std::strtoul(request.query("WaitMs").c_str(), nullptr, 10));
        m_changed.wait_for(lock, wait, [&] { return m_topics[topic].size() > from; });
        const auto &entries = m_topics[topic];
        std::string body;
        appendNumber(body, entries.size(), 8);
        appendNumber(body, 0, 8);
        for (std::size_t i = from; i < entries.size(); ++i) {
            std::string content(1, static_cast<char>(entries[i].key.size()));
            content += entries[i].key + entries[i].value.value_or("");
            appendNumber(body, content.size(), 4);
            body += content;
        }
        return responseText(200, "OK", fields, body);
    }
    if (path == "/v1/log-newest") {
        std::map<std::string, std::pair<std::size_t, std::string>> newest;
        const auto &entries = m_topics[topic];
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (entries[i].value)
                newest[entries[i].key] = {i, *entries[i].value};
            else
                newest.erase(entries[i].key);
        }
        json items = json::array();
        for (const auto &[key, entry] : newest)
            items.push_back(
                {{"Key", key}, {"Value", base64(entry.second)}, {"Offset", entry.first}});
        return responseText(
            200, "OK", fields,
            json {{"Items", items}, {"HasMore", false}, {"EndOffset", entries.size()}}.dump());
    }
    if (path == "/v1/log-append") {
        const std::string &body = request.body;
        const std::size_t keyBytes = body.size() > 4 ? static_cast<unsigned char>(body[4]) : 0;
        const std::string value = body.size() > 5 + keyBytes ? body.substr(5 + keyBytes) : "";
        auto &entries = m_topics[topic];
        if (body.size() > 5)
            entries.push_back(
                {body.substr(5, keyBytes), value.empty() ? std::nullopt : std::optional(value)});
        m_changed.notify_all();
        return responseText(
            200, "OK", fields,
            json {{"Offset", entries.size() - 1}, {"EndOffset", entries.size()}}.dump());
    }
    if (path == "/v1/log-join" || path == "/v1/log-leave") {
        const json body = json::parse(request.body);
        const std::string name = body.at("Member");
        const std::size_t before = m_members.size();
        std::erase_if(m_members, [](const Member &it) { return it.until < now(); });
        const auto known = std::find_if(m_members.begin(), m_members.end(),
                                        [&](const Member &it) { return it.name == name; });
        bool changed = m_members.size() != before;
        if (path == "/v1/log-leave") {
            std::erase_if(m_members, [&](const Member &it) { return it.name == name; });
            ++m_generation;
            return responseText(200, "OK", fields, "{}");
        }
        const double until = now() + body.at("TtlMs").get<double>() / 1000;
        if (known == m_members.end()) {
            m_members.push_back({name, until});
            changed = true;
        } else {
            known->until = until;
        }
        if (changed)
            ++m_generation;
        json parts = json::array();
        if (m_members.front().name == name)
            parts.push_back({body.at("Topics").at(0), 0, 0});
        return responseText(
            200, "OK", fields,
            json {{"Generation", m_generation}, {"TtlMs", body.at("TtlMs")}, {"parts", parts}}
                .dump());
    }
    return responseText(404, "Not Found", fields, "{}");
}

std::string responseText(int status, const std::string &reason,
                         const std::vector<std::pair<std::string, std::string>> &fields,
                         const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int freePort()
{
    // Below the range from which the system takes the ports of outgoing connections.
    constexpr int First = 12'000;
    constexpr int Count = 18'000;
    static std::mt19937 random(static_cast<unsigned>(::getpid()) * 2654435761U);
    for (int tries = 0; tries < 1000; ++tries) {
        const int port = First + static_cast<int>(random() % Count);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool free =
            ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(fd);
        if (free)
            return port;
    }
    return 0;
}

Gateways::Gateways(std::string root, std::string folder, std::string storeAddress, int count)
    : m_root(std::move(root))
    , m_folder(std::move(folder))
    , m_store(std::move(storeAddress))
    , m_hosts(static_cast<std::size_t>(count))
{
    for (Host &host : m_hosts) {
        for (int *port : {&host.listen, &host.lookup, &host.readiness, &host.peer, &host.metrics})
            *port = freePort();
    }
}

Gateways::~Gateways()
{
    for (int i = 0; i < count(); ++i) {
        Host &host = m_hosts[static_cast<std::size_t>(i)];
        if (host.pid <= 0 || ended(i))
            continue;
        ::kill(host.pid, SIGKILL);
        ::waitpid(host.pid, nullptr, 0);
    }
}

void Gateways::start(int i)
{
    Host &host = m_hosts[static_cast<std::size_t>(i)];
    const std::string name = "front-a-" + std::to_string(i + 1);
    const std::string file = m_folder + "/" + name + ".yaml";
    const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    // As deploy/gateway.yaml, filled in with the bounds of the small sites.
    std::ofstream(file) << "name: \"" << name
                        << "\"\nzone: \"a\"\nregion: \"r\"\nlisten: " << address(host.listen)
                        << "lookupListen: " << address(host.lookup)
                        << "readinessListen: " << address(host.readiness)
                        << "peerListen: " << address(host.peer)
                        << "metricsListen: " << address(host.metrics) << "store: \"" << m_store
                        << "\"\ngraceS: 8\nkeyRevocationMs: 5000\nserverDrainMs: 2000\n"
                        << "lookupTimeToLiveMs: 2000\nlinkMbps: 1000.0\nretries:\n"
                        << "  windowS: 10\n  ratio: 0.2\n  slack: 198\nlogLevel: \"info\"\n"
                        << "decisionLogRate: 100\n";
    const std::string log = m_folder + "/" + name + ".log";
    const std::string program = m_root + "/target/dogwoodvalve";
    const int pid = ::fork();
    if (pid == 0) {
        // The gateway ends with this program, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl(program.c_str(), "target/dogwoodvalve", "gateway", "--settings", file.c_str(),
                nullptr);
        ::_exit(127);
    }
    host.pid = pid;
}

void Gateways::kill(int i, int signal)
{
    Host &host = m_hosts[static_cast<std::size_t>(i)];
    if (host.pid > 0)
        ::kill(host.pid, signal);
}

bool Gateways::ended(int i)
{
    Host &host = m_hosts[static_cast<std::size_t>(i)];
    if (host.pid > 0 && ::waitpid(host.pid, nullptr, WNOHANG) == host.pid)
        host.pid = 0;
    return host.pid <= 0;
}

bool Gateways::waitUntilReady(double seconds)
{
    const double until = now() + seconds;
    for (const Host &host : m_hosts) {
        for (;;) {
            const Response response =
                call(host.readiness,
                     "GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "GET", 1);
            if (response.status == 200)
                break;
            if (now() > until)
                return false;
            sleepFor(0.05);
        }
    }
    return true;
}

Response call(int port, const std::string &text, const std::string &method, double timeout)
{
    const double until = now() + timeout;
    const int fd = Connection::connectTo(port, std::min(1.0, timeout));
    Response response;
    response.failure = "no connection";
    if (fd < 0)
        return response;
    Connection connection(fd);
    if (!connection.send(text))
        return response;
    return connection.readResponse(method, until);
}

} // namespace review
