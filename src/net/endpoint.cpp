#include "net/endpoint.h"

#include <charconv>

namespace dogwoodvalve {

Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto malformed = [text] {
        std::string message(text);
        message += " is not IP:PORT";
        return Error {ErrorKind::InvalidArgument, std::move(message),
                      "write an IP address and a port, such as 10.0.0.7:8080"};
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed();
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    unsigned port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port > 65535)
        return malformed();
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(std::string(host), ec);
    if (ec)
        return malformed();
    return boost::asio::ip::tcp::endpoint(address, static_cast<unsigned short>(port));
}

} // namespace dogwoodvalve
