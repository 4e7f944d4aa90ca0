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

/// A backend server or entry host that a request can be forwarded to.
struct ProxyTarget
{
    std::string name;
    boost::asio::ip::tcp::endpoint endpoint;
    /// State of the backend server; null for an entry host.
    std::shared_ptr<BackendServer> server;
};

/// A request to be forwarded.
struct ProxyRequest
{
    /// Tried in this order.
    std::vector<ProxyTarget> targets;
    /// Path and query sent to the target.
    std::string path;
    /// Header fields added to those of the caller.
    std::vector<HttpField> addedFields;
    /// Whether the caller's Authorization field, and so its key, is forwarded.
    bool passAuthorization = false;
    /// Whether the request may be sent again after a failure.
    bool idempotent = false;
    Duration timeout = 60s;
    Duration connectTimeout = 1s;
    std::string workspace;
    std::string kind;
};

/// Forwards one request and its answer, streaming both with backpressure. If a target can't be
/// reached, the next one is tried, since nothing was sent; after the first byte only an idempotent
/// request without a body is sent again.
class ProxySession : public HttpClientEvents, public std::enable_shared_from_this<ProxySession>
{
public:
    using Finished = std::function<void(Outcome)>;

    ProxySession(EntryContext &context, LoopServices &loop, std::shared_ptr<HttpExchange> exchange,
                 ProxyRequest request, Finished finished);
    ~ProxySession() override;

    /// Called instead of sending an error answer if no target could be reached. Nothing of the body
    /// has been read at that point.
    void onUnreachable(std::function<void()> callback) { m_onUnreachable = std::move(callback); }

    /// Called once when the owner may release the session, which may still be on the stack.
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
    /// Ends the request because the rest of its body can't be read.
    void failBody(const Error &error);
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
    /// The server whose count of requests in flight includes this one.
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
