#pragma once

#include "net/asio_timer_service.h"
#include "net/loop_services.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <chrono>

namespace dogwoodvalve {

/// The services of an Asio event loop.
class AsioLoopServices : public LoopServices
{
public:
    explicit AsioLoopServices(boost::asio::io_context &loop)
        : m_loop(loop)
        , m_timers(loop)
    { }

    TimerService &timers() override { return m_timers; }
    std::int64_t unixMillis() const override
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    void post(std::function<void()> callback) override
    {
        boost::asio::post(m_loop, std::move(callback));
    }
    std::shared_ptr<HttpClientRequest> createHttpClient() override
    {
        return HttpClientRequest::create(m_loop);
    }

private:
    boost::asio::io_context &m_loop;
    AsioTimerService m_timers;
};

} // namespace dogwoodvalve
