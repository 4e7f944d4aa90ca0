#pragma once

#include "daemon/log.h"
#include "net/http_server.h"

#include <string_view>

namespace dogwoodvalve {

/// Logs that a client was dropped. The id is that of its request, or empty.
inline void logDroppedClient(std::string_view requestId, const HttpExchange &request,
                             const DroppedClient &client)
{
    LogEvent::decision("client_dropped")
        .field("request", requestId)
        .field("shortage", toString(client.shortage))
        .field("activity", toString(client.activity))
        .field("held_bytes", client.bytes)
        .field("ms", client.age.count() / 1000)
        .field("target", request.target().substr(0, 80))
        .field("remote", request.remoteAddress());
}

} // namespace dogwoodvalve
