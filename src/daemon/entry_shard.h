#pragma once

#include "daemon/entry_worker.h"
#include "net/asio_loop_services.h"
#include "net/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace dogwoodvalve {

/// A thread with an event loop, a listener and a worker.
class EntryShard
{
public:
    EntryShard(EntryContext &context, std::uint64_t seed);
    ~EntryShard();

    EntryShard(const EntryShard &) = delete;
    EntryShard &operator=(const EntryShard &) = delete;

    Result<void> start();
    /// Stops and joins the thread. Open sessions are dropped.
    void stop();
    /// To be called when a new configuration is in force. Any thread may call it.
    void configurationChanged();
    /// Requests whose answers have not been sent completely. Any thread may call it.
    int exchangesInFlight() const { return m_server.exchangesInFlight(); }

private:
    EntryContext &m_context;
    boost::asio::io_context m_loop {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    AsioLoopServices m_services;
    EntryWorker m_worker;
    HttpServer m_server;
    std::thread m_thread;
};

} // namespace dogwoodvalve
