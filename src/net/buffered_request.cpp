#include "net/buffered_request.h"

#include "net/http_status.h"

namespace dogwoodvalve {

namespace {

/// Longer than any document that hosts, engines and stores send.
constexpr std::size_t MaxResponseBytes = 32U << 20;

/// Sends a request and buffers the response; owns itself until it has called back.
class BufferedRequest : public HttpClientEvents,
                        public std::enable_shared_from_this<BufferedRequest>
{
public:
    BufferedRequest(TimerService &timers, std::shared_ptr<HttpClientRequest> client,
                    std::function<void(Result<HttpResponse>)> done)
        : m_timers(timers)
        , m_request(std::move(client))
        , m_done(std::move(done))
    { }

    void start(const boost::asio::ip::tcp::endpoint &endpoint, const HttpRequestHead &head,
               std::string_view body, Duration timeout)
    {
        m_self = shared_from_this();
        m_timer = m_timers.schedule(m_timers.now() + timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->onError({ErrorKind::Timeout, "the request timed out", ""});
        });
        m_request->start(endpoint, head, timeout, *this);
        m_request->write(body);
    }

    void onHead(int status, std::span<const HttpField> fields) override
    {
        m_reply.status = status;
        m_reply.fields.assign(fields.begin(), fields.end());
    }
    void onBody(std::string_view part) override
    {
        m_reply.body += part;
        if (m_reply.body.size() > MaxResponseBytes)
            finish(Error {ErrorKind::TooLarge, "the response is too long", "see the server's log"});
    }
    void onEnd() override { finish(std::move(m_reply)); }
    void onError(const Error &error) override { finish(error); }

private:
    void finish(Result<HttpResponse> result)
    {
        const auto keep = std::move(m_self);
        if (!keep)
            return;
        m_request->close();
        m_timers.cancel(m_timer);
        m_done(std::move(result));
    }

    TimerService &m_timers;
    std::shared_ptr<HttpClientRequest> m_request;
    std::function<void(Result<HttpResponse>)> m_done;
    HttpResponse m_reply;
    TimerId m_timer = 0;
    std::shared_ptr<BufferedRequest> m_self;
};

} // namespace

void sendBufferedRequest(LoopServices &loop, const boost::asio::ip::tcp::endpoint &endpoint,
                         HttpRequestHead head, const std::string &body, Duration timeout,
                         std::function<void(Result<HttpResponse>)> done)
{
    sendBufferedRequest(loop.timers(), loop.createHttpClient(), endpoint, std::move(head), body,
                        timeout, std::move(done));
}

void sendBufferedRequest(TimerService &timers, std::shared_ptr<HttpClientRequest> client,
                         const boost::asio::ip::tcp::endpoint &endpoint, HttpRequestHead head,
                         const std::string &body, Duration timeout,
                         std::function<void(Result<HttpResponse>)> done)
{
    head.chunked = false;
    head.bodyBytes = body.size();
    std::make_shared<BufferedRequest>(timers, std::move(client), std::move(done))
        ->start(endpoint, head, body, timeout);
}

Result<std::string> bodyIfOk(Result<HttpResponse> reply)
{
    if (!reply)
        return reply.error();
    if (reply.value().status != StatusOk)
        return Error {ErrorKind::Unavailable,
                      "the response has status " + std::to_string(reply.value().status),
                      "ask again later"};
    return std::move(reply.value().body);
}

} // namespace dogwoodvalve
