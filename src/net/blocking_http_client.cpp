#include "net/blocking_http_client.h"

#include "net/asio_loop_services.h"
#include "net/buffered_request.h"
#include "net/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>

#include <optional>

namespace dogwoodvalve {

namespace {

HttpRequestHead headOf(const BlockingHttpRequest &request)
{
    HttpRequestHead head;
    head.method = request.method;
    head.target = request.path;
    if (!request.query.empty())
        head.target += '?' + request.query;
    if (!request.bearerToken.empty())
        head.fields.push_back({"Authorization", "Bearer " + request.bearerToken});
    if (!request.body.empty())
        head.fields.push_back({"Content-Type", "application/json"});
    return head;
}

} // namespace

Result<BlockingHttpResponse> sendBlockingRequest(std::string_view address,
                                                 const BlockingHttpRequest &request)
try {
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.error();
    boost::asio::io_context loop(1);
    AsioLoopServices services(loop);
    const auto client = services.createHttpClient();
    std::optional<Result<HttpResponse>> result;
    bool sent = false;
    sendBufferedRequest(services.timers(), client, endpoint.value(), headOf(request), request.body,
                        request.timeout, [&](Result<HttpResponse> response) {
                            sent = client->anyByteSent();
                            result = std::move(response);
                            loop.stop();
                        });
    loop.run();
    if (!*result)
        return Error {sent ? ErrorKind::Timeout : ErrorKind::Unavailable,
                      "request to " + std::string(address) + " failed: " + result->error().message,
                      "check that the process at this address runs"};
    return BlockingHttpResponse {result->value().status, std::move(result->value().body)};
} catch (const boost::system::system_error &e) {
    // An event loop needs descriptors of its own.
    return Error {ErrorKind::Unavailable, std::string("no event loop: ") + e.what(),
                  "raise the limit of open descriptors"};
}

} // namespace dogwoodvalve
