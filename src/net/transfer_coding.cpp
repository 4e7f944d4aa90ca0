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

} // namespace dogwoodvalve
