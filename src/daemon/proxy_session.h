#pragma once

#include "daemon/entry_context.h"
#include "net/http_server.h"
#include "net/loop_services.h"

#include <dogwoodvalve/sequence.h>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// A place that a request can be passed to.
struct ProxyTarget
{
    std::string name;
    boost::asio::ip::tcp::endpoint endpoint;
    /// The backend server's live state; null for another entry host.
    std::shared_ptr<BackendServer> server;
};

/// A request to be passed on as it is.
struct ProxyRequest
{
    /// Tried in this order.
    std::vector<ProxyTarget> targets;
    /// Path and query towards the target.
    std::string path;
    /// Added to the caller's own fields.
    std::vector<HttpField> addedFields;
    /// Whether the caller's key goes along.
    bool passAuthorization = false;
    /// Whether the request may be sent again after a failure.
    bool idempotent = false;
    Duration timeout = 60s;
    Duration connectTimeout = 1s;
    std::string workspace;
    std::string kind;
};

/// Passes one request and its answer through, streaming both, each side slowed down to the other.
/// A target that can't be reached is passed over, since nothing was sent; after the first byte
/// only an idempotent request without a body is sent again.
class ProxySession : public HttpClientEvents, public std::enable_shared_from_this<ProxySession>
{
public:
    using Finished = std::function<void(Outcome)>;

    ProxySession(EntryContext &context, LoopServices &loop, std::shared_ptr<HttpExchange> exchange,
                 ProxyRequest request, Finished finished);
    ~ProxySession() override;

    /// Called instead of an error answer if no target could be reached; nothing of the body has
    /// been read then.
    void onUnreachable(std::function<void()> callback) { m_onUnreachable = std::move(callback); }

    /// Called once when the session needs its owner no more. It may still be on the stack then.
    void onReleased(std::function<void()> callback) { m_onReleased = std::move(callback); }

    void start();

    void onConnected() override;
    void onHead(int status, std::span<const HttpField> fields) override;
    void onBody(std::string_view part) override;
    void onEnd() override;
    void onError(const Error &error) override;
    void onDrained() override;

private:
    void tryNextTarget();
    HttpRequestHead makeHead() const;
    void pumpBody();
    bool hasNoBody() const;
    void releaseInFlight();
    void finish(Outcome outcome, std::string_view reason);

    EntryContext &m_context;
    TimerService &m_timers;
    LoopServices &m_loop;
    std::shared_ptr<HttpExchange> m_exchange;
    ProxyRequest m_request;
    Finished m_finished;
    std::function<void()> m_onUnreachable;
    std::function<void()> m_onReleased;
    std::shared_ptr<HttpClientRequest> m_client;
    /// The server that counts this request among those in flight.
    std::shared_ptr<BackendServer> m_inFlightServer;
    std::size_t m_nextTarget = 0;
    TimerId m_timer = 0;
    TimePoint m_startedAt {};
    bool m_bodyBegun = false;
    bool m_bodyPaused = false;
    bool m_mayHaveRun = false;
    bool m_ended = false;
};

} // namespace dogwoodvalve
