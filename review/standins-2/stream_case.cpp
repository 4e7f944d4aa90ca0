// A small deployment with one language model: three gateways, 24 engines that each hold the whole
// model, clients that ask for streams which may be resumed. Answers have neither a length nor
// chunks and end with their connection. Some engines crash shortly after one another. Arguments:
// ROOT FOLDER RECORD SECONDS. Exit code: 0 the rule held, 1 it broke, 2 not run.

#include "fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <set>

using namespace review;

namespace {

constexpr int GatewayCount = 3;
constexpr int EngineCount = 24;
constexpr int Layers = 4;
constexpr int EventCount = 40;
constexpr double FirstEventS = 0.25;
constexpr double EventS = 0.04;
/// Streams a second, all clients together.
constexpr double Rate = 60;
constexpr double ClientDeadlineS = 20;
/// As on the small sites: 0.17 of the engines, for 4.5 s. Not all at the same moment.
constexpr int CrashCount = 4;
constexpr double CrashGapS = 0.08;
constexpr double DownS = 4.5;
constexpr double FirstCrashS = 6;
constexpr double CrashIntervalS = 8;
/// An entry is removed after three heartbeats of silence.
constexpr double BeatS = 1.2;
constexpr const char *Key = "n2ctnfzs989anu6wsjnb";

Record record;

double chance()
{
    static std::mutex own;
    static std::mt19937_64 random(50);
    const std::lock_guard lock(own);
    return std::uniform_real_distribution<double>(0, 1)(random);
}

class Engine
{
public:
    Engine(Store &store, int number)
        : m_store(store)
        , m_id("i-" + std::to_string(number))
        , m_born(unixMillis())
    {
        m_server.start([this](Connection &connection) { handle(connection); });
    }

    const std::string &id() const { return m_id; }
    bool crashed() const { return m_crashed; }

    void beat()
    {
        json entry = {{"Service", "llm"},   {"Addr", m_server.address()},
                      {"Zone", "a"},        {"Version", "v1"},
                      {"Kind", "card"},     {"Slots", 192},
                      {"State", "ready"},   {"ColdRemainingMs", 0},
                      {"Stage", "unified"}, {"born", m_born},
                      {"Seq", ++m_beats}};
        if (m_loaded)
            entry["Layers"] = {{"From", 0}, {"Target", Layers}};
        m_store.put("keyed.servers", m_id, entry.dump());
    }

    /// Ends all connections, as the end of a process does. Streams whose events have begun are cut
    /// in the middle of one.
    void crash()
    {
        m_crashed = true;
        m_server.stop();
        record.add("engine " + m_id + " crashes");
    }

    void remove() { m_store.put("keyed.servers", m_id, std::nullopt); }

private:
    void handle(Connection &connection)
    {
        Request request;
        while (!m_crashed && connection.readRequest(request, now() + 30) && !m_crashed) {
            if (request.path() == "/v1/report") {
                if (!connection.send(responseText(200, "OK", {{"Content-Type", "application/json"}},
                                                  report().dump())))
                    return;
                continue;
            }
            if (request.path() == "/v1/order") {
                ++m_orders;
                std::thread([this] {
                    sleepFor(0.3);
                    m_loaded = true;
                    beat();
                }).detach();
                connection.send(responseText(202, "Accepted", {}, ""));
                continue;
            }
            if (request.path() == "/healthz") {
                connection.send(responseText(200, "OK", {{"X-Instance-Id", m_id}}, ""));
                continue;
            }
            return answer(connection, request);
        }
    }

    json report() const
    {
        json report = {{"Stage", "unified"}, {"Models", json::array()},
                       {"Busy", false},      {"Seq", m_orders.load()},
                       {"WaitingReqs", 0},   {"RunningReqs", m_running.load()},
                       {"KvUsed", 0},        {"KvTotal", 300000},
                       {"Handles", 0},       {"pace", 1},
                       {"Kind", "card"},     {"born", m_born}};
        if (m_loaded)
            report["Layers"] = {{"From", 0}, {"Target", Layers}};
        return report;
    }

    void answer(Connection &connection, const Request &request)
    {
        const std::string id = request.field("x-request-id");
        if (request.field("x-expect-instance") != m_id || !m_loaded) {
            connection.send(responseText(
                421, "Misdirected Request",
                {{"X-Instance-Id", m_id}, {"X-Request-Id", id}, {"At-Server", m_server.address()}},
                ""));
            return;
        }
        const std::string last = request.field("last-event-id");
        int next = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        const int first = next;
        ++m_running;
        record.add("engine " + m_id + " runs " + id + " from event " + std::to_string(first));
        bool open =
            connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            "X-Request-Id: "
                            + id + "\r\nX-Server-Stamp: " + m_id + "\r\nConnection: close\r\n\r\n");
        for (double at = now() + FirstEventS; open && next <= EventCount; at += EventS, ++next) {
            while (!m_crashed && now() < at)
                sleepFor(std::min(0.002, at - now()));
            const std::string event =
                "id: " + std::to_string(next) + "\ndata: piece " + std::to_string(next) + "\n\n";
            if (m_crashed) {
                if (next > first)
                    connection.send(event.substr(0, event.size() / 2));
                record.add("engine " + m_id + " ends " + id + " before event "
                           + std::to_string(next)
                           + (next > first ? ", within it" : ", the first of this run"));
                break;
            }
            open = connection.send(event);
        }
        --m_running;
        connection.close();
    }

    Store &m_store;
    std::string m_id;
    std::int64_t m_born;
    std::int64_t m_beats = 0;
    std::atomic<int> m_orders {0};
    std::atomic<int> m_running {0};
    std::atomic<bool> m_loaded {false};
    std::atomic<bool> m_crashed {false};
    Server m_server;
};

std::mutex mutex;
int complete = 0;
int broken = 0;
int refused = 0;
int cut = 0;

/// Whether the body's events are 1, 2, ... without a gap; `last` is the last one.
bool inOrder(const std::string &body, int &last)
{
    last = 0;
    for (std::size_t at = body.find("id: "); at != std::string::npos;
         at = body.find("id: ", at + 1)) {
        const int id = std::atoi(body.c_str() + at + 4);
        if (id != last + 1)
            return false;
        last = id;
    }
    return true;
}

void sendRequest(int port, const std::string &id, int thing)
{
    const std::string body(800, 'b');
    const std::string text = "POST /ask/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
        + "\r\nX-Model: m0\r\nX-Token-Usage: 800,60\r\nX-Prompt-Prefix: a" + std::to_string(thing)
        + ":40," + id + ":760\r\nX-Deadline-Ms: 20000\r\nApi-Key: " + Key
        + "\r\nContent-Length: 800\r\n\r\n" + body;
    record.add("client sends " + id);
    const Response response = call(port, text, "POST", ClientDeadlineS);
    int last = 0;
    const bool ordered = inOrder(response.body, last);
    record.add("client gets for " + id + ": " + std::to_string(response.status) + ", last event "
               + std::to_string(last)
               + (response.status ? ", complete" : ", not complete: " + response.failure));
    const std::lock_guard lock(mutex);
    if (response.status == 0)
        ++cut;
    else if (response.status != 200)
        ++refused;
    else if (ordered && last == EventCount)
        ++complete;
    if (!ordered || (response.status == 200 && last != EventCount)) {
        ++broken;
        record.add("ORDER: " + id + " ended as complete after event " + std::to_string(last)
                   + " of " + std::to_string(EventCount));
    }
}

json configuration()
{
    return {{"Version", 7},
            {"Routes",
             {{{"Name", "r-1"},
               {"Host", "ficu95.example"},
               {"PathPrefix", "/ask/"},
               {"Kind", "streaming"},
               {"TimeoutMs", 20000},
               {"TargetLatencyMs", 500},
               {"Priority", 1},
               {"Service", "llm"},
               {"MaxAttempts", 2},
               {"NoAuth", false},
               {"Sticky", true},
               {"CanResume", true},
               {"GapTargetMs", 200}}}},
            {"Services",
             {{{"Name", "llm"},
               {"HealthPath", "/healthz"},
               {"MaxConnections", 1128},
               {"Protocol", "h1"},
               {"Tls", false},
               {"Engine",
                {{"Slots", 192},
                 {"KvCapacity", 75000},
                 {"KvTokenBytes", 8000},
                 {"Stride", 1},
                 {"Models", {{{"Name", "m0"}, {"pace", 1.0}, {"LoadS", 1.0}, {"WarmS", 1.0}}}},
                 {"step_ms", 40},
                 {"per_seq_ms", 0},
                 {"context_per_k", 0},
                 {"read_per_s", 4000},
                 {"usual", {{"prompt", 800}, {"answer", 40}}},
                 {"Layers", Layers},
                 {"LayerMb", 100},
                 {"Kinds",
                  {{{"Name", "card"}, {"SizeMb", 1000}, {"pace", 1.0}, {"ReadFactor", 1.0}}}}}}}}},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 4194304},
              {"HeaderTimeoutMs", 3000},
              {"IdleTimeoutMs", 15000}}},
            {"Tenants", {{{"Name", "hule930"}, {"ApiKeys", {Key}}, {"Priority", 1}}}}};
}

/// The engines that run, and those that have crashed. Not freed: threads may still use them.
class Fleet
{
public:
    explicit Fleet(Store &store)
        : m_store(store)
    {
        for (int i = 0; i < EngineCount; ++i)
            add();
    }

    void add()
    {
        auto *engine = new Engine(m_store, ++m_number);
        const std::lock_guard lock(m_mutex);
        m_engines.push_back(engine);
    }

    void beat()
    {
        const std::lock_guard lock(m_mutex);
        for (Engine *engine : m_engines) {
            if (!engine->crashed())
                engine->beat();
        }
    }

    void crashSome()
    {
        std::vector<Engine *> crashing;
        {
            const std::lock_guard lock(m_mutex);
            std::vector<Engine *> up;
            std::copy_if(m_engines.begin(), m_engines.end(), std::back_inserter(up),
                         [](const Engine *it) { return !it->crashed(); });
            for (int i = 0; i < CrashCount; ++i) {
                const auto at = static_cast<std::size_t>(chance() * static_cast<double>(up.size()));
                crashing.push_back(up[at]);
                up.erase(up.begin() + static_cast<std::ptrdiff_t>(at));
            }
        }
        for (Engine *engine : crashing) {
            std::thread([engine] { engine->crash(); }).detach();
            sleepFor(CrashGapS);
        }
        sleepFor(3 * BeatS);
        for (Engine *engine : crashing)
            engine->remove();
        sleepFor(DownS - 3 * BeatS);
        for (int i = 0; i < CrashCount; ++i)
            add();
    }

private:
    Store &m_store;
    std::mutex m_mutex;
    std::vector<Engine *> m_engines;
    int m_number = 0;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc < 5)
        return 2;
    const double seconds = std::atof(argv[4]);
    int result = 2;
    {
        Store &store = *new Store;
        store.put("keyed.op", "config", configuration().dump());
        Fleet &fleet = *new Fleet(store);
        std::thread([&fleet] {
            for (;;) {
                fleet.beat();
                sleepFor(BeatS);
            }
        }).detach();
        Gateways gateways(argv[1], argv[2], store.address(), GatewayCount);
        for (int i = 0; i < GatewayCount; ++i)
            gateways.start(i);
        if (gateways.waitUntilReady(15)) {
            // The engines load the model first.
            sleepFor(8);
            record.add("traffic begins");
            const double begin = now();
            std::atomic<bool> over {false};
            std::thread crashes([&] {
                for (double at = begin + FirstCrashS; troubled() && at < begin + seconds - 6;
                     at += CrashIntervalS) {
                    sleepFor(at - now());
                    fleet.crashSome();
                }
            });
            std::vector<std::thread> clients;
            for (int n = 0; now() - begin < seconds; ++n) {
                char id[32];
                std::snprintf(id, sizeof(id), "%016x", 0x9c41d07 + n);
                clients.emplace_back(sendRequest, gateways.port(n % GatewayCount), std::string(id),
                                     static_cast<int>(chance() * 60));
                sleepFor(-std::log(1 - chance()) / Rate);
            }
            for (std::thread &client : clients)
                client.join();
            crashes.join();
            char text[200];
            std::snprintf(text, sizeof(text),
                          "streams whole %d, refused or failed %d, cut %d; ORDER %d", complete,
                          refused, cut, broken);
            record.add(text);
            std::puts(text);
            // Without whole streams the case shows nothing.
            result = complete < 100 ? 2 : broken > 0 ? 1 : 0;
        } else {
            record.add("the gateways are not ready");
        }
    }
    record.save(argv[3]);
    std::fflush(stdout);
    std::_Exit(result);
}
