#pragma once

#include <dogwoodvalve/result.h>

#include <boost/beast/http/fields.hpp>

#include <optional>

namespace dogwoodvalve {

/// Whether the body of a message is sent with no other transfer coding than chunks, and these only
/// once. Where a message with another coding ends is not known (RFC 9112, section 6.3), and none of
/// the others can be removed here.
bool hasKnownTransferCoding(const boost::beast::http::fields &fields);

/// Why the end of a request's body can't be known; nothing if it can.
std::optional<Error> framingError(const boost::beast::http::fields &request);

} // namespace dogwoodvalve
