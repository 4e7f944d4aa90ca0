#pragma once

#include "store.h"

#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>

extern char **environ;

/// A small deployment on loopback addresses: the store, servers, and gateway hosts as the deploy
/// file starts them.

namespace review {

using namespace std::chrono_literals;

inline void pause(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Writes what was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_out(file)
    { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        const double seconds = std::chrono::duration<double>(Clock::now() - m_start).count();
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f  ", seconds);
        m_out << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_start = Clock::now();
};

/// Ends the case because it can't run.
struct CannotRun : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// A child process with its output in a file.
class Process
{
public:
    Process(std::vector<std::string> words, const std::string &output)
    {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        std::vector<char *> arguments;
        for (std::string &word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        const int failed =
            posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        if (failed != 0)
            throw CannotRun("cannot start " + words[0]);
    }
    ~Process()
    {
        if (ended())
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number)
    {
        if (!ended())
            ::kill(m_pid, number);
    }
    bool ended()
    {
        int status = 0;
        if (!m_ended && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_ended = true;
            m_end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                        : "exit code " + std::to_string(WEXITSTATUS(status));
        }
        return m_ended;
    }
    /// How the process has ended.
    const std::string &end() const { return m_end; }
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = 0;
    bool m_ended = false;
    std::string m_end;
};

/// Gateway hosts with the command and the settings template of the deploy file. Each has a loopback
/// address of its own.
class Deployment
{
public:
    Deployment(int hosts, std::string zone)
        : m_zone(std::move(zone))
    {
        char pattern[] = "/tmp/review-XXXXXX";
        m_folder = ::mkdtemp(pattern);
        const int net = 10 + ::getpid() % 200;
        const std::string prefix = "127." + std::to_string(net) + ".1.";
        m_storeAddress = {prefix + "1", 0};
        m_storeAddress.port = freePort(m_storeAddress.ip);
        m_store = new Store(m_storeAddress);
        m_serverIp = prefix + "2";
        for (int i = 0; i < hosts; ++i)
            m_ips.push_back(prefix + std::to_string(10 + i));
        for (int *port : {&m_front, &m_lookup, &m_ready, &m_peer})
            *port = freePort(m_ips.front());
        m_processes.resize(m_ips.size());
    }
    ~Deployment()
    {
        m_processes.clear();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    Store &store() { return *m_store; }
    Address newServerAddress() const { return {m_serverIp, freePort(m_serverIp)}; }
    const std::string &zone() const { return m_zone; }
    Address front(int host) const { return {m_ips[static_cast<std::size_t>(host)], m_front}; }
    Address lookup(int host) const { return {m_ips[static_cast<std::size_t>(host)], m_lookup}; }
    Address readiness(int host) const { return {m_ips[static_cast<std::size_t>(host)], m_ready}; }
    int hosts() const { return static_cast<int>(m_ips.size()); }
    Process &process(int host) { return *m_processes[static_cast<std::size_t>(host)]; }
    std::string logOf(int host) const
    {
        std::ifstream file(m_folder + "/host-" + std::to_string(host) + ".log");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    void start(int host)
    {
        const std::string settings = m_folder + "/host-" + std::to_string(host) + ".yaml";
        std::ofstream(settings) << settingsOf(host);
        auto &process = m_processes[static_cast<std::size_t>(host)];
        process.reset();
        process = std::make_unique<Process>(
            std::vector<std::string> {"target/dogwoodvalve", "gateway", "--settings", settings},
            m_folder + "/host-" + std::to_string(host) + ".log");
    }

    /// Starts all hosts and waits until they are ready.
    void startAll()
    {
        for (int i = 0; i < hosts(); ++i)
            start(i);
        for (int i = 0; i < hosts(); ++i)
            awaitReady(i);
    }

    void awaitReady(int host) const
    {
        const auto end = Clock::now() + 20s;
        while (ask(readiness(host), "GET", "/v1/readyz", {{"Host", "x"}}, "", 1s).status != 200) {
            if (Clock::now() > end)
                throw CannotRun("a host is not ready");
            pause(50ms);
        }
    }

private:
    std::string settingsOf(int host) const
    {
        std::ifstream file("deploy/gateway.yaml");
        std::string text {std::istreambuf_iterator<char>(file), {}};
        if (text.empty())
            throw CannotRun("deploy/gateway.yaml can't be read");
        const std::string &ip = m_ips[static_cast<std::size_t>(host)];
        const std::map<std::string, std::string> values {
            {"Node", "front-" + m_zone + "-" + std::to_string(host + 1)},
            {"Zone", m_zone},
            {"Region", "region-1"},
            {"Ip", ip},
            {"Listen.Front", front(host).text()},
            {"Listen.Directory", lookup(host).text()},
            {"Listen.ReadyAddr", readiness(host).text()},
            {"PortRange.0", std::to_string(m_peer)},
            {"Platform.Addr", m_storeAddress.text()},
            {"Bounds.GraceS", "8"},
            {"Bounds.RevokeMs", "5000"},
            {"Bounds.DrainMs", "2000"},
            {"Bounds.BudgetWindowS", "10"},
            {"Bounds.RetryBudgetRatio", "0.2"},
            {"Bounds.BudgetSlack", "198"},
            {"Limits.LinkMbps", "1000.0"},
            {"Limits.MemoryMb", "260"},
            {"Limits.MaxFds", "4100"}};
        for (std::size_t at = 0; (at = text.find("{{")) != std::string::npos;) {
            const std::size_t end = text.find("}}", at);
            const auto value = values.find(text.substr(at + 2, end - at - 2));
            if (value == values.end())
                throw CannotRun("the settings template has an unknown placeholder");
            text.replace(at, end + 2 - at, value->second);
        }
        return text;
    }

    std::string m_zone;
    std::string m_folder;
    Address m_storeAddress;
    /// Never deleted, as its threads may still wait for records when the case ends.
    Store *m_store = nullptr;
    std::string m_serverIp;
    std::vector<std::string> m_ips;
    int m_front = 0;
    int m_lookup = 0;
    int m_ready = 0;
    int m_peer = 0;
    std::vector<std::unique_ptr<Process>> m_processes;
};

inline std::int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// A route as the operator writes it.
inline json route(const std::string &host, const std::string &prefix, const std::string &kind,
                  const std::string &service)
{
    return {{"Name", service + prefix},
            {"Host", host},
            {"PathPrefix", prefix},
            {"Kind", kind},
            {"Service", service},
            {"MaxAttempts", kind == "safe" ? 2 : 1},
            {"TimeoutMs", 1500},
            {"TargetLatencyMs", 300},
            {"Priority", 2}};
}

inline json limits()
{
    return {{"MaxHeaderBytes", 32768},
            {"MaxBodyBytes", 4194304},
            {"HeaderTimeoutMs", 10000},
            {"IdleTimeoutMs", 60000}};
}

/// Runs a case. TROUBLE=0 in the environment leaves the disruption out. The file is the record;
/// the case returns whether the rule held.
inline int runCase(int argc, char **argv, const std::function<bool(Record &, bool trouble)> &body)
{
    if (argc != 2)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    const char *variable = std::getenv("TROUBLE");
    const bool trouble = !variable || std::strcmp(variable, "0") != 0;
    Record record(argv[1]);
    record.line(trouble ? "with the disruption" : "without the disruption");
    int code = 2;
    try {
        code = body(record, trouble) ? 0 : 1;
        record.line(code == 0 ? "the rule held" : "the rule was broken");
    } catch (const std::exception &e) {
        record.line(std::string("the case could not run: ") + e.what());
    }
    std::fflush(nullptr);
    std::_Exit(code);
}

} // namespace review
