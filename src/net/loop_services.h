#pragma once

#include "net/http_client.h"

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace dogwoodvalve {

/// The services of an event loop: timers, callbacks and HTTP clients. The daemon implements them
/// with Asio, the simulation with virtual time and a simulated network.
class LoopServices
{
public:
    virtual ~LoopServices() = default;

    virtual TimerService &timers() = 0;
    /// The time of day in ms since 1970. It differs between hosts and may jump.
    virtual std::int64_t unixMillis() const = 0;
    /// Calls back on the loop's thread, after the current callback. May be called on any thread.
    virtual void post(std::function<void()> callback) = 0;
    virtual std::shared_ptr<HttpClientRequest> createHttpClient() = 0;
};

} // namespace dogwoodvalve
