#pragma once

#include "net/loop_services.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// A complete response.
struct HttpResponse
{
    int status = 0;
    std::vector<HttpField> fields;
    std::string body;
};

/// Sends a request with a complete body and calls back once, with the complete response or an
/// error.
void sendBufferedRequest(LoopServices &loop, const boost::asio::ip::tcp::endpoint &endpoint,
                         HttpRequestHead head, const std::string &body, Duration timeout,
                         std::function<void(Result<HttpResponse>)> done);
/// As above, with a client that has not been started.
void sendBufferedRequest(TimerService &timers, std::shared_ptr<HttpClientRequest> client,
                         const boost::asio::ip::tcp::endpoint &endpoint, HttpRequestHead head,
                         const std::string &body, Duration timeout,
                         std::function<void(Result<HttpResponse>)> done);

/// The body of a response with status 200. Errors: those of the request; Unavailable for any other
/// status.
Result<std::string> bodyIfOk(Result<HttpResponse> reply);

} // namespace dogwoodvalve
