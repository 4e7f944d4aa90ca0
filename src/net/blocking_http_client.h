#pragma once

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/timer_service.h>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// A short request to the platform or to an entry host's operator interface.
struct BlockingHttpRequest
{
    std::string method = "GET";
    std::string path;
    /// Without the question mark.
    std::string query;
    std::string body;
    /// Sent as Authorization: Bearer, if not empty.
    std::string bearerToken;
    Duration timeout = 2s;
};

struct BlockingHttpResponse
{
    int status = 0;
    std::string body;
};

/// Sends a request and waits for the whole reply. Errors: Unavailable if no connection was made,
/// Timeout if the answer was lost, so that the request may have taken effect.
Result<BlockingHttpResponse> sendBlockingRequest(std::string_view address,
                                                 const BlockingHttpRequest &request);

} // namespace dogwoodvalve
