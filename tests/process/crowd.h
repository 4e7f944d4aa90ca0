#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace dogwoodvalve::process {

/// What each client of a crowd sends on a connection of its own: the beginning, then the piece as
/// many times as it is taken, then the end. It reads nothing.
struct CrowdScript
{
    std::string beginning = {};
    std::string piece = {};
    std::size_t pieces = 0;
    std::string end = {};
};

/// Clients that keep their connections until leave(), whatever the server does.
class Crowd
{
public:
    Crowd(const std::string &address, int clients, CrowdScript script);
    ~Crowd() { leave(); }

    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Sends until each client has sent all or is refused, or none has got on for a while. The
    /// observer is called now and then.
    void send(const std::function<void()> &observe);
    void leave();

private:
    struct Client
    {
        int socket = -1;
        /// Bytes of the whole script that were taken.
        std::size_t sent = 0;
        bool ended = false;
    };

    std::size_t scriptBytes() const;
    /// The bytes of the script from this position on, up to the end of its part.
    std::string_view partAt(std::size_t position) const;
    /// Sends what the socket takes. Returns whether it took any.
    bool sendSome(Client &client) const;

    CrowdScript m_script;
    std::vector<Client> m_clients;
};

/// What a process and its machine hold, by /proc.
class ProcessMeter
{
public:
    /// The local ports are those on which the process accepts clients.
    ProcessMeter(int pid, std::vector<int> ports);

    /// Looks at the process once more.
    void sample();
    /// The most memory so far: of the process alone, and with the bytes that the operating system
    /// held for its connections.
    std::size_t peakBytes() const { return m_peakBytes; }
    int peakDescriptors() const { return m_peakDescriptors; }
    /// The memory of the process now.
    std::size_t bytes() const;
    int descriptors() const;

private:
    std::size_t statusBytes(const std::string &field) const;
    /// Bytes in the queues of the connections to the ports.
    std::size_t queuedBytes() const;

    std::string m_folder;
    std::vector<int> m_ports;
    std::size_t m_peakBytes = 0;
    int m_peakDescriptors = 0;
};

/// Lowers the limit of open descriptors of a started process.
void limitDescriptors(int pid, int descriptors);

} // namespace dogwoodvalve::process
