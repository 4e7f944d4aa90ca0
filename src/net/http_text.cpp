#include "net/http_text.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace dogwoodvalve {

namespace {

/// Whether a field concerns one connection only, or is the host or the length, which are set again
/// for each hop.
bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 11> Names {
        "connection", "keep-alive",       "proxy-authenticate", "proxy-authorization",
        "te",         "trailer",          "transfer-encoding",  "upgrade",
        "host",       "proxy-connection", "content-length"};
    return std::any_of(Names.begin(), Names.end(),
                       [name](std::string_view it) { return equalsIgnoringCase(it, name); });
}

/// Whether a field is named in the Connection field, which makes it hop-by-hop too.
bool isNamedInConnectionField(std::string_view connection, std::string_view name)
{
    while (!connection.empty()) {
        const std::size_t end = std::min(connection.find(','), connection.size());
        std::string_view token = connection.substr(0, end);
        while (!token.empty() && token.front() == ' ')
            token.remove_prefix(1);
        while (!token.empty() && token.back() == ' ')
            token.remove_suffix(1);
        if (equalsIgnoringCase(token, name))
            return true;
        connection.remove_prefix(std::min(end + 1, connection.size()));
    }
    return false;
}

} // namespace

std::vector<HttpField> endToEndFields(std::span<const HttpField> fields)
{
    const std::string_view connection = findField(fields, "Connection");
    std::vector<HttpField> kept;
    for (const HttpField &field : fields) {
        if (!isHopByHop(field.name) && !isNamedInConnectionField(connection, field.name))
            kept.push_back(field);
    }
    return kept;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::string_view findField(std::span<const HttpField> fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

void appendStatusLine(std::string &out, int status)
{
    const auto reason = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    out += "HTTP/1.1 " + std::to_string(status) + ' ';
    out.append(reason.data(), reason.size());
    out += "\r\n";
}

void appendFields(std::string &out, std::span<const HttpField> fields)
{
    for (const HttpField &field : fields) {
        out += field.name;
        out += ": ";
        out += field.value;
        out += "\r\n";
    }
}

void appendChunk(std::string &out, std::string_view part)
{
    std::array<char, 16> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), part.size(), 16).ptr;
    out.append(size.data(), end);
    out += "\r\n";
    out += part;
    out += "\r\n";
}

std::string errorBody(const Error &error, std::string_view outcome)
{
    const nlohmann::json body = {{"error",
                                  {{"message", error.describe()},
                                   {"type", toString(error.kind)},
                                   {"code", toString(error.kind)},
                                   {"outcome", outcome}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view queryParameter(std::string_view target, std::string_view name)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos)
        return {};
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        if (pair.size() > name.size() && pair.substr(0, name.size()) == name
            && pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

} // namespace dogwoodvalve
