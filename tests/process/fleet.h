#pragma once

#include <dogwoodvalve/timer_service.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dogwoodvalve::process {

/// Where the programs under test are.
struct Programs
{
    std::string valve;
    std::string testTool;
};

/// From the environment's DOGWOODVALVE_PROGRAM and DOGWOODVALVE_TESTTOOL.
const Programs &programs();

/// A process started by a test. It is ended with the object, by its id.
class ChildProcess
{
public:
    ChildProcess(std::vector<std::string> arguments, const std::string &outputFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;
    /// Waits for the end and returns the exit code, or minus the signal's number.
    int wait();
    int pid() const { return m_pid; }
    /// Whether it has ended by itself or by a signal.
    bool ended();

private:
    int m_pid = 0;
    bool m_ended = false;
    int m_code = 0;
};

/// Entry hosts, engines and the platform's stand-in as real processes on loopback, each fleet on
/// addresses of its own.
class Fleet
{
public:
    /// The index keeps fleets of several tests apart.
    Fleet(int index, int entries);
    ~Fleet();

    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void startPlatform();
    /// Stage 0 or 1, server 0 or 1. Through a relay, if asked for.
    void startEngine(int stage, int server);
    void startService();
    void startEntry(int i);
    void startAll();
    void applyConfiguration();

    ChildProcess &platform() { return *m_processes.at("platform"); }
    ChildProcess &engine(int stage, int server)
    {
        return *m_processes.at(engineName(stage, server));
    }
    ChildProcess &entry(int i) { return *m_processes.at(entryName(i)); }
    ChildProcess &relay() { return *m_processes.at("relay"); }

    /// Runs the load tool to its end and returns its report.
    nlohmann::json load(const std::vector<std::string> &flags);
    /// Starts the load tool; its report is there when it has ended.
    std::unique_ptr<ChildProcess> startLoad(const std::vector<std::string> &flags);
    nlohmann::json loadReport() const;

    /// Runs the command line and returns its exit code; its output goes to the log folder.
    int command(const std::vector<std::string> &arguments);
    std::string commandOutput() const;

    /// Sends a request and returns status and body.
    struct Answer
    {
        int status = 0;
        std::string body;
    };
    Answer ask(const std::string &address, const std::string &method, const std::string &path,
               const std::string &body = "", const std::string &bearer = "") const;
    nlohmann::json askJson(const std::string &address, const std::string &path) const;

    /// Waits until a condition holds, or fails the test after a generous time.
    static void eventually(const std::string &what, const std::function<bool()> &condition);

    std::string callerAddress(int i) const;
    std::string operatorAddress(int i) const;
    std::string engineAddress(int stage, int server) const;
    std::string platformAddress() const;
    std::string serviceAddress() const;
    std::string relayAddress() const;
    std::string relayControlAddress() const;
    std::string allCallerAddresses() const;
    std::string folder() const { return m_folder; }
    static std::string entryName(int i) { return "entry-" + std::to_string(i); }
    static std::string engineName(int stage, int server)
    {
        return "engine-" + std::to_string(stage) + '-' + std::to_string(server);
    }

    /// Sequences that an engine runs in one step.
    int engineBatch = 16;
    /// Puts the relay between the entry hosts and engine 1-0.
    bool relayed = false;
    /// Members of the entry hosts' `limits`, in YAML.
    std::string entryLimits;

private:
    std::string address(int port) const;
    void start(const std::string &name, std::vector<std::string> arguments);
    std::string writeSettings(int i) const;
    std::string writeConfiguration() const;

    int m_index;
    int m_entries;
    std::string m_folder;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
};

} // namespace dogwoodvalve::process
