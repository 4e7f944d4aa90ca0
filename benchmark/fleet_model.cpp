#include "fleet_model.h"

#include "codec/spec_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace dogwoodvalve::experiments {

using nlohmann::json;

namespace {

constexpr int LayersPerStage = 2;
/// Positions of a prompt that take as long as one decode step.
constexpr int PositionsPerStep = 50;
constexpr Duration ReportInterval = 200ms;
constexpr Duration PumpInterval = 20ms;
constexpr Duration DetectionOfADeadServer = 5ms;
constexpr std::size_t SharedPromptCharacters = 2048;

std::string stageText(int stage)
{
    return std::to_string(stage * LayersPerStage) + '-'
        + std::to_string((stage + 1) * LayersPerStage - 1);
}

std::string randomPrompt(Random &random, int characters)
{
    std::string text;
    for (int i = 0; i < characters; ++i)
        text += static_cast<char>('a' + random.below(26));
    return text;
}

EngineCommand commandOf(const StepRequest &request)
{
    EngineCommand command;
    command.sequence = request.sequence;
    command.attempt = request.attempt;
    command.layers = request.layers;
    command.basePosition = request.basePosition;
    command.prompt = request.prompt;
    command.tokens.assign(request.tokens.begin(), request.tokens.end());
    command.hidden.assign(request.hidden.begin(), request.hidden.end());
    command.last = request.last;
    command.weight = request.weight;
    return command;
}

} // namespace

/// Knows the engines' true queues, which no router can.
class FleetModel::OraclePolicy : public RoutingPolicy
{
public:
    explicit OraclePolicy(FleetModel &model)
        : m_model(model)
    { }

    std::string_view name() const override { return "oracle"; }

    std::size_t choose(std::span<const Candidate> candidates, Random &random) override
    {
        std::size_t best = random.below(candidates.size());
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (cost(candidates[i]) < cost(candidates[best]))
                best = i;
        }
        return best;
    }

private:
    double cost(const Candidate &candidate) const
    {
        const Server &server = m_model.m_servers[m_model.m_serverByName.at(candidate.server->name)];
        const auto step = static_cast<double>(server.group.stepTime.count());
        return step * (server.core->held() + 1) / server.group.batch + 0.1 * candidate.linkCost;
    }

    FleetModel &m_model;
};

/// One entry host's decisions.
class FleetModel::Entry
{
public:
    Entry(FleetModel &model, int index)
        : configuration(
            Configuration::compile(model.m_state, registry, "entry-" + std::to_string(index)))
        , router(model.makePolicy(), model.m_options.seed * 100 + static_cast<std::uint64_t>(index))
        , capacity(
              "zone-a", [this] { return configuration; }, [&model] { return model.m_clock.now(); },
              [&model] { return static_cast<std::size_t>(model.m_options.entries); })
        , admission(capacity,
                    model.m_options.priorityQueue ? makePriorityQueue() : makeWeightedFairQueue())
    { }

    BackendServerRegistry registry;
    std::shared_ptr<const Configuration> configuration;
    Router router;
    PipelineCapacity capacity;
    AdmissionController admission;
    RetryBudget budget;
    std::map<std::uint64_t, std::shared_ptr<Request>> requests;
};

/// One request of the traffic.
class FleetModel::Request : public SequenceEnvironment
{
public:
    Request(FleetModel &model, Entry &entry, const Traffic &traffic, std::string prompt)
        : m_model(model)
        , m_entry(entry)
        , m_traffic(traffic)
        , m_arrivedAt(model.m_clock.now())
    {
        m_request.id = {1, model.m_nextRequest++};
        m_request.stages = pipeline().spec->stages;
        m_request.prompt = std::move(prompt);
        m_request.maxTokens = traffic.tokens;
        m_blocks = PrefixIndex::blockHashes(m_request.prompt, 1);
    }

    std::uint64_t number() const { return m_request.id.number; }

    void start()
    {
        m_entry.budget.recordRequest(20);
        AdmissionRequest admission;
        admission.workspace = m_traffic.workspace;
        admission.pipeline = "chat";
        admission.limits.weight = m_traffic.weight;
        admission.cost = m_traffic.tokens;
        admission.startBy = m_arrivedAt + m_model.m_options.queueTimeout;
        m_ticket = m_entry.admission.submit(admission, m_arrivedAt, [this](const Refusal *refusal) {
            if (refusal)
                refused();
            else
                later(Duration::zero(), [this] { begin(); });
        });
    }

    void serverDied(const BackendServer &server)
    {
        if (m_sequence)
            m_sequence->onServerLost(server);
    }

    TimerService &timers() override { return m_model.m_clock; }

    Result<std::shared_ptr<BackendServer>>
    chooseServer(std::size_t stage, std::span<const BackendServer *const> excluded) override
    {
        RoutingQuery query;
        query.pipeline = &pipeline();
        query.stage = stage;
        query.entryZone = m_entry.configuration->zoneIndex("zone-a");
        query.prefixBlocks = m_blocks;
        query.excluded = excluded;
        query.now = m_model.m_clock.now();
        const auto choice = m_entry.router.choose(*m_entry.configuration, query);
        if (!choice)
            return choice.error();
        return choice.value().candidate.server->state;
    }

    bool send(BackendServer &server, const StepRequest &request) override
    {
        Server &target = m_model.m_servers[m_model.m_serverByName.at(server.name())];
        if (!target.up)
            return false;
        later(target.group.linkLatency, [this, &target, command = commandOf(request)] {
            if (target.up)
                target.core->submit(number(), command);
        });
        return true;
    }

    void release(BackendServer &server, SequenceId sequence) override
    {
        Server &target = m_model.m_servers[m_model.m_serverByName.at(server.name())];
        m_model.m_clock.schedule(m_model.m_clock.now() + target.group.linkLatency,
                                 [&target, sequence] {
                                     EngineCommand end;
                                     end.kind = EngineCommand::Kind::End;
                                     end.sequence = sequence;
                                     target.core->submit(0, end);
                                 });
    }

    Duration stepTimeout(const BackendServer &, int) override { return 60s; }
    bool trySpendRetry() override { return m_entry.budget.trySpend(); }

    void onAnswer(const StepAnswer &answer)
    {
        if (!m_sequence)
            return;

        m_sequence->onAnswer(answer);
    }

    void emitToken(std::size_t index, std::string_view) override
    {
        const TimePoint now = m_model.m_clock.now();
        if (counted()) {
            if (index == 0)
                m_model.m_result.firstTokens.push_back(now - m_arrivedAt);
            else
                m_model.m_result.gaps.push_back(now - m_lastToken);
        }
        m_lastToken = now;
        ++bucket(m_model.m_result.tokensBySecond);
    }

    void completed(FinishReason) override
    {
        if (counted()) {
            ++m_model.m_result.complete;
            m_model.m_result.totalByWorkspace[m_traffic.workspace].push_back(m_model.m_clock.now()
                                                                             - m_arrivedAt);
        }
        end();
    }

    void failed(const SequenceFailure &) override
    {
        if (counted())
            ++m_model.m_result.failed;
        end();
    }

private:
    const ConfiguredPipeline &pipeline() const { return *m_entry.configuration->pipeline("chat"); }
    bool counted() const { return m_arrivedAt.time_since_epoch() >= m_model.m_options.warmUp; }

    int &bucket(std::vector<int> &seconds) const
    {
        const auto at = static_cast<std::size_t>(m_model.m_clock.now().time_since_epoch() / 1s);
        if (seconds.size() <= at)
            seconds.resize(at + 1);
        return seconds[at];
    }

    void begin()
    {
        m_request.weight = m_entry.admission.withinFairShare(m_ticket) ? 1 : 0.5;
        m_sequence = std::make_unique<Sequence>(*this, m_request);
        m_sequence->start();
    }

    void refused()
    {
        if (counted()) {
            ++m_model.m_result.refused;
            m_model.m_result.refusalWaits.push_back(m_model.m_clock.now() - m_arrivedAt);
        }
        ++bucket(m_model.m_result.refusedBySecond);
        later(Duration::zero(), [this] { m_entry.requests.erase(number()); });
    }

    void end()
    {
        m_entry.admission.release(m_ticket, m_sequence->statistics().tokens, m_model.m_clock.now());
        later(Duration::zero(), [this] { m_entry.requests.erase(number()); });
    }

    /// Calls back unless the request has gone by then.
    void later(Duration delay, std::function<void()> work)
    {
        m_model.m_clock.schedule(m_model.m_clock.now() + delay,
                                 [&entry = m_entry, number = number(), work = std::move(work)] {
                                     const auto it = entry.requests.find(number);
                                     if (it == entry.requests.end())
                                         return;
                                     const auto keep = it->second;
                                     work();
                                 });
    }

    FleetModel &m_model;
    Entry &m_entry;
    const Traffic &m_traffic;
    SequenceRequest m_request;
    std::vector<std::uint64_t> m_blocks;
    std::unique_ptr<Sequence> m_sequence;
    AdmissionController::Ticket m_ticket = 0;
    TimePoint m_arrivedAt;
    TimePoint m_lastToken {};
};

FleetModel::FleetModel(FleetOptions options)
    : m_options(std::move(options))
{
    buildServers();
    buildConfiguration();
    Random random(m_options.seed + 7);
    for (int i = 0; i < m_options.sharedPrompts; ++i)
        m_sharedPrompts.push_back(randomPrompt(random, static_cast<int>(SharedPromptCharacters)));
    for (int i = 0; i < m_options.entries; ++i)
        m_entries.push_back(std::make_unique<Entry>(*this, i));
}

FleetModel::~FleetModel()
{
    for (const auto &entry : m_entries)
        entry->requests.clear();
}

void FleetModel::buildServers()
{
    for (const ServerGroup &group : m_options.groups) {
        for (int i = 0; i < group.count; ++i) {
            const std::size_t index = m_servers.size();
            const std::string name = "server-" + std::to_string(index);
            m_serverByName[name] = index;
            testtool::EngineProfile profile;
            profile.layers = {group.stage * LayersPerStage, (group.stage + 1) * LayersPerStage - 1};
            profile.batch = group.batch;
            profile.stepTime = group.stepTime;
            profile.prefillPerToken = group.stepTime / PositionsPerStep;
            profile.prefixBlocks = 64;
            auto core = std::make_unique<testtool::EngineCore>(
                profile, m_clock,
                [this, index](testtool::EngineCore::ConnectionId number, const StepAnswer &answer) {
                    m_clock.schedule(m_clock.now() + m_servers[index].group.linkLatency,
                                     [this, number, answer] {
                                         for (const auto &entry : m_entries) {
                                             const auto it = entry->requests.find(number);
                                             if (it == entry->requests.end())
                                                 continue;
                                             const auto keep = it->second;
                                             return keep->onAnswer(answer);
                                         }
                                     });
                },
                m_options.seed + index);
            m_servers.push_back({name, group, std::move(core), true});
        }
    }
}

void FleetModel::buildConfiguration()
{
    Change change {"c", "experiment", {}};
    const auto put = [&](ObjectKind kind, const std::string &name, const json &spec) {
        change.operations.push_back({{kind, name}, 0, readSpec(kind, spec).value()});
    };
    std::map<std::string, Duration> zones {{"zone-a", 0us}};
    for (const Server &server : m_servers)
        zones[server.group.zone] = server.group.linkLatency;
    for (const auto &[zone, latency] : zones) {
        put(ObjectKind::Zone, zone, {{"region", "r"}});
        put(ObjectKind::Link, "link-" + zone,
            {{"from", "zone-a"}, {"to", zone}, {"latencyMicros", latency.count()}});
    }
    int port = 1;
    for (const Server &server : m_servers)
        put(ObjectKind::Server, server.name,
            {{"address", "127.0.0.1:" + std::to_string(port++)},
             {"zone", server.group.zone},
             {"model", "m"},
             {"layers", stageText(server.group.stage)},
             {"batch", server.group.batch}});
    json stages = json::array();
    for (int s = 0; s < m_options.stages; ++s)
        stages.push_back(stageText(s));
    put(ObjectKind::Pool, "p", {{"servers", "all"}, {"subset", 100'000}});
    put(ObjectKind::Pipeline, "chat", {{"model", "m"}, {"pool", "p"}, {"stages", stages}});
    (void)m_state.apply(0, change);
}

std::unique_ptr<RoutingPolicy> FleetModel::makePolicy()
{
    if (m_options.policy == "oracle")
        return std::make_unique<OraclePolicy>(*this);
    return makeRoutingPolicy(m_options.policy).value();
}

/// A server's time for one request is its share of the steps of all tokens and the prefill of the
/// prompt, which no other sequence shares.
double FleetModel::hardwareBound() const
{
    const Traffic &traffic = m_options.traffic.front();
    const double promptTokens = traffic.promptCharacters / 4.0 + 1;
    std::vector<double> requestsPerSecond(static_cast<std::size_t>(m_options.stages), 0);
    for (const Server &server : m_servers) {
        const auto step = static_cast<double>(server.group.stepTime.count());
        const double steps = traffic.tokens * step / server.group.batch;
        const double prefill = promptTokens * step / PositionsPerStep;
        requestsPerSecond[static_cast<std::size_t>(server.group.stage)] += 1e6 / (steps + prefill);
    }
    return traffic.tokens * *std::min_element(requestsPerSecond.begin(), requestsPerSecond.end());
}

void FleetModel::schedule(const Traffic &traffic, Random random)
{
    double at = static_cast<double>(traffic.from.count()) / 1e6;
    const double end =
        static_cast<double>(std::min(traffic.until, m_options.duration).count()) / 1e6;
    for (;;) {
        at += -std::log(1 - random.fraction()) / traffic.requestsPerSecond;
        if (at >= end)
            return;
        std::string prompt;
        if (random.chance(traffic.sharedPrefix))
            prompt = m_sharedPrompts[random.below(m_sharedPrompts.size())];
        prompt += randomPrompt(random, traffic.promptCharacters);
        Entry &entry = *m_entries[random.below(m_entries.size())];
        m_clock.schedule(TimePoint(Duration(static_cast<std::int64_t>(at * 1e6))),
                         [this, &entry, &traffic, prompt] {
                             const auto request =
                                 std::make_shared<Request>(*this, entry, traffic, prompt);
                             entry.requests.emplace(request->number(), request);
                             request->start();
                         });
    }
}

void FleetModel::reportLoads()
{
    for (const auto &entry : m_entries) {
        for (const ConfiguredServer &server : entry->configuration->servers()) {
            const Server &target = m_servers[m_serverByName.at(server.name)];
            if (target.up)
                server.state->recordLoadReport(target.core->load(), m_clock.now());
        }
    }
    m_clock.schedule(m_clock.now() + ReportInterval, [this] { reportLoads(); });
}

void FleetModel::pumpAll()
{
    for (const auto &entry : m_entries)
        entry->admission.processQueue(m_clock.now());
    m_clock.schedule(m_clock.now() + PumpInterval, [this] { pumpAll(); });
}

void FleetModel::loseZone(const std::string &zone, Duration at, Duration until)
{
    m_clock.schedule(TimePoint(at), [this, zone] {
        for (Server &server : m_servers) {
            if (server.group.zone == zone)
                server.up = false;
        }
        m_clock.schedule(m_clock.now() + DetectionOfADeadServer, [this, zone] {
            for (const auto &entry : m_entries) {
                for (const ConfiguredServer &server : entry->configuration->servers()) {
                    if (m_servers[m_serverByName.at(server.name)].up)
                        continue;
                    server.state->recordFailure(m_clock.now());
                    const auto requests = entry->requests;
                    for (const auto &[number, request] : requests)
                        request->serverDied(*server.state);
                }
            }
        });
    });
    m_clock.schedule(TimePoint(until), [this, zone] {
        for (Server &server : m_servers) {
            if (server.group.zone == zone)
                server.up = true;
        }
    });
}

FleetResult FleetModel::run()
{
    std::uint64_t seed = m_options.seed * 1000;
    for (const Traffic &traffic : m_options.traffic)
        schedule(traffic, Random(++seed));
    reportLoads();
    pumpAll();
    m_clock.advanceTo(TimePoint(m_options.duration));
    double tokens = 0;
    for (std::size_t at = static_cast<std::size_t>(m_options.warmUp / 1s);
         at < m_result.tokensBySecond.size(); ++at)
        tokens += m_result.tokensBySecond[at];
    m_result.tokensPerSecond =
        tokens / (static_cast<double>((m_options.duration - m_options.warmUp).count()) / 1e6);
    double prefill = 0;
    double cached = 0;
    for (const Server &server : m_servers) {
        prefill += static_cast<double>(server.core->counters().prefillPositions);
        cached += static_cast<double>(server.core->counters().cachedPositions);
    }
    std::size_t next = 0;
    for (const ServerGroup &group : m_options.groups) {
        double steps = 0;
        for (int i = 0; i < group.count; ++i)
            steps += static_cast<double>(m_servers[next++].core->counters().steps);
        const double possible =
            static_cast<double>(m_options.duration / group.stepTime) * group.batch * group.count;
        m_result.useByGroup.push_back(steps / possible);
    }
    m_result.cacheHitRate = prefill > 0 ? cached / prefill : 0;
    return m_result;
}

} // namespace dogwoodvalve::experiments
