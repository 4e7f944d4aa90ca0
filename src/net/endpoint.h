#pragma once

#include <dogwoodvalve/result.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Parses an address of the form IP:PORT, for example 127.0.0.1:8080 or [::1]:8080. Host names are
/// rejected, because the processes address each other by IP only. Errors: InvalidArgument.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace dogwoodvalve
