#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

/// A small blocking HTTP/1.1 server and client for the stand-ins.

namespace review {

using Clock = std::chrono::steady_clock;
using Fields = std::vector<std::pair<std::string, std::string>>;

struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ':' + std::to_string(port); }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// A port that is free at the address now.
inline int freePort(const std::string &ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in bound = socketAddress({ip, 0});
    socklen_t size = sizeof(bound);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&bound), size) != 0)
        throw std::runtime_error("cannot bind " + ip);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &size);
    ::close(fd);
    return ntohs(bound.sin_port);
}

inline bool sameName(std::string_view l, std::string_view r)
{
    return l.size() == r.size()
        && std::equal(l.begin(), l.end(), r.begin(), [](unsigned char a, unsigned char b) {
               return std::tolower(a) == std::tolower(b);
           });
}

inline std::string fieldOf(const Fields &fields, std::string_view name)
{
    for (const auto &[key, value] : fields) {
        if (sameName(key, name))
            return value;
    }
    return {};
}

/// A connection with buffered reads.
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    { }
    ~Connection() { close(); }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Reads more bytes. False at the end of the connection, or after the time.
    bool fill(std::chrono::milliseconds timeout)
    {
        pollfd waiting {m_fd, POLLIN, 0};
        if (::poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0) {
            m_timedOut = true;
            return false;
        }
        char part[16384];
        const ssize_t n = ::recv(m_fd, part, sizeof(part), 0);
        if (n <= 0)
            return false;
        m_buffer.append(part, static_cast<std::size_t>(n));
        return true;
    }

    bool timedOut() const { return m_timedOut; }
    std::string &buffer() { return m_buffer; }

    /// Ends the connection with a reset.
    void reset()
    {
        const linger none {1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
        close();
    }
    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }
    /// Whether the peer has closed its side, or reset the connection.
    bool peerClosed() const
    {
        char byte = 0;
        const ssize_t n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    int m_fd;
    std::string m_buffer;
    bool m_timedOut = false;
};

struct Request
{
    std::string method;
    std::string target;
    Fields fields;
    std::string body;

    std::string field(std::string_view name) const { return fieldOf(fields, name); }
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string &name) const
    {
        const std::size_t mark = target.find('?');
        std::string rest = mark == std::string::npos ? "" : '&' + target.substr(mark + 1);
        const std::size_t at = rest.find('&' + name + '=');
        if (at == std::string::npos)
            return {};
        rest = rest.substr(at + name.size() + 2);
        return rest.substr(0, rest.find('&'));
    }
};

struct Response
{
    int status = 0;
    Fields fields;
    std::string body;
    /// The body has all its bytes.
    bool whole = false;

    std::string field(std::string_view name) const { return fieldOf(fields, name); }
};

namespace detail {

constexpr std::chrono::milliseconds IdleTime {60'000};

/// Reads a start line and header fields.
inline std::optional<std::string> readHead(Connection &connection, Fields &fields,
                                           std::chrono::milliseconds timeout)
{
    std::string &buffer = connection.buffer();
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!connection.fill(timeout))
            return std::nullopt;
    }
    std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    const std::string first = head.substr(0, head.find("\r\n"));
    head.erase(0, first.size() + 2);
    while (!head.empty()) {
        const std::string line = head.substr(0, head.find("\r\n"));
        head.erase(0, line.size() + 2);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return std::nullopt;
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        if (const std::size_t last = value.find_last_not_of(" \t"); last != std::string::npos)
            value.erase(last + 1);
        fields.emplace_back(line.substr(0, colon), value);
    }
    return first;
}

inline bool readExactly(Connection &connection, std::string &out, std::size_t n,
                        std::chrono::milliseconds timeout)
{
    while (connection.buffer().size() < n) {
        if (!connection.fill(timeout))
            return false;
    }
    out.append(connection.buffer(), 0, n);
    connection.buffer().erase(0, n);
    return true;
}

inline std::optional<std::string> readLine(Connection &connection,
                                           std::chrono::milliseconds timeout)
{
    std::size_t end = 0;
    while ((end = connection.buffer().find("\r\n")) == std::string::npos) {
        if (!connection.fill(timeout))
            return std::nullopt;
    }
    std::string line = connection.buffer().substr(0, end);
    connection.buffer().erase(0, end + 2);
    return line;
}

/// Reads a body. False if it is not complete.
inline bool readBody(Connection &connection, const Fields &fields, bool untilClose,
                     std::string &body, std::chrono::milliseconds timeout)
{
    if (sameName(fieldOf(fields, "Transfer-Encoding"), "chunked")) {
        while (true) {
            const auto line = readLine(connection, timeout);
            if (!line)
                return false;
            const std::size_t size = std::strtoull(line->c_str(), nullptr, 16);
            std::string chunk;
            if (!readExactly(connection, chunk, size, timeout) || !readLine(connection, timeout))
                return false;
            if (size == 0)
                return true;
            body += chunk;
        }
    }
    const std::string length = fieldOf(fields, "Content-Length");
    if (!length.empty())
        return readExactly(connection, body, std::strtoull(length.c_str(), nullptr, 10), timeout);
    if (untilClose) {
        while (connection.fill(timeout)) { }
        body += std::exchange(connection.buffer(), {});
        return !connection.timedOut();
    }
    return true;
}

} // namespace detail

inline std::string encodeHead(const std::string &start, const Fields &fields)
{
    std::string text = start + "\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "\r\n";
}

/// Sends a whole answer.
inline void answer(Connection &connection, int status, Fields fields, const std::string &body)
{
    fields.emplace_back("Content-Length", std::to_string(body.size()));
    connection.send(encodeHead("HTTP/1.1 " + std::to_string(status) + " Answer", fields) + body);
}

/// Serves each connection on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(const Request &, Connection &)>;

    Server(const Address &address, Handler handler)
        : m_handler(std::make_shared<Handler>(std::move(handler)))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in local = socketAddress(address);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&local), sizeof(local)) != 0
            || ::listen(m_listener, 512) != 0)
            throw std::runtime_error("cannot listen on " + address.text());
        m_thread = std::thread([this] { acceptAll(); });
    }
    ~Server()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        m_thread.join();
    }

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

private:
    void acceptAll()
    {
        while (true) {
            const int fd = ::accept(m_listener, nullptr, nullptr);
            if (fd < 0)
                return;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([fd, handler = m_handler] { serve(fd, *handler); }).detach();
        }
    }

    static void serve(int fd, const Handler &handler)
    {
        Connection connection(fd);
        while (true) {
            Request request;
            const auto start = detail::readHead(connection, request.fields, detail::IdleTime);
            if (!start)
                return;
            const std::size_t first = start->find(' ');
            const std::size_t last = start->rfind(' ');
            if (first == std::string::npos || last <= first)
                return;
            request.method = start->substr(0, first);
            request.target = start->substr(first + 1, last - first - 1);
            if (!detail::readBody(connection, request.fields, false, request.body,
                                  detail::IdleTime))
                return;
            handler(request, connection);
            if (sameName(request.field("Connection"), "close"))
                return;
        }
    }

    std::shared_ptr<Handler> m_handler;
    int m_listener = -1;
    std::thread m_thread;
};

/// A client's connection, or nothing if it can't be made.
inline std::unique_ptr<Connection> connectTo(const Address &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in remote = socketAddress(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) != 0) {
        ::close(fd);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_unique<Connection>(fd);
}

/// Reads the next answer on a connection; status 0 if there is none.
inline Response readResponse(Connection &connection, std::chrono::milliseconds timeout)
{
    Response response;
    const auto start = detail::readHead(connection, response.fields, timeout);
    if (!start || start->size() < 12)
        return response;
    response.status = std::atoi(start->c_str() + 9);
    response.whole = detail::readBody(connection, response.fields, true, response.body, timeout);
    return response;
}

/// Sends a request on a new connection and reads the answer.
inline Response ask(const Address &address, const std::string &method, const std::string &target,
                    Fields fields, const std::string &body = "",
                    std::chrono::milliseconds timeout = std::chrono::milliseconds(5000))
{
    const auto connection = connectTo(address);
    if (!connection)
        return {};
    if (!body.empty() || method == "POST")
        fields.emplace_back("Content-Length", std::to_string(body.size()));
    if (!connection->send(encodeHead(method + ' ' + target + " HTTP/1.1", fields) + body))
        return {};
    return readResponse(*connection, timeout);
}

} // namespace review
