#pragma once

#include "codec/spec_codec.h"

#include <dogwoodvalve/configuration.h>

#include <nlohmann/json.hpp>

#include <string>

namespace dogwoodvalve::experiments {

/// A configuration of a given size: servers in stages of four and ten zones, workspaces with one
/// key each, eleven pipelines.
inline Change makeSizedConfiguration(int servers, int workspaces)
{
    using nlohmann::json;
    constexpr int Zones = 10;
    constexpr int Stages = 4;
    constexpr int Models = 11;
    Change change {"sized", "benchmark", {}};
    const auto put = [&](ObjectKind kind, const std::string &name, const json &spec) {
        change.operations.push_back({{kind, name}, 0, readSpec(kind, spec).value()});
    };
    for (int i = 0; i < Zones; ++i)
        put(ObjectKind::Zone, "zone-" + std::to_string(i),
            {{"region", "region-" + std::to_string(i % 3)}});
    for (int i = 0; i < servers; ++i) {
        const int stage = i % Stages;
        put(ObjectKind::Server, "server-" + std::to_string(i),
            {{"address", "10.1." + std::to_string(i / 250) + '.' + std::to_string(i % 250) + ":80"},
             {"zone", "zone-" + std::to_string(i % Zones)},
             {"model", "model-" + std::to_string(i / Stages % Models)},
             {"layers", std::to_string(stage * 10) + '-' + std::to_string(stage * 10 + 9)},
             {"labels", {{"accelerator", std::string("kind-") + "abc"[i % 3]}, {"memory", 80}}}});
    }
    for (int i = 0; i < Models; ++i) {
        const std::string id = std::to_string(i);
        put(ObjectKind::Pool, "pool-" + id, {{"servers", "has accelerator"}});
        put(ObjectKind::Pipeline, "pipeline-" + id,
            {{"model", "model-" + id},
             {"pool", "pool-" + id},
             {"stages", {"0-9", "10-19", "20-29", "30-39"}}});
    }
    put(ObjectKind::Placement, "premium",
        {{"work", "tier = premium"}, {"servers", "accelerator in (kind-a, kind-b)"}});
    for (int i = 0; i < workspaces; ++i) {
        KeyHash hash {};
        for (std::size_t k = 0; k < sizeof(i); ++k)
            hash[k] = static_cast<std::uint8_t>(i >> (8 * k));
        put(ObjectKind::Workspace, "workspace-" + std::to_string(i),
            {{"labels", {{"tier", i % 10 ? "standard" : "premium"}}},
             {"keyHashes", {toHex(hash)}},
             {"limits", {{"requestsPerSecond", 10}, {"tokensPerSecond", 1000}}}});
    }
    return change;
}

} // namespace dogwoodvalve::experiments
