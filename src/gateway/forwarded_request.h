#pragma once

#include "net/http_server.h"

#include <memory>

namespace dogwoodvalve {

class GatewayNode;

/// Whether a request of another host is to be forwarded to a server.
bool isForwardedRequest(const HttpExchange &exchange);

/// Sends another host's request to the server that its target names, and the server's answer back.
/// The request is refused, and nothing sent, if this host knows that the server is leaving, or has
/// itself lost its links to servers.
void forwardRequest(GatewayNode &node, const std::shared_ptr<HttpExchange> &exchange);

} // namespace dogwoodvalve
