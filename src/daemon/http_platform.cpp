#include "daemon/http_platform.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

constexpr Duration ReadTimeout = 2s;
constexpr Duration AppendTimeout = 3s;
constexpr std::size_t ReadThreads = 2;
constexpr std::size_t AppendThreads = 1;

Error statusError(int status)
{
    const ErrorKind kind = status == 429 ? ErrorKind::Overloaded : ErrorKind::Unavailable;
    return {kind, "the platform answered with status " + std::to_string(status), "try again later"};
}

/// Parses the body of a reply with status 200 as a JSON object.
Result<json> parseBody(const Result<BlockingHttpResponse> &reply)
{
    if (!reply)
        return reply.error();
    if (reply.value().status != 200)
        return statusError(reply.value().status);
    json body = json::parse(reply.value().body, nullptr, false);
    if (!body.is_object())
        return Error {ErrorKind::Malformed, "the platform's answer is not a JSON object", ""};
    return body;
}

Result<LogPage> parseLogPage(const json &body)
{
    try {
        LogPage page;
        page.firstKept = body.at("firstKept").get<LogOffset>();
        page.from = body.at("from").get<LogOffset>();
        page.end = body.at("end").get<LogOffset>();
        page.records = body.at("records").get<std::vector<std::string>>();
        return page;
    } catch (const json::exception &e) {
        return Error {ErrorKind::Malformed,
                      std::string("the log's answer is malformed: ") + e.what(), ""};
    }
}

} // namespace

HttpPlatform::HttpPlatform(boost::asio::io_context &loop, std::string address)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_readThreads(ReadThreads)
    , m_appendThreads(AppendThreads)
{ }

HttpPlatform::~HttpPlatform()
{
    m_readThreads.join();
    m_appendThreads.join();
}

void HttpPlatform::send(boost::asio::thread_pool &threads, BlockingHttpRequest request,
                        std::function<void(const Reply &)> done)
{
    boost::asio::post(threads, [this, request = std::move(request), done = std::move(done)] {
        const Reply reply = sendBlockingRequest(m_address, request);
        boost::asio::post(m_loop, [reply, done] { done(reply); });
    });
}

void HttpPlatform::append(std::string_view stream, std::string record,
                          std::function<void(Result<LogOffset>)> done)
{
    BlockingHttpRequest request;
    request.method = "POST";
    request.path = "/log/" + std::string(stream);
    request.body = std::move(record);
    request.timeout = AppendTimeout;
    send(m_appendThreads, std::move(request), [done = std::move(done)](const Reply &reply) {
        const Result<json> body = parseBody(reply);
        if (!body)
            return done(body.error());
        const auto it = body.value().find("offset");
        if (it == body.value().end() || !it->is_number_unsigned())
            return done(Error {ErrorKind::Malformed, "the log's answer has no offset", ""});
        done(it->get<LogOffset>());
    });
}

void HttpPlatform::read(std::string_view stream, LogOffset from, std::size_t maxRecords,
                        std::function<void(Result<LogPage>)> done)
{
    BlockingHttpRequest request;
    request.path = "/log/" + std::string(stream);
    request.query = "from=" + std::to_string(from) + "&max=" + std::to_string(maxRecords);
    request.timeout = ReadTimeout;
    send(m_readThreads, std::move(request), [done = std::move(done)](const Reply &reply) {
        const Result<json> body = parseBody(reply);
        done(body ? parseLogPage(body.value()) : Result<LogPage>(body.error()));
    });
}

void HttpPlatform::listHosts(std::function<void(Result<std::vector<HostStatus>>)> done)
{
    BlockingHttpRequest request;
    request.path = "/hosts";
    request.timeout = ReadTimeout;
    send(m_readThreads, std::move(request), [done = std::move(done)](const Reply &reply) {
        const Result<json> body = parseBody(reply);
        if (!body)
            return done(body.error());
        std::vector<HostStatus> hosts;
        for (const json &it : body.value().value("hosts", json::array())) {
            if (it.is_object())
                hosts.push_back({it.value("address", ""), it.value("leaving", false)});
        }
        done(std::move(hosts));
    });
}

} // namespace dogwoodvalve
