#pragma once

#include <dogwoodvalve/random.h>
#include <dogwoodvalve/timer_service.h>

#include <string>
#include <vector>

namespace dogwoodvalve::testtool {

/// What a load consists of.
struct LoadOptions
{
    /// Caller addresses of entry hosts to ask first.
    std::vector<std::string> entries;
    std::string key = "demo-key";
    std::string pipeline = "chat";
    std::string model = "m";
    int layers = 24;
    /// Requests a second on average, arriving at random.
    double rate = 10;
    double seconds = 10;
    /// If positive: this many requests at once instead of a rate.
    int burst = 0;
    int minTokens = 8;
    int maxTokens = 32;
    int minPrompt = 40;
    int maxPrompt = 400;
    /// Share of requests that begin with one of a few common prompts.
    double sharedPrefix = 0;
    /// Share of requests that are sent with a key and at most once.
    double keyed = 0;
    std::uint64_t seed = 1;
    /// Time from the intended start after which a request counts as failed.
    Duration patience = 60s;
    bool verify = true;
    /// Whether a request that was refused for overload is sent again when the answer says.
    bool comeBack = false;
};

/// One request of a load.
struct PlannedRequest
{
    Duration at {};
    std::string prompt;
    int maxTokens = 0;
    bool keyed = false;
};

/// Draws the requests of a load: the same options give the same requests.
std::vector<PlannedRequest> planLoad(const LoadOptions &options);

} // namespace dogwoodvalve::testtool
