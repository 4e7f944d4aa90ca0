#pragma once

#include <dogwoodvalve/specs.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve::testtool {

/// The arithmetic of the pretended model. A token depends on every layer's state at every
/// position before it, so that a layer that is skipped, run twice or out of order, or a position
/// that is missing from a cache, changes all that follows.
std::uint64_t embedToken(std::string_view model, std::int32_t token, int position);
std::uint64_t nextLayerState(std::uint64_t state, std::uint64_t hidden, int layer, int position);
std::uint64_t nextHidden(std::uint64_t hidden, std::uint64_t state, int layer);
std::int32_t tokenFromHidden(std::uint64_t hidden);
bool endsText(std::uint64_t hidden);
std::string tokenText(std::int32_t token);
std::vector<std::int32_t> tokenise(std::string_view text);

/// A whole answer, computed in one go without stages, caches or servers.
struct ExpectedAnswer
{
    std::string text;
    int tokens = 0;
    bool endOfText = false;
};

ExpectedAnswer expectedAnswer(std::string_view model, int layers, std::string_view prompt,
                              int maxTokens);

} // namespace dogwoodvalve::testtool
