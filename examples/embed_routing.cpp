// Embeds the router's decisions in a program of one's own: a configuration made in code, a choice
// of a server for each stage, and what the choice was made from.

#include <dogwoodvalve/configuration.h>
#include <dogwoodvalve/routing.h>

#include <cstdio>
#include <memory>
#include <string>

using namespace dogwoodvalve;

namespace {

template <class Spec>
Operation put(ObjectKind kind, const std::string &name, Spec spec)
{
    return {
        {kind, name}, 0, ObjectSpec(SpecPointer<Spec>(std::make_shared<Spec>(std::move(spec))))};
}

BackendServerSpec server(const std::string &address, LayerRange layers, const char *kind)
{
    BackendServerSpec spec;
    spec.address = address;
    spec.zone = "zone-a";
    spec.model = "m";
    spec.layers = layers;
    spec.labels.set("accelerator", kind);
    return spec;
}

Change makeConfiguration()
{
    Change change {"example", "embedder", {}};
    AvailabilityZoneSpec zone;
    zone.region = "central";
    PoolSpec pool;
    pool.servers = Selector::parse("accelerator in (fast, slow)").value();
    PipelineSpec pipeline;
    pipeline.model = "m";
    pipeline.pool = "pool";
    pipeline.stages = {{0, 11}, {12, 23}};
    change.operations = {
        put(ObjectKind::Zone, "zone-a", zone),
        put(ObjectKind::Server, "a", server("10.0.0.1:80", {0, 11}, "fast")),
        put(ObjectKind::Server, "b", server("10.0.0.2:80", {0, 11}, "slow")),
        put(ObjectKind::Server, "c", server("10.0.0.3:80", {12, 23}, "fast")),
        put(ObjectKind::Pool, "pool", pool),
        put(ObjectKind::Pipeline, "chat", pipeline),
    };
    return change;
}

} // namespace

int main()
{
    ConfigurationState state;
    const ChangeOutcome outcome = state.apply(0, makeConfiguration()).value();
    if (!outcome.accepted) {
        std::fprintf(stderr, "rejected: %s\n", outcome.reason.c_str());
        return 1;
    }
    BackendServerRegistry registry;
    const auto configuration = Configuration::compile(state, registry, "my-host");
    Router router(makeRoutingPolicy("score").value(), 1);
    RoutingQuery query;
    query.pipeline = configuration->pipeline("chat");
    query.entryZone = configuration->zoneIndex("zone-a");
    query.now = TimePoint(1s);
    for (query.stage = 0; query.stage < query.pipeline->spec->stages.size(); ++query.stage) {
        const auto choice = router.choose(*configuration, query);
        if (!choice) {
            std::fprintf(stderr, "%s\n", choice.error().describe().c_str());
            return 1;
        }
        const Candidate &chosen = choice.value().candidate;
        std::printf("stage %zu: %s of %zu, score %.0f us\n", query.stage,
                    chosen.server->name.c_str(), choice.value().considered, chosen.score());
        chosen.server->state->addInFlight(1);
    }
    return 0;
}
