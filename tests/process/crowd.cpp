#include "process/crowd.h"

#include "net/endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace dogwoodvalve::process {

namespace {

/// A crowd of which no client has sent a byte for this long has come to its end.
constexpr auto StandstillTime = std::chrono::seconds(2);
constexpr auto PollInterval = std::chrono::milliseconds(5);
constexpr auto ObserveInterval = std::chrono::milliseconds(50);
/// Bytes that one client may send before the next one's turn.
constexpr std::size_t TurnBytes = 256 * 1024;

int connectTo(const std::string &address)
{
    const auto endpoint = parseEndpoint(address).value();
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0
        || ::connect(socket, endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0)
        throw std::runtime_error("cannot connect to " + address);
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    return socket;
}

} // namespace

Crowd::Crowd(const std::string &address, int clients, CrowdScript script)
    : m_script(std::move(script))
{
    for (int i = 0; i < clients; ++i)
        m_clients.push_back({connectTo(address)});
}

std::size_t Crowd::scriptBytes() const
{
    return m_script.beginning.size() + m_script.piece.size() * m_script.pieces
        + m_script.end.size();
}

std::string_view Crowd::partAt(std::size_t position) const
{
    if (position < m_script.beginning.size())
        return std::string_view(m_script.beginning).substr(position);
    position -= m_script.beginning.size();
    const std::size_t middle = m_script.piece.size() * m_script.pieces;
    if (position < middle)
        return std::string_view(m_script.piece).substr(position % m_script.piece.size());
    return std::string_view(m_script.end).substr(position - middle);
}

bool Crowd::sendSome(Client &client) const
{
    std::size_t taken = 0;
    while (!client.ended && taken < TurnBytes) {
        if (client.sent == scriptBytes()) {
            client.ended = true;
            break;
        }
        const std::string_view part = partAt(client.sent);
        const ssize_t n = ::send(client.socket, part.data(), part.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            client.ended = errno != EAGAIN && errno != EINTR;
            break;
        }
        client.sent += static_cast<std::size_t>(n);
        taken += static_cast<std::size_t>(n);
    }
    return taken > 0;
}

void Crowd::send(const std::function<void()> &observe)
{
    using Clock = std::chrono::steady_clock;
    auto lastProgress = Clock::now();
    auto lastObserved = lastProgress;
    const auto unfinished = [](const Client &client) { return !client.ended; };
    while (Clock::now() - lastProgress < StandstillTime) {
        bool progress = false;
        for (Client &client : m_clients)
            progress = sendSome(client) || progress;
        const auto now = Clock::now();
        if (progress)
            lastProgress = now;
        else
            std::this_thread::sleep_for(PollInterval);
        if (now - lastObserved >= ObserveInterval) {
            observe();
            lastObserved = now;
        }
        // The last bytes are still on their way to the process.
        if (!progress && std::none_of(m_clients.begin(), m_clients.end(), unfinished))
            std::this_thread::sleep_for(ObserveInterval);
    }
    observe();
}

void Crowd::leave()
{
    for (const Client &client : m_clients)
        ::close(client.socket);
    m_clients.clear();
}

ProcessMeter::ProcessMeter(int pid, std::vector<int> ports)
    : m_folder("/proc/" + std::to_string(pid))
    , m_ports(std::move(ports))
{ }

std::size_t ProcessMeter::statusBytes(const std::string &field) const
{
    std::ifstream status(m_folder + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(field + ':', 0) == 0)
            return std::stoull(line.substr(field.size() + 1)) * 1024;
    }
    return 0;
}

std::size_t ProcessMeter::queuedBytes() const
{
    // Columns: number, local address, remote address, state, send:receive queue, all hexadecimal.
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    std::size_t total = 0;
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        columns >> number >> local >> remote >> state >> queues;
        const int port = std::stoi(local.substr(local.find(':') + 1), nullptr, 16);
        const bool listens = state == "0A";
        if (listens || std::find(m_ports.begin(), m_ports.end(), port) == m_ports.end())
            continue;
        const std::size_t colon = queues.find(':');
        total += std::stoull(queues.substr(0, colon), nullptr, 16)
            + std::stoull(queues.substr(colon + 1), nullptr, 16);
    }
    return total;
}

void ProcessMeter::sample()
{
    m_peakBytes =
        std::max({m_peakBytes, statusBytes("VmHWM"), statusBytes("VmRSS") + queuedBytes()});
    m_peakDescriptors = std::max(m_peakDescriptors, descriptors());
}

std::size_t ProcessMeter::bytes() const
{
    return statusBytes("VmRSS");
}

int ProcessMeter::descriptors() const
{
    std::error_code ec;
    const std::filesystem::directory_iterator open(m_folder + "/fd", ec);
    return ec ? 0 : static_cast<int>(std::distance(begin(open), end(open)));
}

void limitDescriptors(int pid, int descriptors)
{
    const rlimit limit {static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors)};
    if (::prlimit(pid, RLIMIT_NOFILE, &limit, nullptr) != 0)
        throw std::runtime_error("cannot limit the descriptors of a process");
}

} // namespace dogwoodvalve::process
