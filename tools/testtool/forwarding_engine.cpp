#include "forwarding_engine.h"

#include "net/http_text.h"
#include "standin_http.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <sstream>
#include <utility>

namespace dogwoodvalve::testtool {

using nlohmann::json;

namespace {

constexpr Duration EventInterval = 20ms;
constexpr int SkippedEvent = 7;
constexpr int BrokenEvent = 5;
constexpr Duration CrashDelay = 50ms;
/// Time from the head of an answer to a crash before its first event.
constexpr Duration LateCrashDelay = 600ms;
constexpr std::size_t MaxBody = 8U << 20;
constexpr int FloodPieces = 64;
constexpr std::size_t FloodPieceBytes = 1U << 20;

struct Part
{
    std::string address;
    LayerSpan layers;
};

std::vector<Part> parsePath(const std::string &text)
{
    std::vector<Part> parts;
    std::istringstream list(text);
    for (std::string item; std::getline(list, item, ',');) {
        Part part;
        const std::size_t equals = item.find('=');
        part.address = item.substr(0, equals);
        std::sscanf(item.c_str() + equals + 1, "%d-%d", &part.layers.first, &part.layers.end);
        parts.push_back(part);
    }
    return parts;
}

} // namespace

struct ForwardingEngine::Stream
{
    std::shared_ptr<HttpExchange> exchange;
    std::string request;
    std::string path;
    int next = 1;
    bool closed = false;
};

ForwardingEngine::ForwardingEngine(TimerService &timers, EngineMap &engines, std::string address,
                                   std::string id)
    : m_timers(timers)
    , m_engines(engines)
    , m_address(std::move(address))
    , m_id(std::move(id))
{
    m_engines[m_address] = this;
}

ForwardingEngine::~ForwardingEngine()
{
    m_engines.erase(m_address);
}

std::string ForwardingEngine::eventOf(const std::string &request, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + request + '/' + std::to_string(number)
        + "\n\n";
}

std::string ForwardingEngine::wholeStream(const std::string &request)
{
    std::string text;
    for (int i = 1; i <= Events; ++i)
        text += eventOf(request, i);
    return text;
}

void ForwardingEngine::setFault(EngineFault fault)
{
    m_fault = fault;
    if (standsStill())
        return;
    for (const auto &exchange : std::exchange(m_unread, {}))
        serve(exchange);
}

void ForwardingEngine::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (dark())
        return;
    if (m_fault == EngineFault::Ended)
        return exchange->abort();
    const std::string_view expected = exchange->header("X-Expect-Instance");
    const bool meant = expected.empty() || expected == m_id;
    m_received += meant ? 1 : 0;
    if (standsStill())
        return m_unread.push_back(exchange);
    if (!meant)
        return exchange->respond(421, {}, "");
    serve(exchange);
}

void ForwardingEngine::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string_view path = pathOf(exchange->target());
    if (path == "/v1/report")
        return report(exchange);
    if (path == "/v1/order")
        return takeOrder(exchange);
    exchange->readBody(MaxBody, [this, exchange](const Result<std::string> &body) {
        if (body)
            run(exchange);
    });
}

void ForwardingEngine::report(const std::shared_ptr<HttpExchange> &exchange) const
{
    std::vector<HttpField> fields = m_extraFields;
    fields.push_back({"Content-Type", "application/json"});
    const json body = {{"Layers", {{"From", m_layers.first}, {"Target", m_layers.end}}},
                       {"Busy", false},
                       {"Seq", m_orders},
                       {"pace", m_slowness}};
    exchange->respond(200, fields, body.dump());
}

void ForwardingEngine::takeOrder(const std::shared_ptr<HttpExchange> &exchange)
{
    withJsonBody(exchange, [this, exchange](const json &order) {
        const std::uint64_t fence = order.value("Fence", std::uint64_t {0});
        if (fence < m_fence)
            return exchange->respond(412, m_extraFields, "");
        m_fence = fence;
        const LayerSpan layers {order.at("From").get<int>(), order.at("Target").get<int>()};
        if (layers == m_layers)
            return exchange->respond(200, m_extraFields, "");
        m_layers = layers;
        ++m_orders;
        exchange->respond(202, m_extraFields, "");
    });
}

std::string ForwardingEngine::brokenPart(const std::string &path, int &status) const
{
    for (const Part &part : parsePath(path)) {
        const auto it = m_engines.find(part.address);
        const LayerSpan held = it == m_engines.end() ? LayerSpan {} : it->second->layers();
        status = 421;
        if (part.layers.first < held.first || part.layers.end > held.end)
            return part.address;
    }
    return {};
}

void ForwardingEngine::run(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string request(exchange->header("X-Request-Id"));
    std::vector<HttpField> fields = m_extraFields;
    fields.push_back({"X-Request-Id", request});
    int status = 0;
    const std::string path(exchange->header("X-Hop-Count"));
    const std::string broken = brokenPart(path, status);
    if (m_fault == EngineFault::Refuses || !broken.empty()) {
        fields.push_back({"X-Not-Run", "1"});
        fields.push_back({"At-Server", broken.empty() ? m_address : broken});
        return exchange->respond(broken.empty() ? 503 : status, fields, "");
    }
    ++m_runs[request];
    if (m_fault != EngineFault::Unstamped)
        fields.push_back({"X-Server-Stamp", m_id});
    if (m_fault == EngineFault::Fails)
        return exchange->respond(500, fields, "failed");
    if (m_fault == EngineFault::Floods) {
        exchange->beginStream(500, fields);
        for (int i = 0; i < FloodPieces; ++i)
            exchange->write(std::string(FloodPieceBytes, 'x'));
        return;
    }
    const auto stream = std::make_shared<Stream>();
    stream->exchange = exchange;
    stream->request = request;
    stream->path = path;
    stream->next = std::atoi(std::string(exchange->header("Last-Event-Id")).c_str()) + 1;
    exchange->onClosed([weak = std::weak_ptr(stream)] {
        if (const auto closed = weak.lock())
            closed->closed = true;
    });
    fields.push_back({"Content-Type", "text/event-stream"});
    std::erase_if(m_streams, [](const auto &it) { return it.expired(); });
    m_streams.push_back(stream);
    const bool crashes = !m_crashingPart.empty()
        && exchange->header("X-Prompt-Prefix").find(m_crashingPart) != std::string_view::npos;
    const bool withoutHead = m_crashMoment == CrashMoment::BeforeHead
        || m_crashMoment == CrashMoment::AtEndOfPath || m_crashMoment == CrashMoment::WithoutAnEnd;
    if (!crashes || !withoutHead)
        exchange->beginStream(200, fields);
    if (m_fault == EngineFault::EndsAtOnce)
        return exchange->endStream();
    if (crashes)
        crashBecauseOf(stream);
    else
        emit(stream);
}

void ForwardingEngine::crashBecauseOf(const std::shared_ptr<Stream> &stream)
{
    const Duration delay =
        m_crashMoment == CrashMoment::BeforeFirstEvent ? LateCrashDelay : CrashDelay;
    m_timers.schedule(m_timers.now() + delay, [this, stream] {
        ForwardingEngine *crashing = this;
        if (m_crashMoment == CrashMoment::AtEndOfPath) {
            const auto it = m_engines.find(parsePath(stream->path).back().address);
            crashing = it == m_engines.end() ? this : it->second;
        }
        if (stream->closed || crashing->standsStill())
            return;
        crashing->m_crashedByPrompt = true;
        crashing->crash();
        crashing->m_crashedByPrompt = false;
    });
}

void ForwardingEngine::crash()
{
    const bool dark = m_crashMoment == CrashMoment::WithoutAnEnd;
    m_fault = dark ? EngineFault::Dark : EngineFault::Ended;
    for (const auto &it : std::exchange(m_streams, {})) {
        const auto stream = it.lock();
        if (!stream || std::exchange(stream->closed, true) || dark)
            continue;
        stream->exchange->abort();
    }
    if (m_onCrash)
        m_onCrash();
}

/// A path stands still while one of its engines does.
bool ForwardingEngine::pathMoves(const Stream &stream) const
{
    for (const Part &part : parsePath(stream.path)) {
        const auto it = m_engines.find(part.address);
        if (it == m_engines.end() || it->second->standsStill())
            return false;
    }
    return true;
}

void ForwardingEngine::emit(const std::shared_ptr<Stream> &stream)
{
    if (stream->closed)
        return;
    m_timers.schedule(m_timers.now() + EventInterval, [this, stream] { emit(stream); });
    if (!pathMoves(*stream))
        return;
    if (stream->next > Events) {
        stream->closed = true;
        return stream->exchange->endStream();
    }
    const int number = stream->next++;
    const std::string event = eventOf(stream->request, number);
    if (m_fault == EngineFault::SkipsAnEvent && number == SkippedEvent)
        return;
    if (m_fault == EngineFault::BreaksOff && number == BrokenEvent) {
        stream->exchange->write(event.substr(0, event.size() / 2));
        stream->closed = true;
        return stream->exchange->abort();
    }
    stream->exchange->write(event);
}

} // namespace dogwoodvalve::testtool
