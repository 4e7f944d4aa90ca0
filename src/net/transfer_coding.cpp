#include "net/transfer_coding.h"

#include "net/http_text.h"

#include <boost/beast/http/rfc7230.hpp>

namespace dogwoodvalve {

namespace http = boost::beast::http;

bool hasKnownTransferCoding(const http::fields &fields)
{
    int codings = 0;
    const auto [begin, end] = fields.equal_range(http::field::transfer_encoding);
    for (auto it = begin; it != end; ++it) {
        const http::opt_token_list list(it->value());
        if (!http::validate_list(list))
            return false;
        for (const auto &coding : list) {
            if (++codings > 1 || !equalsIgnoringCase({coding.data(), coding.size()}, "chunked"))
                return false;
        }
    }
    return codings > 0 || begin == end;
}

std::optional<Error> framingError(const http::fields &request)
{
    if (request.count(http::field::content_length) > 0
        && request.count(http::field::transfer_encoding) > 0)
        return Error {ErrorKind::Malformed,
                      "the request has both Content-Length and Transfer-Encoding",
                      "send either Content-Length or Transfer-Encoding"};
    if (!hasKnownTransferCoding(request))
        return Error {ErrorKind::Malformed, "the request has an unknown transfer coding",
                      "send the body with a Content-Length or in chunks"};
    return std::nullopt;
}

} // namespace dogwoodvalve
