#include "net/listening_check.h"

#include "net/http_client.h"

#include <memory>
#include <utility>

namespace dogwoodvalve {

namespace {

constexpr Duration MaxAnswerTime = 500ms;

/// Makes one connection; owns itself until it has called back.
class ListeningCheck : public HttpClientEvents, public std::enable_shared_from_this<ListeningCheck>
{
public:
    ListeningCheck(TimerService &timers, std::shared_ptr<HttpClientRequest> client,
                   std::function<void(std::optional<bool>)> done)
        : m_timers(timers)
        , m_request(std::move(client))
        , m_done(std::move(done))
    { }

    void start(const boost::asio::ip::tcp::endpoint &endpoint, const std::string &target,
               Duration timeout)
    {
        m_self = shared_from_this();
        m_timer =
            m_timers.schedule(m_timers.now() + timeout + MaxAnswerTime, [weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    self->finish(std::nullopt);
            });
        HttpRequestHead head;
        head.method = "GET";
        head.target = target;
        m_request->start(endpoint, head, timeout, *this);
    }

    void onConnected() override { finish(true); }
    void onHead(int, std::span<const HttpField>) override { }
    void onBody(std::string_view) override { }
    void onEnd() override { finish(true); }
    void onError(const Error &error) override
    {
        // A host that may not send the request to the server now can't tell.
        const bool unknown =
            error.kind == ErrorKind::Timeout || error.kind == ErrorKind::Overloaded;
        finish(unknown ? std::nullopt : std::optional(false));
    }

private:
    void finish(std::optional<bool> listening)
    {
        const auto keep = std::move(m_self);
        if (!keep)
            return;
        m_timers.cancel(m_timer);
        m_request->close();
        m_done(listening);
    }

    TimerService &m_timers;
    TimerId m_timer = 0;
    std::shared_ptr<HttpClientRequest> m_request;
    std::function<void(std::optional<bool>)> m_done;
    std::shared_ptr<ListeningCheck> m_self;
};

} // namespace

void checkListening(TimerService &timers, std::shared_ptr<HttpClientRequest> client,
                    const boost::asio::ip::tcp::endpoint &endpoint, const std::string &target,
                    Duration timeout, std::function<void(std::optional<bool>)> done)
{
    std::make_shared<ListeningCheck>(timers, std::move(client), std::move(done))
        ->start(endpoint, target, timeout);
}

} // namespace dogwoodvalve
