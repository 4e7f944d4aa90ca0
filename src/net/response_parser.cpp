#include "net/response_parser.h"

#include "net/http_status.h"
#include "net/http_text.h"
#include "net/transfer_coding.h"

#include <boost/asio/buffer.hpp>

#include <limits>
#include <string>

namespace dogwoodvalve {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

Error malformed(std::string_view what)
{
    return {ErrorKind::Unavailable, "the response is malformed: " + std::string(what),
            "see the server's log"};
}

/// Whether a field continues on a line that begins with a blank. RFC 9112, section 5.2, allows to
/// reject such responses; which line was meant as a field of its own can't be known.
bool hasFoldedLine(std::string_view lines)
{
    return lines.find("\n ") != std::string_view::npos
        || lines.find("\n\t") != std::string_view::npos;
}

} // namespace

ResponseParser::ResponseParser(bool toHeadRequest)
    : m_toHeadRequest(toHeadRequest)
{
    beginMessage();
}

void ResponseParser::beginMessage()
{
    m_message.emplace();
    m_message->header_limit(MaxHeadBytes);
    m_message->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_message->skip(m_toHeadRequest);
}

Result<std::size_t> ResponseParser::parseHead(std::string_view bytes)
{
    std::size_t used = 0;
    while (!m_headRead && used < bytes.size()) {
        const std::string_view rest = bytes.substr(used);
        error_code ec;
        const std::size_t n = m_message->put(boost::asio::buffer(rest.data(), rest.size()), ec);
        if (ec && ec != http::error::need_more)
            return malformed(ec.message());
        // The parser uses whole fields, so that a folded line is not split between two calls.
        if (hasFoldedLine(rest.substr(0, n)))
            return malformed("folded line in the head");
        used += n;
        m_headBytes += n;
        if (m_headBytes > MaxHeadBytes)
            return malformed("too long head");
        if (!m_message->is_header_done())
            break;
        if (const Result<void> accepted = acceptHead(); !accepted)
            return accepted.error();
    }
    return used;
}

Result<void> ResponseParser::acceptHead()
{
    const int code = status();
    if (code < StatusContinue || code > MaxStatus)
        return malformed("invalid status code " + std::to_string(code));
    if (code == StatusSwitchingProtocols)
        return malformed("switch to a protocol that was not asked for");
    if (!hasKnownTransferCoding(m_message->get()))
        return malformed("unknown transfer coding");
    if (code >= StatusOk) {
        m_headRead = true;
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    beginMessage();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::vector<HttpField> ResponseParser::fields() const
{
    std::vector<HttpField> fields;
    for (const auto &field : m_message->get())
        fields.push_back({std::string(field.name_string()), std::string(field.value())});
    return fields;
}

} // namespace dogwoodvalve
