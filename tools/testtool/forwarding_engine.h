#pragma once

#include "net/http_server.h"

#include <dogwoodvalve/layer_span.h>
#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dogwoodvalve::testtool {

/// What goes wrong at an engine.
enum class EngineFault {
    None,
    /// Does nothing any more and says nothing.
    Dark,
    /// Stands still, and goes on where it was when the fault ends.
    Silent,
    /// Ends each stream within an event.
    BreaksOff,
    /// Ends each stream before its first event.
    EndsAtOnce,
    /// Leaves out an event of each stream.
    SkipsAnEvent,
    /// Answers without its stamp.
    Unstamped,
    /// Refuses each request, which has not run.
    Refuses,
    /// Fails each request with its own error.
    Fails,
    /// Answers with bytes that are no answer, and does not end.
    Floods,
    /// Closes each connection without an answer, as a process that has ended.
    Ended,
};

/// When an engine crashes that a prompt crashes.
enum class CrashMoment {
    /// Shortly after the head of the answer.
    AfterHead,
    /// Before the head, so that no byte of the answer is sent.
    BeforeHead,
    /// Long after the head, as the first event is due.
    BeforeFirstEvent,
    /// As BeforeHead, but the last engine of the path crashes. The first one says nothing of it.
    AtEndOfPath,
    /// As BeforeHead, but the engine goes dark: its connections do not end.
    WithoutAnEnd,
};

class ForwardingEngine;

/// The engines of a run by address, so that the first of a path can look at the others.
using EngineMap = std::map<std::string, ForwardingEngine *>;

/// A pretended engine that holds a span of layers and forwards along the path that a request names.
/// The first engine of a path streams the events; what an event says is computed from the request's
/// id and the event's number, so that a test can tell a wrong, missing or doubled one.
class ForwardingEngine : public HttpHandler
{
public:
    ForwardingEngine(TimerService &timers, EngineMap &engines, std::string address, std::string id);
    ~ForwardingEngine() override;

    ForwardingEngine(const ForwardingEngine &) = delete;
    ForwardingEngine &operator=(const ForwardingEngine &) = delete;

    void handle(const std::shared_ptr<HttpExchange> &exchange) override;

    void setFault(EngineFault fault);
    EngineFault fault() const { return m_fault; }
    /// Header fields that all answers have besides.
    void setExtraFields(std::vector<HttpField> fields) { m_extraFields = std::move(fields); }
    void setLayers(LayerSpan layers) { m_layers = layers; }
    LayerSpan layers() const { return m_layers; }
    /// The engine crashes as it begins to answer a request whose prompt has this part. The handler
    /// is called when it does.
    void setCrashingPart(std::string part, std::function<void()> onCrash,
                         CrashMoment moment = CrashMoment::AfterHead)
    {
        m_crashingPart = std::move(part);
        m_onCrash = std::move(onCrash);
        m_crashMoment = moment;
    }
    bool crashedByPrompt() const { return m_crashedByPrompt; }
    /// Ends all streams without their end, and every request until the fault is removed.
    void crash();
    /// What the engine reports as factor on its usual times.
    void setSlowness(double factor) { m_slowness = factor; }
    bool dark() const { return m_fault == EngineFault::Dark; }
    /// Answers nothing and sends nothing now.
    bool standsStill() const
    {
        return dark() || m_fault == EngineFault::Silent || m_fault == EngineFault::Ended;
    }
    /// Runs begun, by the caller's request id.
    const std::map<std::string, int> &runs() const { return m_runs; }
    int orders() const { return m_orders; }
    /// Requests of all kinds that were meant for this engine and that it has read.
    int received() const { return m_received; }
    std::uint64_t fence() const { return m_fence; }

    static std::string eventOf(const std::string &request, int number);
    static std::string wholeStream(const std::string &request);
    static constexpr int Events = 20;

private:
    struct Stream;

    void report(const std::shared_ptr<HttpExchange> &exchange) const;
    void serve(const std::shared_ptr<HttpExchange> &exchange);
    void takeOrder(const std::shared_ptr<HttpExchange> &exchange);
    void run(const std::shared_ptr<HttpExchange> &exchange);
    /// The address of a part that can't be run, or nothing.
    std::string brokenPart(const std::string &path, int &status) const;
    void emit(const std::shared_ptr<Stream> &stream);
    void crashBecauseOf(const std::shared_ptr<Stream> &stream);
    bool pathMoves(const Stream &stream) const;

    TimerService &m_timers;
    EngineMap &m_engines;
    std::string m_address;
    std::string m_id;
    LayerSpan m_layers;
    EngineFault m_fault = EngineFault::None;
    /// Requests that arrived while the engine was silent.
    std::vector<std::shared_ptr<HttpExchange>> m_unread;
    std::map<std::string, int> m_runs;
    std::uint64_t m_fence = 0;
    int m_orders = 0;
    int m_received = 0;
    std::vector<HttpField> m_extraFields;
    double m_slowness = 1;
    std::string m_crashingPart;
    CrashMoment m_crashMoment = CrashMoment::AfterHead;
    bool m_crashedByPrompt = false;
    std::function<void()> m_onCrash;
    std::vector<std::weak_ptr<Stream>> m_streams;
};

} // namespace dogwoodvalve::testtool
