#pragma once

#include "deployment.h"

namespace review {

/// One run of a request at a server.
struct Run
{
    std::string server;
    std::string service;
    Request request;
};

/// What the servers of a case have run.
class RunLog
{
public:
    explicit RunLog(Record &record)
        : m_record(record)
    { }

    void add(const Run &run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(run);
        m_record.line("server " + run.server + " (" + run.service + ") runs "
                      + run.request.field("X-Request-Id") + ": " + run.request.method + ' '
                      + run.request.target + ", body of " + std::to_string(run.request.body.size())
                      + " bytes");
    }
    std::vector<Run> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    Record &m_record;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/// A sound plain server: it checks the instance, runs each request, echoes its id and stamps its
/// answer, and registers itself about every heartbeat.
class PlainServer
{
public:
    PlainServer(Deployment &deployment, RunLog &runs, const std::string &id,
                const std::string &service)
        : m_deployment(deployment)
        , m_runs(runs)
        , m_id(id)
        , m_service(service)
        , m_address(deployment.newServerAddress())
        , m_born(unixMillis())
        , m_server(m_address, [this](const Request &request, Connection &connection) {
            handle(request, connection);
        })
    {
        registerOnce();
        m_heartbeat = std::thread([this] {
            while (!m_stopped) {
                for (int i = 0; i < 24 && !m_stopped; ++i)
                    pause(50ms);
                if (!m_stopped)
                    registerOnce();
            }
        });
    }
    ~PlainServer()
    {
        m_stopped = true;
        m_heartbeat.join();
    }

    const std::string &id() const { return m_id; }
    const Address &address() const { return m_address; }

private:
    void registerOnce()
    {
        const json entry = {{"Service", m_service},
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

    void handle(const Request &request, Connection &connection)
    {
        const std::string id = request.field("X-Request-Id");
        const std::string expected = request.field("X-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return answer(connection, 421, {{"X-Request-Id", id}, {"X-Not-Run", "1"}}, "");
        if (request.target == "/healthz")
            return answer(connection, 200, {{"X-Instance-Id", m_id}}, "");
        if (id.empty())
            return answer(connection, 400, {{"X-Not-Run", "1"}}, "");
        m_runs.add({m_id, m_service, request});
        pause(5ms);
        answer(connection, 200, {{"X-Request-Id", id}, {"X-Server-Stamp", m_id}},
               m_service + " served " + request.target + "\n");
    }

    Deployment &m_deployment;
    RunLog &m_runs;
    std::string m_id;
    std::string m_service;
    Address m_address;
    std::int64_t m_born;
    int m_seq = 0;
    std::atomic<bool> m_stopped {false};
    Server m_server;
    std::thread m_heartbeat;
};

} // namespace review
