#pragma once

#include "net/http_server.h"

#include <boost/beast/http.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// Parses the bytes of one response to a request, in the order in which they arrive. Interim (1xx)
/// responses before it are skipped. Heads that no server may send by RFC 9112 are errors: of a
/// response whose head is broken, neither the fields nor the end can be trusted.
class ResponseParser
{
public:
    /// Size in bytes up to which the head is read, with those of interim responses.
    static constexpr std::size_t MaxHeadBytes = 64 * 1024;

    using Message = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /// The response to a HEAD request has no body, whatever its head says.
    explicit ResponseParser(bool toHeadRequest);

    /// Parses the next bytes of the head and returns how many it has used. The others must be given
    /// again, with more behind them if headRead() is still false. Errors: Unavailable, as for a
    /// response that did not arrive.
    Result<std::size_t> parseHead(std::string_view bytes);
    bool headRead() const { return m_headRead; }

    /// The status of the response, 200 to 599. Only after the head was read.
    int status() const { return static_cast<int>(m_message->get().result_int()); }
    std::vector<HttpField> fields() const;
    /// Whether the body has neither a length nor chunks and ends with the connection.
    bool endsWithConnection() const { return m_message->need_eof(); }

    /// Parses the body. Only after the head was read.
    Message &message() { return *m_message; }

private:
    void beginMessage();
    /// Decides whether the head that was just parsed is that of an interim response, of the
    /// response, or of neither.
    Result<void> acceptHead();

    std::optional<Message> m_message;
    bool m_toHeadRequest;
    bool m_headRead = false;
    std::size_t m_headBytes = 0;
};

} // namespace dogwoodvalve
