#include "allocation_counter.h"
#include "codec/completion_codec.h"
#include "codec/step_codec.h"
#include "fleet_configuration.h"

#include <dogwoodvalve/key_ledger.h>
#include <dogwoodvalve/routing.h>
#include <dogwoodvalve/selector.h>

#include <benchmark/benchmark.h>

namespace dogwoodvalve::experiments {
namespace {

/// Reports allocations for each iteration beside the time.
class AllocationCounter
{
public:
    explicit AllocationCounter(benchmark::State &state)
        : m_state(state)
        , m_before(allocationCount())
    { }

    ~AllocationCounter()
    {
        m_state.counters["allocations"] = benchmark::Counter(
            static_cast<double>(allocationCount() - m_before), benchmark::Counter::kAvgIterations);
    }

private:
    benchmark::State &m_state;
    std::uint64_t m_before;
};

void chooseServer(benchmark::State &state)
{
    ConfigurationState configurationState;
    (void)configurationState.apply(
        0, makeSizedConfiguration(static_cast<int>(state.range(0)) * 44, 100));
    BackendServerRegistry registry;
    const auto configuration = Configuration::compile(configurationState, registry, "entry");
    Router router(makeRoutingPolicy("score").value(), 1);
    RoutingQuery query;
    query.pipeline = configuration->pipeline("pipeline-0");
    query.entryZone = 0;
    query.now = TimePoint(1000s);
    (void)router.choose(*configuration, query);
    const AllocationCounter counter(state);
    for (auto it : state)
        benchmark::DoNotOptimize(router.choose(*configuration, query));
}
BENCHMARK(chooseServer)->Arg(4)->Arg(16)->Arg(47);

void matchSelector(benchmark::State &state)
{
    Labels labels;
    labels.set("accelerator", "kind-a");
    labels.set("memory", "80");
    const Selector selector =
        Selector::parse("accelerator in (kind-a, kind-b) and memory >= 40 and not has spare")
            .value();
    const AllocationCounter counter(state);
    for (auto it : state)
        benchmark::DoNotOptimize(selector.matches(labels));
}
BENCHMARK(matchSelector);

void writeStep(benchmark::State &state)
{
    StepRequest request;
    request.sequence = {123456789, 42};
    request.layers = {10, 19};
    request.basePosition = 500;
    const std::vector<std::uint64_t> hidden {0x123456789abcdefULL};
    request.hidden = hidden;
    std::string line;
    appendStepLine(line, request);
    const AllocationCounter counter(state);
    for (auto it : state) {
        line.clear();
        appendStepLine(line, request);
        benchmark::DoNotOptimize(line.data());
    }
}
BENCHMARK(writeStep);

void readAnswer(benchmark::State &state)
{
    StepAnswer answer;
    answer.sequence = {123456789, 42};
    answer.layers = {10, 19};
    answer.basePosition = 500;
    answer.positionCount = 1;
    answer.hidden = {0x123456789abcdefULL};
    std::string line;
    appendAnswerLine(line, answer);
    const AllocationCounter counter(state);
    for (auto it : state)
        benchmark::DoNotOptimize(parseEngineLine(line));
}
BENCHMARK(readAnswer);

void writePiece(benchmark::State &state)
{
    const CompletionWriter writer(CompletionKind::Chat, "chatcmpl-1", "chat", 1);
    std::string out;
    writer.appendTextChunk(out, "piece ");
    const AllocationCounter counter(state);
    for (auto it : state) {
        out.clear();
        writer.appendTextChunk(out, "piece ");
        benchmark::DoNotOptimize(out.data());
    }
}
BENCHMARK(writePiece);

void admitKey(benchmark::State &state)
{
    KeyLedgerOptions options;
    options.keysPerEpoch = 100'000'000;
    KeyLedger ledger("entry-1", 7, TimePoint(), options);
    RequestKey key =
        RequestKey::parse(ledger.currentPrefix(TimePoint()).text() + ".suffix-0000").value();
    std::uint64_t n = 0;
    for (auto it : state) {
        key.suffix = "suffix-" + std::to_string(++n);
        benchmark::DoNotOptimize(ledger.admit("workspace", key, TimePoint()));
        ledger.recordOutcome("workspace", key, Outcome::NotRun);
    }
    state.counters["bytes_per_key"] = static_cast<double>(KeyLedger::bytesPerKey());
}
BENCHMARK(admitKey);

void publishConfiguration(benchmark::State &state)
{
    ConfigurationState configurationState;
    (void)configurationState.apply(0,
                                   makeSizedConfiguration(2100, static_cast<int>(state.range(0))));
    BackendServerRegistry registry;
    for (auto it : state)
        benchmark::DoNotOptimize(Configuration::compile(configurationState, registry, "entry"));
}
BENCHMARK(publishConfiguration)->Arg(100)->Arg(3'100)->Arg(31'000)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace dogwoodvalve::experiments

BENCHMARK_MAIN();
