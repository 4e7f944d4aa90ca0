#include "net/blocking_http_client.h"

#include "net/endpoint.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <string_view>

namespace dogwoodvalve {

namespace {

/// Whether connecting failed. cxxtools 3.0 has no separate exception type for this, so the message
/// is checked.
bool isConnectFailure(const std::exception &e)
{
    return std::string_view(e.what()).find("trying to connect") != std::string_view::npos;
}

} // namespace

Result<BlockingHttpResponse> sendBlockingRequest(std::string_view address,
                                                 const BlockingHttpRequest &request)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.error();
    const auto failed = [&](ErrorKind kind, const std::exception &e) {
        return Error {kind, "request to " + std::string(address) + " failed: " + e.what(),
                      "check that the process at this address runs"};
    };
    const cxxtools::Milliseconds timeout(
        static_cast<double>(std::chrono::ceil<std::chrono::milliseconds>(request.timeout).count()));
    cxxtools::http::Client client(endpoint.value().address().to_string(), endpoint.value().port());
    try {
        cxxtools::http::Request outgoing(request.path);
        outgoing.method(request.method);
        outgoing.qparams(request.query);
        outgoing.setHeader("Connection", "close");
        if (!request.bearerToken.empty())
            outgoing.setHeader("Authorization", ("Bearer " + request.bearerToken).c_str());
        if (!request.body.empty()) {
            outgoing.setHeader("Content-Type", "application/json");
            outgoing.body() << request.body;
        }
        const auto &header = client.execute(outgoing, timeout, timeout);
        const int status = static_cast<int>(header.httpReturnCode());
        client.readBody();
        return BlockingHttpResponse {status, client.body()};
    } catch (const std::exception &e) {
        return failed(isConnectFailure(e) ? ErrorKind::Unavailable : ErrorKind::Timeout, e);
    }
}

} // namespace dogwoodvalve
