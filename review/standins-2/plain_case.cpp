// A small deployment with one plain service: three gateways, three servers, clients that send
// unsafe and safe requests. One server is faulty. The first argument names the fault:
//   foreign-refusal  late, it sends a refusal of another request again, before its answer
//   spoiled-503      it spoils an answer, so that a 503 without stamp, id and X-Not-Run comes
//   interim          it breaks an answer off after an interim (1xx) response
// Arguments: FAULT ROOT FOLDER RECORD SECONDS. Exit code: 0 the rule held, 1 it broke, 2 not run.

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
constexpr int ServerCount = 3;
constexpr int Slots = 3;
constexpr double WorkS = 0.06;
/// A second, all clients together.
constexpr double Rate = 60;
constexpr double UnsafeShare = 0.7;
constexpr double RouteTimeoutS = 1.5;
constexpr double ClientDeadlineS = 3;
constexpr const char *Key = "n2ctnfzs989anu6wsjnb";
/// The disruption comes several times, each for this long. The sites' files have 5 s and more.
constexpr double TroubleS = 5;
constexpr double CalmS = 4;

struct Outcome
{
    bool unsafe = false;
    double sentAt = 0;
    /// 0 while there is no final answer.
    int status = 0;
    double answeredAt = 0;
    std::vector<int> interim;
    std::string failure;
    std::string stamp;
    /// Names of the servers that began to run the request.
    std::vector<std::string> runs;
};

std::mutex mutex;
std::map<std::string, Outcome> outcomes;
Record record;

double chance()
{
    static std::mutex own;
    static std::mt19937_64 random(50);
    const std::lock_guard lock(own);
    return std::uniform_real_distribution<double>(0, 1)(random);
}

/// When traffic began.
std::atomic<double> trafficBegan {1e9};

bool inTrouble()
{
    const double since = now() - trafficBegan;
    return troubled() && since >= 0 && std::fmod(since, TroubleS + CalmS) >= CalmS;
}

class PlainServer
{
public:
    PlainServer(Store &store, int number, std::string fault, double share)
        : m_store(store)
        , m_id("i-" + std::to_string(number))
        , m_fault(std::move(fault))
        , m_share(share)
        , m_born(unixMillis())
    {
        m_server.start([this](Connection &connection) { handle(connection); });
    }

    void beat()
    {
        m_store.put("keyed.servers", m_id,
                    json {{"Service", "desk"},
                          {"Addr", m_server.address()},
                          {"Zone", "a"},
                          {"Version", "v1"},
                          {"Slots", Slots},
                          {"State", "ready"},
                          {"ColdRemainingMs", 0},
                          {"born", m_born},
                          {"Seq", ++m_beats}}
                        .dump());
    }

    int faults() const { return m_faults; }

private:
    void handle(Connection &connection)
    {
        Request request;
        while (connection.readRequest(request, now() + 30)) {
            if (request.path() == "/healthz") {
                if (!connection.send(responseText(200, "OK", {{"X-Instance-Id", m_id}}, "")))
                    return;
                continue;
            }
            if (!answer(connection, request))
                return;
        }
    }

    bool answer(Connection &connection, const Request &request)
    {
        const std::string id = request.field("x-request-id");
        if (request.field("x-expect-instance") != m_id)
            return connection.send(responseText(
                421, "Misdirected Request", {{"X-Instance-Id", m_id}, {"X-Request-Id", id}}, ""));
        if (++m_running > Slots) {
            --m_running;
            const std::string refusal = responseText(
                503, "Service Unavailable",
                {{"X-Request-Id", id}, {"X-Server-Stamp", m_id}, {"X-Not-Run", "1"}}, "");
            record.add("server " + m_id + " refuses " + id + ": full");
            const std::lock_guard lock(m_mutex);
            m_refusal = refusal;
            m_refused = id;
            return connection.send(refusal);
        }
        {
            const std::lock_guard lock(mutex);
            outcomes[id].runs.push_back(m_id);
        }
        record.add("server " + m_id + " runs " + id + " (" + request.target + ")");
        const bool faulty = inTrouble() && !m_fault.empty() && chance() < m_share;
        if (faulty && m_fault == "foreign-refusal")
            sendOldRefusal(connection);
        sleepFor(WorkS);
        --m_running;
        if (faulty && m_fault == "spoiled-503") {
            ++m_faults;
            record.add("server " + m_id + " spoils its answer to " + id
                       + ": a 503 without stamp, id and X-Not-Run");
            connection.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (faulty && m_fault == "interim") {
            ++m_faults;
            record.add("server " + m_id + " breaks off its answer to " + id
                       + " after an interim response");
            connection.send("HTTP/1.1 102 Processing\r\n\r\n");
            return false;
        }
        return connection.send(responseText(
            200, "OK", {{"X-Request-Id", id}, {"X-Server-Stamp", m_id}}, std::string(800, 'x')));
    }

    /// Sends the last refusal once more, late: where the answer to another request is expected. Its
    /// X-Request-Id is that of the request that was refused.
    void sendOldRefusal(Connection &connection)
    {
        const std::lock_guard lock(m_mutex);
        if (m_refusal.empty())
            return;
        ++m_faults;
        record.add("server " + m_id + " sends the refusal of " + m_refused + " again");
        connection.send(m_refusal);
    }

    Store &m_store;
    std::string m_id;
    std::string m_fault;
    double m_share;
    std::int64_t m_born;
    std::int64_t m_beats = 0;
    std::atomic<int> m_running {0};
    std::atomic<int> m_faults {0};
    std::mutex m_mutex;
    std::string m_refusal;
    std::string m_refused;
    Server m_server;
};

void sendRequest(int port, const std::string &id, bool unsafe)
{
    {
        const std::lock_guard lock(mutex);
        outcomes[id].unsafe = unsafe;
        outcomes[id].sentAt = now();
    }
    const std::string method = unsafe ? "POST" : "GET";
    const std::string body = unsafe ? std::string(600, 'b') : "";
    std::string text = method + (unsafe ? " /sign/2f" : " /status/2f")
        + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
        + std::to_string(static_cast<int>(ClientDeadlineS * 1000)) + "\r\nApi-Key: " + Key + "\r\n";
    if (unsafe)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    record.add("client sends " + id + (unsafe ? " (unsafe)" : " (safe)"));
    const Response response = call(port, text + "\r\n" + body, method, ClientDeadlineS);
    std::string line = "client gets for " + id + ": ";
    line +=
        response.status ? std::to_string(response.status) : "no final answer, " + response.failure;
    for (const int status : response.interim)
        line += ", interim " + std::to_string(status);
    line += ", stamp '" + response.field("x-server-stamp") + "'";
    record.add(line);
    const std::lock_guard lock(mutex);
    Outcome &outcome = outcomes[id];
    outcome.status = response.status;
    outcome.answeredAt = now();
    outcome.interim = response.interim;
    outcome.failure = response.failure;
    outcome.stamp = response.field("x-server-stamp");
}

json configuration()
{
    const auto route = [](const char *name, const char *prefix, const char *kind, int attempts) {
        return json {{"Name", name},
                     {"Host", "ficu95.example"},
                     {"PathPrefix", prefix},
                     {"Kind", kind},
                     {"TimeoutMs", static_cast<int>(RouteTimeoutS * 1000)},
                     {"TargetLatencyMs", 300},
                     {"Priority", 2},
                     {"Service", "desk"},
                     {"MaxAttempts", attempts},
                     {"NoAuth", false}};
    };
    return {{"Version", 7},
            {"Routes", {route("r-1", "/sign/", "unsafe", 1), route("r-2", "/status/", "safe", 2)}},
            {"Services",
             {{{"Name", "desk"},
               {"HealthPath", "/healthz"},
               {"MaxConnections", 100},
               {"Protocol", "h1"},
               {"Tls", false}}}},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 4194304},
              {"HeaderTimeoutMs", 3000},
              {"IdleTimeoutMs", 15000}}},
            {"Tenants", {{{"Name", "hule930"}, {"ApiKeys", {Key}}, {"Priority", 1}}}}};
}

std::string listOf(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : " and ") + name;
    return text;
}

/// Checks the rules as they are written. Returns the number of breaches of those that count here.
int check()
{
    const std::lock_guard lock(mutex);
    int twice = 0;
    int refusedAndRan = 0;
    int pastTimeout = 0;
    int unanswered = 0;
    std::map<std::string, int> statuses;
    for (const auto &[id, outcome] : outcomes) {
        const bool promise = outcome.status == 429 || outcome.status == 503 || outcome.status == 408
            || outcome.status == 421;
        ++statuses[outcome.status ? std::to_string(outcome.status) : "none"];
        if (outcome.unsafe && outcome.runs.size() > 1) {
            ++twice;
            record.add("TWICE: " + id + " ran on " + listOf(outcome.runs) + "; the client got "
                       + std::to_string(outcome.status));
        }
        if (outcome.unsafe && promise && !outcome.runs.empty()) {
            ++refusedAndRan;
            record.add("REFUSED: " + id + " ran on " + listOf(outcome.runs) + "; the client got "
                       + std::to_string(outcome.status));
        }
        const double waited = outcome.answeredAt - outcome.sentAt;
        if (outcome.status == 0 || waited > RouteTimeoutS)
            ++pastTimeout;
        if (outcome.status == 0 || waited > RouteTimeoutS + 0.5) {
            ++unanswered;
            record.add("CONFIG: " + id + " has no final answer 0.5 s after its route's TimeoutMs: "
                       + outcome.failure);
        }
    }
    std::string line = "requests " + std::to_string(outcomes.size()) + ", answers:";
    for (const auto &[status, n] : statuses)
        line += ' ' + status + " x " + std::to_string(n);
    record.add(line);
    const bool unfinished = unanswered >= 8 && unanswered * 4 > pastTimeout;
    char text[200];
    std::snprintf(text, sizeof(text),
                  "TWICE %d, REFUSED %d, CONFIG: %d of %d without a final answer in time (%s)",
                  twice, refusedAndRan, unanswered, pastTimeout, unfinished ? "broken" : "kept");
    record.add(text);
    std::puts(text);
    return twice + refusedAndRan + (unfinished ? 1 : 0);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 6)
        return 2;
    const std::string fault = argv[1];
    const double seconds = std::atof(argv[5]);
    // One of the three servers is faulty, and this share of its answers, as on the small sites.
    const double share = fault == "foreign-refusal" ? 0.03 : 0.02;
    int result = 2;
    {
        // Not freed: threads of open connections still use them when the program ends.
        Store &store = *new Store;
        store.put("keyed.op", "config", configuration().dump());
        std::vector<PlainServer *> servers;
        for (int i = 0; i < ServerCount; ++i)
            servers.push_back(new PlainServer(store, i + 1, i == 0 ? fault : "", share));
        std::atomic<bool> over {false};
        std::thread beats([&] {
            while (!over) {
                for (PlainServer *server : servers)
                    server->beat();
                sleepFor(1.2);
            }
        });
        Gateways gateways(argv[2], argv[3], store.address(), GatewayCount);
        for (int i = 0; i < GatewayCount; ++i)
            gateways.start(i);
        if (gateways.waitUntilReady(15)) {
            record.add("traffic begins");
            std::vector<std::thread> clients;
            const double begin = now();
            trafficBegan = begin;
            for (int n = 0; now() - begin < seconds; ++n) {
                char id[32];
                std::snprintf(id, sizeof(id), "%016x", 0x9c41d07 + n);
                clients.emplace_back(sendRequest, gateways.port(n % GatewayCount), std::string(id),
                                     chance() < UnsafeShare);
                sleepFor(-std::log(1 - chance()) / Rate);
            }
            for (std::thread &client : clients)
                client.join();
            sleepFor(0.5);
            int faults = 0;
            for (PlainServer *server : servers)
                faults += server->faults();
            record.add("faults: " + std::to_string(faults));
            for (int i = 0; i < GatewayCount; ++i) {
                if (gateways.ended(i))
                    record.add("gateway " + std::to_string(i + 1) + " has ended by itself");
            }
            result = check() > 0 ? 1 : 0;
        } else {
            record.add("the gateways are not ready");
        }
        over = true;
        beats.join();
    }
    record.save(argv[4]);
    std::fflush(stdout);
    std::_Exit(result);
}
