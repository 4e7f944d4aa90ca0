#include "caller.h"

#include "net/buffered_request.h"
#include "net/endpoint.h"
#include "net/http_text.h"

#include <dogwoodvalve/random.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace dogwoodvalve::testtool {

using nlohmann::json;

namespace {

constexpr Duration ConnectTimeout = 500ms;
constexpr Duration LookUpTimeout = 1s;
constexpr Duration RetryPause = 100ms;
constexpr Duration TimeToLive = 30s;
constexpr int MostTries = 20;

std::string bodyOf(const PlannedRequest &request, const std::string &pipeline)
{
    return json {{"model", pipeline},
                 {"prompt", request.prompt},
                 {"max_tokens", request.maxTokens},
                 {"stream", true}}
        .dump();
}

} // namespace

/// One request with all its tries; owns itself until it has called back.
class Caller::Attempt : public HttpClientEvents, public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(Caller &caller, const PlannedRequest &request, TimePoint intendedStart, Done done)
        : m_caller(caller)
        , m_request(request)
        , m_intendedStart(intendedStart)
        , m_done(std::move(done))
        , m_client(caller.m_loop.createHttpClient())
    { }

    void start()
    {
        m_self = shared_from_this();
        m_deadline =
            m_caller.m_timers.schedule(m_intendedStart + m_caller.m_options.patience, [this] {
                m_deadline = 0;
                m_result.end = CallResult::End::TimedOut;
                finish();
            });
        if (m_request.keyed)
            m_key = makeKey();
        send();
    }

    void onHead(int status, std::span<const HttpField> fields) override
    {
        m_result.status = status;
        // The freshest prefix is that of the host which answered last.
        if (const auto prefix = findField(fields, "Dogwoodvalve-Key-Prefix"); !prefix.empty())
            m_caller.m_keyPrefix = prefix;
        m_notRun = findField(fields, "Dogwoodvalve-Outcome") == "not-run";
        m_result.retryAfter = std::atoi(std::string(findField(fields, "Retry-After")).c_str());
    }

    void onBody(std::string_view part) override
    {
        if (m_result.status != 200) {
            m_errorBody += part;
            return;
        }
        m_rest += part;
        std::size_t end = 0;
        while ((end = m_rest.find("\n\n")) != std::string::npos) {
            const std::string event = m_rest.substr(0, end);
            m_rest.erase(0, end + 2);
            takeEvent(event);
        }
    }

    void onEnd() override
    {
        if (m_whole)
            m_result.end = CallResult::End::Complete;
        else
            m_result.end = m_result.status != 200 && m_notRun ? CallResult::End::NotRun
                                                              : CallResult::End::Unknown;
        if (m_result.status != 200)
            m_result.error = m_errorBody;
        concludeTry();
    }

    void onError(const Error &error) override
    {
        m_result.end = m_client->anyByteSent() ? CallResult::End::Unknown : CallResult::End::NotRun;
        m_result.error = error.message;
        concludeTry();
    }

private:
    std::string makeKey()
    {
        return m_caller.m_keyPrefix + ".caller-" + std::to_string(m_caller.m_options.seed) + '-'
            + std::to_string(m_caller.m_nextKey++);
    }

    void send()
    {
        const std::string address = m_caller.addressFor(m_result.tries);
        const auto endpoint = parseEndpoint(address);
        if (!endpoint)
            return onError({ErrorKind::Unavailable, "no entry host is known", ""});
        ++m_result.tries;
        const std::string body = bodyOf(m_request, m_caller.m_options.pipeline);
        HttpRequestHead head;
        head.method = "POST";
        head.target = "/v1/completions";
        head.fields = {{"Authorization", "Bearer " + m_caller.m_options.key},
                       {"Content-Type", "application/json"}};
        if (!m_key.empty())
            head.fields.push_back({"Dogwoodvalve-Request-Key", m_key});
        head.bodyBytes = body.size();
        m_client = m_caller.m_loop.createHttpClient();
        m_client->start(endpoint.value(), head, ConnectTimeout, *this);
        m_client->write(body);
    }

    void takeEvent(std::string_view event)
    {
        constexpr std::string_view Prefix = "data: ";
        if (event.substr(0, Prefix.size()) != Prefix)
            return;
        event.remove_prefix(Prefix.size());
        if (event == "[DONE]") {
            m_whole = !m_result.finishReason.empty();
            return;
        }
        const json chunk = json::parse(event, nullptr, false);
        if (!chunk.is_object() || chunk.contains("error")) {
            m_result.error = event;
            return;
        }
        const json choices = chunk.value("choices", json::array());
        if (choices.empty())
            return;
        if (choices[0].contains("finish_reason") && choices[0]["finish_reason"].is_string())
            m_result.finishReason = choices[0]["finish_reason"].get<std::string>();
        const std::string text = choices[0].value("text", "");
        if (text.empty())
            return;
        noteToken();
        m_result.text += text;
    }

    void noteToken()
    {
        const TimePoint now = m_caller.m_timers.now();
        if (m_lastToken == TimePoint {}) {
            m_result.firstToken = now - m_intendedStart;
        } else {
            m_result.gaps.push_back(now - m_lastToken);
            m_result.longestGap = std::max(m_result.longestGap, now - m_lastToken);
        }
        m_lastToken = now;
    }

    /// Decides whether the request may and should be sent again.
    void concludeTry()
    {
        using End = CallResult::End;
        const bool mayRepeat =
            m_result.end == End::NotRun || (m_result.end == End::Unknown && !m_request.keyed);
        const bool busy = m_result.status == 429 && m_caller.m_options.comeBack;
        const bool transient = m_result.status == 0 || m_result.status == 503 || busy
            || (m_result.status == 200 && m_result.end == End::Unknown);
        if (!mayRepeat || !transient || m_result.tries >= MostTries)
            return finish();
        m_rest.clear();
        m_errorBody.clear();
        m_whole = false;
        m_notRun = false;
        m_lastToken = TimePoint {};
        m_result.text.clear();
        m_result.gaps.clear();
        m_result.finishReason.clear();
        m_result.status = 0;
        const Duration pause = busy ? std::chrono::seconds(m_result.retryAfter) : RetryPause;
        m_caller.m_timers.schedule(m_caller.m_timers.now() + pause, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self)
                return;
            self->m_caller.lookUp([weak](bool) {
                const auto again = weak.lock();
                if (!again || !again->m_self)
                    return;
                if (again->m_request.keyed)
                    again->m_key = again->makeKey();
                again->send();
            });
        });
    }

    void finish()
    {
        const auto keep = std::move(m_self);
        if (!keep)
            return;
        m_caller.m_timers.cancel(m_deadline);
        m_client->close();
        m_result.endedAt = m_caller.m_timers.now();
        m_result.total = m_result.endedAt - m_intendedStart;
        m_done(m_request, m_result);
    }

    Caller &m_caller;
    PlannedRequest m_request;
    TimePoint m_intendedStart;
    Done m_done;
    std::shared_ptr<HttpClientRequest> m_client;
    std::shared_ptr<Attempt> m_self;
    CallResult m_result;
    std::string m_key;
    std::string m_rest;
    std::string m_errorBody;
    TimePoint m_lastToken {};
    TimerId m_deadline = 0;
    bool m_whole = false;
    bool m_notRun = false;
};

Caller::Caller(LoopServices &loop, const LoadOptions &options)
    : m_loop(loop)
    , m_timers(loop.timers())
    , m_options(options)
{ }

std::string Caller::addressFor(int attempt) const
{
    const auto &list = m_ranked.empty() ? m_options.entries : m_ranked;
    return list.empty() ? "" : list[static_cast<std::size_t>(attempt) % list.size()];
}

void Caller::lookUp(std::function<void(bool)> done)
{
    lookUpFrom(0, std::move(done));
}

void Caller::lookUpFrom(std::size_t index, std::function<void(bool)> done)
{
    if (index >= m_options.entries.size())
        return done(false);
    const auto endpoint = parseEndpoint(m_options.entries[index]);
    HttpRequestHead head;
    head.method = "GET";
    head.target = "/v1/entries";
    head.fields = {{"Authorization", "Bearer " + m_options.key}};
    sendBufferedRequest(
        m_loop, endpoint.value(), head, "", LookUpTimeout,
        [this, index, done = std::move(done)](Result<HttpResponse> reply) {
            const json body = json::parse(reply ? reply.value().body : "", nullptr, false);
            if (!body.is_object() || !body.contains("entries") || body["entries"].empty())
                return lookUpFrom(index + 1, done);
            m_ranked.clear();
            for (const json &it : body["entries"])
                m_ranked.push_back(it.value("address", ""));
            m_keyPrefix = body.value("keyPrefix", "");
            m_lookedUpAt = m_timers.now();
            done(true);
        });
}

void Caller::call(const PlannedRequest &request, TimePoint intendedStart, Done done)
{
    const auto attempt = std::make_shared<Attempt>(*this, request, intendedStart, std::move(done));
    if (!m_ranked.empty() && m_timers.now() - m_lookedUpAt < TimeToLive)
        return attempt->start();
    lookUp([attempt](bool) { attempt->start(); });
}

} // namespace dogwoodvalve::testtool
