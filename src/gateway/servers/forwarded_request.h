#pragma once

#include "net/http_server.h"

#include <memory>

namespace dogwoodvalve {

class GatewayNode;

/// Sends another host's request to the server that its target names, and the server's answer back.
/// The request is refused, and nothing sent, if this host knows that the server is leaving, or has
/// itself lost its links to servers. Returns false, and does nothing, if the target names no
/// server.
bool tryForwardRequest(GatewayNode &node, const std::shared_ptr<HttpExchange> &exchange);

} // namespace dogwoodvalve
