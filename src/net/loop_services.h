#pragma once

#include "net/http_client.h"

#include <dogwoodvalve/timer_service.h>

#include <functional>
#include <memory>

namespace dogwoodvalve {

/// What the parts of one thread need of its event loop. The daemon implements it with Asio, the
/// randomised runs with virtual time and a pretended network.
class LoopServices
{
public:
    virtual ~LoopServices() = default;

    virtual TimerService &timers() = 0;
    /// Calls back on the loop's thread, after the present turn. Any thread may post.
    virtual void post(std::function<void()> callback) = 0;
    virtual std::shared_ptr<HttpClientRequest> createHttpClient() = 0;
};

} // namespace dogwoodvalve
