#pragma once

#include "codec/spec_codec.h"

#include <dogwoodvalve/configuration_state.h>

#include <nlohmann/json.hpp>

#include <string>

namespace dogwoodvalve::testing {

/// An operation that stores an object, based on this version of it.
inline Operation put(ObjectKind kind, const std::string &name, const nlohmann::json &spec,
                     std::uint64_t base = 0)
{
    return {{kind, name}, base, readSpec(kind, spec).value()};
}

/// An operation that deletes an object, based on this version of it.
inline Operation drop(ObjectKind kind, const std::string &name, std::uint64_t base)
{
    return {{kind, name}, base, std::nullopt};
}

/// A model of four layers in two stages with two servers each, in two zones. Of the two workspaces,
/// "bound" may run on the fast servers only.
inline Change smallFleet()
{
    using nlohmann::json;
    Change change {"fleet", "test", {}};
    auto &operations = change.operations;
    operations.push_back(put(ObjectKind::Zone, "near", {{"region", "r"}}));
    operations.push_back(put(ObjectKind::Zone, "far", {{"region", "r"}}));
    operations.push_back(put(ObjectKind::Link, "near-far",
                             {{"from", "near"}, {"to", "far"}, {"latencyMicros", 50'000}}));
    const auto server = [&](const char *name, const char *layers, const char *zone,
                            const char *kind, int port) {
        operations.push_back(put(ObjectKind::Server, name,
                                 {{"address", "127.0.0.1:" + std::to_string(port)},
                                  {"zone", zone},
                                  {"model", "m"},
                                  {"layers", layers},
                                  {"batch", 4},
                                  {"labels", {{"kind", kind}}}}));
    };
    server("a-fast", "0-1", "near", "fast", 1);
    server("a-slow", "0-1", "far", "slow", 2);
    server("b-fast", "2-3", "near", "fast", 3);
    server("b-slow", "2-3", "far", "slow", 4);
    operations.push_back(put(ObjectKind::Pool, "pool", {{"servers", "has kind"}}));
    operations.push_back(put(ObjectKind::Pipeline, "chat",
                             {{"model", "m"}, {"pool", "pool"}, {"stages", {"0-1", "2-3"}}}));
    operations.push_back(put(ObjectKind::Workspace, "plain", json::object()));
    operations.push_back(put(ObjectKind::Workspace, "bound", {{"labels", {{"tier", "premium"}}}}));
    operations.push_back(put(ObjectKind::Placement, "premium",
                             {{"work", "tier = premium"}, {"servers", "kind = fast"}}));
    return change;
}

} // namespace dogwoodvalve::testing
