#pragma once

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/timer_service.h>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// A small request to the platform or to an entry host's operator interface.
struct BlockingHttpRequest
{
    std::string method = "GET";
    std::string path;
    /// The query, without the question mark.
    std::string query;
    std::string body;
    /// If not empty, sent as "Authorization: Bearer".
    std::string bearerToken;
    Duration timeout = 2s;
};

struct BlockingHttpResponse
{
    int status = 0;
    std::string body;
};

/// Sends a request and blocks until the response is complete. Errors: InvalidArgument for a
/// malformed address, Unavailable if connecting failed, Timeout if no complete response arrived, in
/// which case the request may have taken effect.
Result<BlockingHttpResponse> sendBlockingRequest(std::string_view address,
                                                 const BlockingHttpRequest &request);

} // namespace dogwoodvalve
