#include "process/fleet.h"

#include "codec/yaml_reader.h"
#include "net/blocking_http_client.h"

#include <cppunit/Asserter.h>
#include <cppunit/SourceLine.h>
#include <sys/wait.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace dogwoodvalve::process {

using nlohmann::json;

namespace {

/// Long enough for a busy machine; a condition that holds sooner ends the wait sooner.
constexpr auto EventuallyLimit = std::chrono::seconds(60);
constexpr auto PollInterval = std::chrono::milliseconds(20);
constexpr const char *OperatorToken = "process-test-token";
constexpr const char *KeyHashText =
    "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c";

} // namespace

const Programs &programs()
{
    static const Programs Instance = [] {
        const auto variable = [](const char *name) {
            const char *value = std::getenv(name);
            return std::string(value ? value : "");
        };
        return Programs {variable("DOGWOODVALVE_PROGRAM"), variable("DOGWOODVALVE_TESTTOOL")};
    }();
    return Instance;
}

ChildProcess::ChildProcess(std::vector<std::string> arguments, const std::string &outputFile)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<char *> words;
    words.reserve(arguments.size() + 1);
    for (std::string &argument : arguments)
        words.push_back(argument.data());
    words.push_back(nullptr);
    const int failed = posix_spawn(&m_pid, words[0], &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error("cannot start " + arguments[0]);
}

ChildProcess::~ChildProcess()
{
    if (m_ended)
        return;
    signal(SIGKILL);
    signal(SIGCONT);
    wait();
}

void ChildProcess::signal(int number) const
{
    if (!m_ended)
        ::kill(m_pid, number);
}

bool ChildProcess::ended()
{
    int status = 0;
    if (!m_ended && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_ended = true;
        m_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return m_ended;
}

int ChildProcess::wait()
{
    if (m_ended)
        return m_code;
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_ended = true;
    m_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return m_code;
}

Fleet::Fleet(int index, int entries)
    : m_index(index)
    , m_entries(entries)
{
    std::string pattern = std::filesystem::temp_directory_path() / "dogwoodvalve-test-XXXXXX";
    m_folder = ::mkdtemp(pattern.data());
    ::setenv("DOGWOODVALVE_TOKEN", OperatorToken, 1);
}

Fleet::~Fleet()
{
    m_processes.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

/// Fleets live on different loopback addresses, so that their ports never meet.
std::string Fleet::address(int port) const
{
    return "127.0." + std::to_string(20 + m_index) + ".1:" + std::to_string(port);
}

std::string Fleet::callerAddress(int i) const
{
    return address(18000 + i);
}

std::string Fleet::operatorAddress(int i) const
{
    return address(19000 + i);
}

std::string Fleet::engineAddress(int stage, int server) const
{
    return address(16100 + stage * 10 + server);
}

std::string Fleet::platformAddress() const
{
    return address(16000);
}

std::string Fleet::serviceAddress() const
{
    return address(16200);
}

std::string Fleet::relayAddress() const
{
    return address(16300);
}

std::string Fleet::relayControlAddress() const
{
    return address(16301);
}

std::string Fleet::allCallerAddresses() const
{
    std::string list;
    for (int i = 0; i < m_entries; ++i)
        list += (list.empty() ? "" : ",") + callerAddress(i);
    return list;
}

void Fleet::start(const std::string &name, std::vector<std::string> arguments)
{
    m_processes.erase(name);
    m_processes[name] =
        std::make_unique<ChildProcess>(std::move(arguments), m_folder + '/' + name + ".out");
}

void Fleet::startPlatform()
{
    start("platform", {programs().testTool, "platform", "--listen", platformAddress()});
}

void Fleet::startEngine(int stage, int server)
{
    const int first = stage * 12;
    start(engineName(stage, server),
          {programs().testTool, "engines", "--listen", engineAddress(stage, server),
           "--first_layer", std::to_string(first), "--last_layer", std::to_string(first + 11),
           "--step_micros", "5000", "--prefill_micros", "20", "--batch",
           std::to_string(engineBatch)});
}

void Fleet::startService()
{
    start("service", {programs().testTool, "service", "--listen", serviceAddress()});
}

std::string Fleet::writeSettings(int i) const
{
    std::string path = m_folder + '/' + entryName(i) + ".yaml";
    std::ofstream out(path);
    out << "name: " << entryName(i) << "\nregion: r\nzone: " << (i % 2 ? "zone-b" : "zone-a")
        << "\nlisten: " << callerAddress(i) << "\noperatorListen: " << operatorAddress(i)
        << "\npeerListen: " << address(17000 + i) << "\nplatform: " << platformAddress()
        << "\nseeds: [" << address(17000) << ", " << address(17001) << "]"
        << "\noperatorToken: " << OperatorToken
        << "\npeerSecrets: [{id: 1, secret: 0123456789abcdef}]"
        << "\nlimits: {" << entryLimits << "}\nlog: {file: " << m_folder << '/' << entryName(i)
        << ".log}\n";
    return path;
}

void Fleet::startEntry(int i)
{
    start(entryName(i), {programs().valve, "entry", "--settings", writeSettings(i)});
}

void Fleet::startAll()
{
    startPlatform();
    startService();
    if (relayed)
        start("relay",
              {programs().testTool, "relay", "--listen", relayAddress(), "--target",
               engineAddress(1, 0), "--control", relayControlAddress()});
    for (int stage = 0; stage < 2; ++stage) {
        for (int server = 0; server < 2; ++server)
            startEngine(stage, server);
    }
    eventually("the platform answers",
               [this] { return ask(platformAddress(), "GET", "/hosts").status == 200; });
    for (int i = 0; i < m_entries; ++i)
        startEntry(i);
    for (int i = 0; i < m_entries; ++i)
        eventually(entryName(i) + " is ready",
                   [this, i] { return ask(callerAddress(i), "GET", "/readyz").status == 200; });
    for (int i = 0; i < m_entries; ++i)
        eventually(entryName(i) + " knows all hosts", [this, i] {
            const json body =
                json::parse(ask(callerAddress(i), "GET", "/v1/entries").body, nullptr, false);
            return body.is_object()
                && body["entries"].size() == static_cast<std::size_t>(m_entries);
        });
    applyConfiguration();
}

std::string Fleet::writeConfiguration() const
{
    std::string path = m_folder + "/configuration.yaml";
    std::ofstream out(path);
    out << "kind: zone\nname: zone-a\nspec: {region: r}\n---\n"
        << "kind: zone\nname: zone-b\nspec: {region: r}\n---\n";
    for (int stage = 0; stage < 2; ++stage) {
        for (int server = 0; server < 2; ++server) {
            const bool behindRelay = relayed && stage == 1 && server == 0;
            out << "kind: server\nname: " << engineName(stage, server) << "\nspec: {address: \""
                << (behindRelay ? relayAddress() : engineAddress(stage, server))
                << "\", zone: zone-" << (server ? 'b' : 'a')
                << ", model: m, layers: " << (stage ? "12-23" : "0-11")
                << ", batch: " << engineBatch << ", labels: {role: engine}}\n---\n";
        }
    }
    out << "kind: server\nname: service-1\nspec: {address: \"" << serviceAddress()
        << "\", zone: zone-a, labels: {role: service}}\n---\n"
        << "kind: pool\nname: p\nspec: {servers: role = engine, retryPercent: 100}\n---\n"
        << "kind: pipeline\nname: chat\nspec: {model: m, pool: p, stages: [0-11, 12-23]}\n---\n"
        << "kind: service\nname: forms\nspec: {servers: role = service}\n---\n"
        << "kind: workspace\nname: demo\nspec: {keyHashes: [" << KeyHashText << "]}\n";
    return path;
}

void Fleet::applyConfiguration()
{
    const int code = command({"apply", writeConfiguration(), "--wait", "--wait_seconds", "60"});
    if (code != 0)
        throw std::runtime_error("apply failed: " + commandOutput());
    for (int i = 0; i < m_entries; ++i)
        eventually(entryName(i) + " reaches the engines", [this, i] {
            std::ifstream log(m_folder + '/' + entryName(i) + ".log");
            std::string line;
            int connected = 0;
            while (std::getline(log, line))
                connected += line.find("event=engine_connected") != std::string::npos;
            return connected >= 4;
        });
}

int Fleet::command(const std::vector<std::string> &arguments)
{
    std::vector<std::string> words {programs().valve};
    words.insert(words.end(), arguments.begin(), arguments.end());
    if (arguments.front() != "check" && arguments.back().find("--entry=") == std::string::npos)
        words.push_back("--entry=" + operatorAddress(0));
    return ChildProcess(words, m_folder + "/command.out").wait();
}

std::string Fleet::commandOutput() const
{
    return readFile(m_folder + "/command.out").value();
}

std::unique_ptr<ChildProcess> Fleet::startLoad(const std::vector<std::string> &flags)
{
    std::vector<std::string> words {programs().testTool,      "load",        "--entries",
                                    allCallerAddresses(),     "--come_back", "--report",
                                    m_folder + "/report.json"};
    words.insert(words.end(), flags.begin(), flags.end());
    return std::make_unique<ChildProcess>(words, m_folder + "/load.out");
}

json Fleet::loadReport() const
{
    return json::parse(readFile(m_folder + "/report.json").value());
}

json Fleet::load(const std::vector<std::string> &flags)
{
    startLoad(flags)->wait();
    return loadReport();
}

Fleet::Answer Fleet::ask(const std::string &address, const std::string &method,
                         const std::string &path, const std::string &body,
                         const std::string &bearer) const
{
    BlockingHttpRequest request;
    request.method = method;
    request.path = path.substr(0, path.find('?'));
    if (path.find('?') != std::string::npos)
        request.query = path.substr(path.find('?') + 1);
    request.body = body;
    request.bearerToken = bearer;
    request.timeout = 20s;
    const auto reply = sendBlockingRequest(address, request);
    return reply ? Answer {reply.value().status, reply.value().body} : Answer {};
}

json Fleet::askJson(const std::string &address, const std::string &path) const
{
    return json::parse(ask(address, "GET", path, "", OperatorToken).body, nullptr, false);
}

void Fleet::eventually(const std::string &what, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + EventuallyLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            CppUnit::Asserter::fail("never happened: " + what, CppUnit::SourceLine());
        std::this_thread::sleep_for(PollInterval);
    }
}

} // namespace dogwoodvalve::process
