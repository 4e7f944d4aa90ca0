#pragma once

#include "net/http_client.h"

#include <dogwoodvalve/timer_service.h>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <optional>
#include <string>

namespace dogwoodvalve {

/// Finds out whether a process listens at an address, without waiting for its answer: a server that
/// is overloaded still accepts connections. Calls back with true once the connection is made, with
/// false if it is refused, and with nothing if neither happens in time. The request for `target`
/// may be sent before the connection is closed. The client must not have been started. One that
/// connects by way of another host may learn of the connection only by the answer, which is awaited
/// for a moment.
void checkListening(TimerService &timers, std::shared_ptr<HttpClientRequest> client,
                    const boost::asio::ip::tcp::endpoint &endpoint, const std::string &target,
                    Duration timeout, std::function<void(std::optional<bool>)> done);

} // namespace dogwoodvalve
