#pragma once

#include <dogwoodvalve/result.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Reads an address written as IP:PORT, for example 127.0.0.1:8080 or [::1]:8080. Names are
/// refused, since the processes talk by IP numbers only.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace dogwoodvalve
