#include "process/broken_answers.h"

#include "net/endpoint.h"

#include <boost/asio/write.hpp>
#include <sys/socket.h>

#include <array>
#include <map>

namespace dogwoodvalve::process {

namespace {

constexpr int AnswerSeconds = 15;

/// "ID" in it stands for the request's id.
struct NamedAnswer
{
    std::string statusLine;
    std::string fields;
    std::string body;
    bool reset = false;
};

/// Sound but for one thing.
const std::map<std::string, NamedAnswer> BrokenHeads {
    {"status", {"HTTP/1.1 000 OK", "Content-Length: 5\r\n", "whole"}},
    {"refusal", {"HTTP/1.1 000 Busy", "X-Not-Run: 1\r\nContent-Length: 5\r\n", "whole"}},
    {"blank", {"HTTP/1.1 200 OK", "X Field: 1\r\nContent-Length: 5\r\n", "whole"}},
    {"control", {"HTTP/1.1 200 OK", "X\1Field: 1\r\nContent-Length: 5\r\n", "whole"}},
    {"fold", {"HTTP/1.1 200 OK", "X-Field: 1\r\n Content-Length: 5\r\n", "wholeand more"}},
    {"coding", {"HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked\r\n", "2\r\nxx\r\n0\r\n\r\n"}},
    {"interim", {"HTTP/1.1 102 Processing", "", ""}}};

const std::map<std::string, NamedAnswer> BrokenBodies {
    {"reset", {"HTTP/1.1 200 OK", "", "part", true}},
    {"events", {"HTTP/1.1 200 OK", "", "id: 1\ndata: ID/1\n\nid: 2\ndata: ID/2\n\n", true}}};

const std::map<std::string, NamedAnswer> EarlyAnswers {
    {"length", {"HTTP/1.1 200 OK", "Content-Length: 5\r\n", "whole", true}},
    {"chunks",
     {"HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", true}},
    {"end", {"HTTP/1.1 200 OK", "", "whole"}}};

std::vector<std::string> namesOf(const std::map<std::string, NamedAnswer> &answers)
{
    std::vector<std::string> names;
    names.reserve(answers.size());
    for (const auto &[name, answer] : answers)
        names.push_back(name);
    return names;
}

} // namespace

std::vector<std::string> brokenHeads()
{
    return namesOf(BrokenHeads);
}

std::vector<std::string> earlyAnswers()
{
    return namesOf(EarlyAnswers);
}

std::optional<testtool::RelayAnswer> namedAnswer(const std::string &requestId)
{
    const std::string name = requestId.substr(0, requestId.find('.'));
    for (const auto *answers : {&BrokenHeads, &BrokenBodies, &EarlyAnswers}) {
        const auto found = answers->find(name);
        if (found == answers->end())
            continue;
        const NamedAnswer &answer = found->second;
        std::string bytes = answer.statusLine;
        bytes += "\r\nX-Server-Stamp: s\r\nX-Request-Id: ID\r\n";
        bytes += answer.fields;
        bytes += "\r\n";
        bytes += answer.body;
        for (std::size_t n = bytes.find("ID"); n != std::string::npos; n = bytes.find("ID"))
            bytes.replace(n, 2, requestId);
        return testtool::RelayAnswer {bytes, answer.reset};
    }
    return std::nullopt;
}

std::string rawAnswer(const std::string &address, const std::string &head, std::size_t uploadBytes)
{
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket socket(loop);
    boost::system::error_code ec;
    if (socket.connect(parseEndpoint(address).value(), ec))
        return {};
    const timeval timeout {AnswerSeconds, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    const std::string request = head + "Connection: close\r\nContent-Length: "
        + std::to_string(uploadBytes) + "\r\n\r\n" + std::string(uploadBytes, 'u');
    boost::asio::write(socket, boost::asio::buffer(request), ec);
    // Asio would wait on after the timeout.
    std::string answer;
    std::array<char, 64 * 1024> part;
    ssize_t n = 0;
    while ((n = ::recv(socket.native_handle(), part.data(), part.size(), 0)) > 0)
        answer.append(part.data(), static_cast<std::size_t>(n));
    return answer;
}

bool startsWith(const std::string &text, const std::string &beginning)
{
    return text.rfind(beginning, 0) == 0;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string fieldIn(std::string_view head, std::string_view name)
{
    const std::size_t begin = head.find("\r\n" + std::string(name) + ": ");
    if (begin == std::string_view::npos)
        return {};
    head.remove_prefix(begin + name.size() + 4);
    return std::string(head.substr(0, head.find("\r\n")));
}

} // namespace dogwoodvalve::process
