#include "load_plan.h"

#include <cmath>

namespace dogwoodvalve::testtool {

namespace {

constexpr int SharedPrompts = 4;
constexpr int SharedPromptLength = 2048;

std::string randomText(Random &random, int length)
{
    static constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz     ";
    std::string text;
    for (int i = 0; i < length; ++i)
        text += Letters[random.below(Letters.size())];
    return text;
}

int between(Random &random, int least, int most)
{
    return least + static_cast<int>(random.below(static_cast<std::uint64_t>(most - least) + 1));
}

} // namespace

std::vector<PlannedRequest> planLoad(const LoadOptions &options)
{
    Random random(options.seed);
    std::vector<std::string> shared;
    shared.reserve(SharedPrompts);
    for (int i = 0; i < SharedPrompts; ++i)
        shared.push_back(randomText(random, SharedPromptLength));
    std::vector<PlannedRequest> plan;
    double at = 0;
    while (true) {
        if (options.burst > 0) {
            if (static_cast<int>(plan.size()) >= options.burst)
                break;
        } else {
            at += -std::log(1 - random.fraction()) / options.rate;
            if (at >= options.seconds)
                break;
        }
        PlannedRequest request;
        request.at = Duration(static_cast<std::int64_t>(at * 1e6));
        if (random.chance(options.sharedPrefix))
            request.prompt = shared[random.below(shared.size())];
        request.prompt += randomText(random, between(random, options.minPrompt, options.maxPrompt));
        request.maxTokens = between(random, options.minTokens, options.maxTokens);
        request.keyed = random.chance(options.keyed);
        plan.push_back(std::move(request));
    }
    return plan;
}

} // namespace dogwoodvalve::testtool
