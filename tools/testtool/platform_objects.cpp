#include "platform_objects.h"

namespace dogwoodvalve::testtool {

using nlohmann::json;

json routeObject(const char *host, const char *prefix, const char *kind, const char *service)
{
    return {{"Name", prefix},   {"Host", host},       {"PathPrefix", prefix},
            {"Kind", kind},     {"TimeoutMs", 10000}, {"TargetLatencyMs", 500},
            {"MaxAttempts", 2}, {"Service", service}, {"CanResume", true}};
}

json engineObject()
{
    const json kind = {{"Name", "card"}, {"SizeMb", 800}, {"pace", 1}, {"ReadFactor", 1}};
    return {{"Layers", StandInLayers}, {"LayerMb", 100},
            {"KvTokenBytes", 8000},    {"step_ms", 5},
            {"read_per_s", 100000},    {"Stride", 1},
            {"Kinds", {kind}},         {"Models", {{{"Name", "model"}, {"LoadS", 1}}}}};
}

json engineEntry(const char *service, const std::string &address, LayerSpan layers,
                 std::int64_t startedAtMs)
{
    json entry = {{"Service", service},  {"Addr", address},      {"Zone", "a"},
                  {"Version", "v1"},     {"Kind", "card"},       {"Slots", 100},
                  {"State", "ready"},    {"ColdRemainingMs", 0}, {"Seq", 1},
                  {"born", startedAtMs}, {"Layers", nullptr}};
    if (!layers.empty())
        entry["Layers"] = {{"From", layers.first}, {"Target", layers.end}};
    return entry;
}

json plainEntry(const char *service, const std::string &address, bool draining)
{
    return {{"Service", service},   {"Addr", address}, {"Zone", "a"},
            {"Version", "v1"},      {"Slots", 6},      {"State", draining ? "draining" : "ready"},
            {"ColdRemainingMs", 0}, {"Seq", 1}};
}

} // namespace dogwoodvalve::testtool
