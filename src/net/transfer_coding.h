#pragma once

#include <boost/beast/http/fields.hpp>

namespace dogwoodvalve {

/// Whether the body of a message is sent with no other transfer coding than chunks, and these only
/// once. Where a message with another coding ends is not known (RFC 9112, section 6.3), and none of
/// the others can be removed here.
bool hasKnownTransferCoding(const boost::beast::http::fields &fields);

} // namespace dogwoodvalve
