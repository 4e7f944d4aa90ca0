#pragma once

#include "plain_server.h"

namespace review {

constexpr const char *FragileHost = "school.example";
constexpr const char *DeadlyBody = "deadly slip";
constexpr auto DownTime = std::chrono::milliseconds(2500);
constexpr auto ContactTime = std::chrono::milliseconds(3000);

enum class CrashForm {
    /// The request crashes nothing.
    None,
    /// The server's connections are reset, and its port refuses new ones.
    Reset,
    /// The server sends nothing, not even a reset.
    Dark,
};

/// When the deadly request reached a server, and when it crashed one.
struct Arrivals
{
    std::mutex mutex;
    std::vector<Clock::time_point> at;
    std::vector<Clock::time_point> crashes;
};

/// A plain server that crashes under the deadly request and is back after some seconds, under its
/// id with a new start.
class FragileServer
{
public:
    FragileServer(Deployment &deployment, Record &record, RunLog &runs, Arrivals &arrivals,
                  CrashForm form, const std::string &id)
        : m_deployment(deployment)
        , m_record(record)
        , m_runs(runs)
        , m_arrivals(arrivals)
        , m_form(form)
        , m_id(id)
        , m_address(deployment.newServerAddress())
        , m_born(unixMillis())
    {
        listen();
        registerOnce();
        std::thread([this] { beat(); }).detach();
    }

private:
    void listen()
    {
        m_server = std::make_unique<Server>(m_address,
                                            [this](const Request &request, Connection &connection) {
                                                handle(request, connection);
                                            });
    }

    void registerOnce()
    {
        const json entry = {{"Service", "desk"},
                            {"Addr", m_address.text()},
                            {"Zone", m_deployment.zone()},
                            {"Version", "1"},
                            {"Slots", 6},
                            {"State", "ready"},
                            {"ColdRemainingMs", 0},
                            {"Seq", ++m_seq},
                            {"born", m_born}};
        m_deployment.store().put("keyed.servers", m_id, entry.dump());
    }

    /// Writes the entry at each heartbeat, and at a start.
    void beat()
    {
        auto next = Clock::now() + 1200ms;
        while (true) {
            pause(20ms);
            const std::lock_guard lock(m_mutex);
            if (m_dark && Clock::now() >= m_backAt) {
                m_dark = false;
                if (m_form == CrashForm::Reset)
                    listen();
                ++m_starts;
                m_born = unixMillis();
                m_seq = 0;
                m_record.line("server " + m_id + " is back, born " + std::to_string(m_born));
                next = Clock::now();
            }
            if (!m_dark && Clock::now() >= next) {
                registerOnce();
                next = Clock::now() + 1200ms;
            }
        }
    }

    /// Says nothing until the server is back, and then ends the connection with a reset.
    void staySilent(Connection &connection)
    {
        int start = 0;
        {
            const std::lock_guard lock(m_mutex);
            start = m_starts;
        }
        while (true) {
            pause(20ms);
            const std::lock_guard lock(m_mutex);
            if (m_starts != start)
                break;
        }
        connection.reset();
    }

    void crash(const std::string &request, Connection &connection)
    {
        std::unique_ptr<Server> ended;
        {
            const std::scoped_lock lock(m_mutex, m_arrivals.mutex);
            m_arrivals.crashes.push_back(Clock::now());
            m_dark = true;
            m_backAt = Clock::now() + DownTime;
            m_record.line("server " + m_id + " crashes under " + request);
            if (m_form == CrashForm::Reset)
                ended = std::move(m_server);
        }
        if (m_form == CrashForm::Dark)
            return staySilent(connection);
        ended.reset();
        connection.reset();
    }

    void handle(const Request &request, Connection &connection)
    {
        const std::string id = request.field("X-Request-Id");
        {
            std::unique_lock lock(m_mutex);
            if (m_dark) {
                lock.unlock();
                return staySilent(connection);
            }
        }
        const std::string expected = request.field("X-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return answer(connection, 421, {{"X-Request-Id", id}, {"X-Not-Run", "1"}}, "");
        if (request.target == "/healthz")
            return answer(connection, 200, {{"X-Instance-Id", m_id}}, "");
        m_runs.add({m_id, "desk", request});
        if (request.body == DeadlyBody) {
            const std::lock_guard lock(m_arrivals.mutex);
            m_arrivals.at.push_back(Clock::now());
        }
        if (request.body == DeadlyBody && m_form != CrashForm::None)
            return crash(id, connection);
        pause(5ms);
        answer(connection, 200, {{"X-Request-Id", id}, {"X-Server-Stamp", m_id}}, "served\n");
    }

    Deployment &m_deployment;
    Record &m_record;
    RunLog &m_runs;
    Arrivals &m_arrivals;
    CrashForm m_form;
    std::string m_id;
    Address m_address;
    std::mutex m_mutex;
    std::int64_t m_born;
    int m_seq = 0;
    int m_starts = 0;
    bool m_dark = false;
    Clock::time_point m_backAt {};
    std::unique_ptr<Server> m_server;
};

/// Configures the one route and starts three fragile servers, which stay until the case ends.
inline void startFragileServers(Deployment &deployment, Record &record, RunLog &runs,
                                Arrivals &arrivals, CrashForm form)
{
    deployment.store().put("keyed.op", "config",
                           json {{"Version", 7},
                                 {"Routes", {route(FragileHost, "/sign/", "unsafe", "desk")}},
                                 {"Services", {{{"Name", "desk"}, {"HealthPath", "/healthz"}}}},
                                 {"Tenants", {{{"Name", "school-1"}, {"ApiKeys", {"key-1"}}}}},
                                 {"Limits", limits()}}
                               .dump());
    for (int i = 1; i <= 3; ++i)
        new FragileServer(deployment, record, runs, arrivals, form, "i-desk-" + std::to_string(i));
}

inline int sendSlip(Deployment &deployment, Record &record, const std::string &id,
                    const std::string &body, int host)
{
    const Response response = ask(deployment.front(host), "POST", "/sign/slip",
                                  {{"Host", FragileHost},
                                   {"Api-Key", "key-1"},
                                   {"X-Request-Id", id},
                                   {"X-Deadline-Ms", "3000"},
                                   {"Connection", "close"}},
                                  body);
    record.line("client gets " + std::to_string(response.status) + " for " + id);
    return response.status;
}

inline void checkSoundRequests(Deployment &deployment, Record &record)
{
    for (int i = 0; i < 10; ++i) {
        if (sendSlip(deployment, record, "before-" + std::to_string(i + 1),
                     "slip " + std::to_string(i), i % deployment.hosts())
            != 200)
            throw CannotRun("sound requests are not served at the start");
    }
}

/// Whether at most three of these arrivals came later than ContactMs after the third crash.
inline bool judge(Record &record, const std::vector<Clock::time_point> &arrivals,
                  const std::vector<Clock::time_point> &crashes)
{
    record.line("the request crashed servers " + std::to_string(crashes.size()) + " times");
    if (crashes.size() < 3)
        return true;
    const auto known = crashes[2] + ContactTime;
    const auto late = std::count_if(arrivals.begin(), arrivals.end(),
                                    [known](const auto &at) { return at > known; });
    record.line("BUDGET: it reached servers " + std::to_string(late)
                + " times later than ContactMs after the third crash; three are allowed");
    return late <= 3;
}

} // namespace review
