#pragma once

#include "net/loop_services.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// A whole answer.
struct HttpResponse
{
    int status = 0;
    std::vector<HttpField> fields;
    std::string body;
};

/// Sends a whole request and calls back once, with the whole answer or an error.
void sendBufferedRequest(LoopServices &loop, const boost::asio::ip::tcp::endpoint &endpoint,
                         HttpRequestHead head, const std::string &body, Duration timeout,
                         std::function<void(Result<HttpResponse>)> done);

/// The body of an answer with status 200. Errors: the request's own; Unavailable for another
/// status.
Result<std::string> bodyIfOk(Result<HttpResponse> reply);

} // namespace dogwoodvalve
