// A model service of stand-in engines that each hold the whole model, and its configuration.
#pragma once

#include "rig.h"

namespace rig {

constexpr const char *Key = "n2ctnfzs989anu6wsjnb";

/// The operator's configuration: one model service and one web application, each with one route.
inline json configuration(int version)
{
    const json engine = {
        {"Slots", 192},
        {"KvCapacity", 100000},
        {"KvTokenBytes", 91800},
        {"LinkMbps", 400000.0},
        {"Stride", 3},
        {"step_ms", 1.02},
        {"per_seq_ms", 0.00714},
        {"context_per_k", 0.00956},
        {"read_per_s", 105000.0},
        {"pairs_per_m", 0.309},
        {"chunk", 512},
        {"report_lag_ms", 200.0},
        {"LoadsPerS", 0.0},
        {"loads_at_once", 5},
        {"delays", json::array()},
        {"usual", {{"prompt", 774}, {"answer", 60}}},
        {"Layers", 8},
        {"LayerMb", 1000.0},
        {"ActBytes", 45900},
        {"PipeMbps", 26000.0},
        {"Models", json::array({{{"Name", "m"}, {"pace", 1.0}, {"LoadS", 1.0}, {"WarmS", 0.0}}})},
        {"Kinds",
         json::array(
             {{{"Name", "a100"}, {"SizeMb", 24000.0}, {"pace", 2.4}, {"ReadFactor", 3.2}}})}};
    return {{"Version", version},
            {"Routes",
             json::array({{{"Name", "r-letters"},
                           {"Host", "ficu95.example"},
                           {"PathPrefix", "/letters/"},
                           {"Kind", "streaming"},
                           {"TimeoutMs", 20000},
                           {"TargetLatencyMs", 500},
                           {"Priority", 1},
                           {"Service", "llm"},
                           {"MaxAttempts", 2},
                           {"NoAuth", false},
                           {"Sticky", true},
                           {"CanResume", true},
                           {"GapTargetMs", 200}},
                          {{"Name", "r-slips"},
                           {"Host", "ficu95.example"},
                           {"PathPrefix", "/slips/"},
                           {"Kind", "unsafe"},
                           {"TimeoutMs", 3000},
                           {"TargetLatencyMs", 300},
                           {"Priority", 1},
                           {"Service", "desk"},
                           {"MaxAttempts", 2},
                           {"NoAuth", false},
                           {"Sticky", false}},
                          {{"Name", "r-trips"},
                           {"Host", "ficu95.example"},
                           {"PathPrefix", "/trips/"},
                           {"Kind", "safe"},
                           {"TimeoutMs", 3000},
                           {"TargetLatencyMs", 300},
                           {"Priority", 1},
                           {"Service", "desk"},
                           {"MaxAttempts", 2},
                           {"NoAuth", false},
                           {"Sticky", false}}})},
            {"Services",
             json::array({{{"Name", "llm"},
                           {"HealthPath", "/healthz"},
                           {"MaxConnections", 1128},
                           {"Protocol", "h1"},
                           {"Tls", false},
                           {"Engine", engine}},
                          {{"Name", "desk"},
                           {"HealthPath", "/healthz"},
                           {"MaxConnections", 100},
                           {"Protocol", "h1"},
                           {"Tls", false}}})},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 4194304},
              {"HeaderTimeoutMs", 3000},
              {"IdleTimeoutMs", 15000}}},
            {"Tenants",
             json::array({{{"Name", "hule930"},
                           {"ApiKeys", json::array({Key, "anfqasnmgkcuyj8pjbvk"})},
                           {"Priority", 1}}})}};
}

inline std::string stamp()
{
    static std::atomic<int> next {0};
    return "3e1b.07." + std::to_string(++next);
}

inline std::vector<std::pair<std::string, std::string>> streamFields(const Server::Arrival &arrival)
{
    return {{"X-Request-Id", arrival.request.field("X-Request-Id")},
            {"X-Server-Stamp", stamp()},
            {"Content-Type", "text/event-stream"},
            {"X-Weight-Versions", "1"}};
}

inline std::string chunk(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

inline std::string headText(const std::vector<std::pair<std::string, std::string>> &fields)
{
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto &[name, value] : fields)
        head += name + ": " + value + "\r\n";
    return head + "Transfer-Encoding: chunked\r\n\r\n";
}

/// Writes the events of a stream; the head goes out with the first one unless it was sent before.
inline void writeEvents(const Server &server, Stream &stream, const Server::Arrival &arrival,
                        int events, double pauseMs, bool headSent)
{
    const std::string last = arrival.request.field("Last-Event-Id");
    std::string before = headSent ? "" : headText(streamFields(arrival));
    for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= events; ++i) {
        if (!server.up() || stream.peerGone())
            return;
        const std::string n = std::to_string(i);
        if (!stream.write(std::exchange(before, "") + chunk("id: " + n + "\ndata: t" + n + "\n\n")))
            return;
        sleepMs(pauseMs);
    }
    stream.write(before + "0\r\n\r\n");
}

} // namespace rig
