#pragma once

#include <dogwoodvalve/layer_span.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace dogwoodvalve::testtool {

/// Objects as the operator and the servers write them to the platform's store, for a model of eight
/// layers and one kind of accelerator that holds all of it.
constexpr int StandInLayers = 8;

nlohmann::json routeObject(const char *host, const char *prefix, const char *kind,
                           const char *service);

/// What a service says of its engines.
nlohmann::json engineObject();

/// An engine's registration. One without layers holds none.
nlohmann::json engineEntry(const char *service, const std::string &address, LayerSpan layers,
                           std::int64_t startedAtMs);

/// A plain server's registration.
nlohmann::json plainEntry(const char *service, const std::string &address, bool draining = false);

} // namespace dogwoodvalve::testtool
