#include "daemon/entry_worker.h"

#include "daemon/log.h"

#include <set>
#include <vector>

namespace dogwoodvalve {

namespace {

constexpr Duration AdmissionPumpInterval = 20ms;

Router makeRouter(std::string_view policy, std::uint64_t seed)
{
    return Router(makeRoutingPolicy(policy).value(), seed);
}

} // namespace

EntryWorker::EntryWorker(EntryContext &context, LoopServices &loop, std::uint64_t seed)
    : m_context(context)
    , m_loop(loop)
    , m_router(makeRouter(context.settings().policy, seed))
    , m_api(*this)
{ }

EntryWorker::~EntryWorker()
{
    m_loop.timers().cancel(m_pumpTimer);
}

void EntryWorker::start()
{
    pumpAdmission();
    updateEngineLinks();
}

/// Keeps a link to each engine that is a candidate for a stage of a pipeline.
void EntryWorker::updateEngineLinks()
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
                            m_loop, state, m_context.settings().engineSilenceTimeout, *this);
                }
            }
        }
    }
    std::vector<std::unique_ptr<EngineLink>> unwanted;
    for (auto it = m_links.begin(); it != m_links.end();) {
        // The link to a removed server stays until the sequences on it have ended.
        if (wanted.count(it->first) > 0 || it->first->inFlight() > 0) {
            ++it;
            continue;
        }
        unwanted.push_back(std::move(it->second));
        it = m_links.erase(it);
    }
}

void EntryWorker::pumpAdmission()
{
    const TimePoint now = m_loop.timers().now();
    m_context.withAdmission(
        [now](AdmissionController &controller) { controller.processQueue(now); });
    m_pumpTimer =
        m_loop.timers().schedule(now + AdmissionPumpInterval, [this] { pumpAdmission(); });
}

void EntryWorker::startSession(const std::shared_ptr<CompletionSession> &session)
{
    m_sessions.emplace(session->number(), session);
    m_context.openRequests.fetch_add(1, std::memory_order_relaxed);
    session->start();
}

bool EntryWorker::sendStep(BackendServer &server, const StepRequest &request)
{
    const auto it = m_links.find(&server);
    return it != m_links.end() && it->second->send(request);
}

void EntryWorker::releaseSequence(BackendServer &server, SequenceId sequence)
{
    const auto it = m_links.find(&server);
    if (it != m_links.end())
        it->second->release(sequence);
}

void EntryWorker::sessionEnded(std::uint64_t number)
{
    m_loop.post([this, number, alive = std::weak_ptr(m_alive)] {
        if (alive.expired())
            return;
        if (m_sessions.erase(number) > 0)
            m_context.openRequests.fetch_sub(1, std::memory_order_relaxed);
    });
}

void EntryWorker::engineAnswered(const StepAnswer &answer)
{
    if (answer.sequence.origin != m_context.boot())
        return;
    const auto it = m_sessions.find(answer.sequence.number);
    if (it == m_sessions.end())
        return;
    const auto session = it->second;
    session->onAnswer(answer);
}

void EntryWorker::engineLost(const BackendServer &server, std::string_view cause)
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

void EntryWorker::engineConnected(const BackendServer &server)
{
    LogEvent("engine_connected").field("server", server.name()).field("address", server.address());
}

} // namespace dogwoodvalve
