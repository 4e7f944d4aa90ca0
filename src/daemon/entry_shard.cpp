#include "daemon/entry_shard.h"

#include "daemon/caller_api.h"
#include "daemon/log.h"
#include "net/endpoint.h"

#include <boost/asio/post.hpp>

#include <set>
#include <vector>

namespace dogwoodvalve {

namespace {

constexpr Duration PumpInterval = 20ms;

Router makeRouter(std::string_view policy, std::uint64_t seed)
{
    return Router(makeRoutingPolicy(policy).value(), seed);
}

} // namespace

EntryShard::EntryShard(EntryContext &context, std::uint64_t seed)
    : m_context(context)
    , m_work(m_loop.get_executor())
    , m_timers(m_loop)
    , m_router(makeRouter(context.settings().policy, seed))
    , m_api(std::make_unique<CallerApi>(*this))
    , m_server(std::make_unique<HttpServer>(m_loop, *m_api, context.settings().http))
{ }

EntryShard::~EntryShard()
{
    stop();
}

Result<void> EntryShard::start()
{
    const auto endpoint = parseEndpoint(m_context.settings().listen);
    if (!endpoint)
        return endpoint.error();
    const Result<void> listening = m_server->listen(endpoint.value());
    if (!listening)
        return listening;
    m_thread = std::thread([this] {
        const RcuThread registration;
        pumpAdmission();
        adjustLinks();
        m_loop.run();
        m_sessions.clear();
        m_links.clear();
    });
    return listening;
}

void EntryShard::stop()
{
    if (!m_thread.joinable())
        return;
    m_loop.stop();
    m_thread.join();
}

void EntryShard::configurationChanged()
{
    boost::asio::post(m_loop, [this] { adjustLinks(); });
}

/// Keeps a link to each engine that a pipeline's stage may use.
void EntryShard::adjustLinks()
{
    const ConfigurationPointer configuration = m_context.configuration();
    std::set<const BackendServer *> wanted;
    for (const ConfiguredPipeline &pipeline : configuration->pipelines()) {
        for (const auto &stages : pipeline.candidates) {
            for (const ServerIndices &stage : stages) {
                for (const std::uint32_t i : stage) {
                    const auto &state = configuration->servers()[i].state;
                    wanted.insert(state.get());
                    auto &link = m_links[state.get()];
                    if (!link)
                        link = std::make_unique<EngineLink>(
                            m_loop, m_timers, state, m_context.settings().engineSilence, *this);
                }
            }
        }
    }
    std::vector<std::unique_ptr<EngineLink>> unwanted;
    for (auto it = m_links.begin(); it != m_links.end();) {
        // A removed server keeps its link until the sequences on it have ended.
        if (wanted.count(it->first) > 0 || it->first->inFlight() > 0) {
            ++it;
            continue;
        }
        unwanted.push_back(std::move(it->second));
        it = m_links.erase(it);
    }
}

void EntryShard::pumpAdmission()
{
    const TimePoint now = m_timers.now();
    m_context.withAdmission([now](AdmissionController &controller) { controller.pump(now); });
    m_timers.subscribe(now + PumpInterval, [this] { pumpAdmission(); });
}

void EntryShard::run(const std::shared_ptr<CompletionSession> &session)
{
    m_sessions.emplace(session->number(), session);
    m_context.openRequests.fetch_add(1, std::memory_order_relaxed);
    session->start();
}

bool EntryShard::sendStep(BackendServer &server, const StepRequest &request)
{
    const auto it = m_links.find(&server);
    return it != m_links.end() && it->second->send(request);
}

void EntryShard::releaseSequence(BackendServer &server, SequenceId sequence)
{
    const auto it = m_links.find(&server);
    if (it != m_links.end())
        it->second->release(sequence);
}

void EntryShard::sessionEnded(std::uint64_t number)
{
    boost::asio::post(m_loop, [this, number] {
        if (m_sessions.erase(number) > 0)
            m_context.openRequests.fetch_sub(1, std::memory_order_relaxed);
    });
}

void EntryShard::engineAnswered(const StepAnswer &answer)
{
    if (answer.sequence.origin != m_context.boot())
        return;
    const auto it = m_sessions.find(answer.sequence.number);
    if (it == m_sessions.end())
        return;
    const auto session = it->second;
    session->onAnswer(answer);
}

void EntryShard::engineLost(const BackendServer &server, std::string_view cause)
{
    LogEvent("engine_lost", LogLevel::Warning)
        .field("server", server.name())
        .field("address", server.address())
        .field("reason", cause);
    std::vector<std::shared_ptr<CompletionSession>> sessions;
    for (const auto &[number, session] : m_sessions)
        sessions.push_back(session);
    for (const auto &session : sessions)
        session->onServerLost(server);
}

void EntryShard::engineConnected(const BackendServer &server)
{
    LogEvent("engine_connected").field("server", server.name()).field("address", server.address());
}

} // namespace dogwoodvalve
