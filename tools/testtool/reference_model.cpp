#include "reference_model.h"

#include <dogwoodvalve/hash.h>

namespace dogwoodvalve::testtool {

namespace {

/// One hidden state in this many ends the text.
constexpr std::uint64_t EndOfTextPeriod = 400;
constexpr std::size_t CharactersPerToken = 4;
constexpr std::uint64_t Vocabulary = 46'656;

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t z = a * 0x9e3779b97f4a7c15ULL + (b ^ (b >> 29)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 31)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 32);
}

} // namespace

std::uint64_t embedToken(std::string_view model, std::int32_t token, int position)
{
    return mix(stableHash(model, static_cast<std::uint64_t>(token)),
               static_cast<std::uint64_t>(position) + 1);
}

std::uint64_t nextLayerState(std::uint64_t state, std::uint64_t hidden, int layer, int position)
{
    return mix(mix(state, hidden),
               (static_cast<std::uint64_t>(layer) << 32) + static_cast<std::uint64_t>(position));
}

std::uint64_t nextHidden(std::uint64_t hidden, std::uint64_t state, int layer)
{
    return mix(hidden, mix(state, static_cast<std::uint64_t>(layer) + 7));
}

std::int32_t tokenFromHidden(std::uint64_t hidden)
{
    return static_cast<std::int32_t>(hidden % Vocabulary) + 1;
}

bool endsText(std::uint64_t hidden)
{
    return (hidden >> 20) % EndOfTextPeriod == 0;
}

std::string tokenText(std::int32_t token)
{
    static constexpr std::string_view Digits = "0123456789abcdefghijklmnopqrstuvwxyz";
    std::string text;
    for (int rest = token; rest > 0; rest /= 36)
        text += Digits[static_cast<std::size_t>(rest % 36)];
    return text + ' ';
}

std::vector<std::int32_t> tokenise(std::string_view text)
{
    std::vector<std::int32_t> tokens;
    for (std::size_t i = 0; i < text.size(); i += CharactersPerToken)
        tokens.push_back(
            static_cast<std::int32_t>(stableHash(text.substr(i, CharactersPerToken)) % Vocabulary)
            + 1);
    if (tokens.empty())
        tokens.push_back(1);
    return tokens;
}

ExpectedAnswer expectedAnswer(std::string_view model, int layers, std::string_view prompt,
                              int maxTokens)
{
    ExpectedAnswer answer;
    std::vector<std::uint64_t> states(static_cast<std::size_t>(layers), 0);
    std::vector<std::int32_t> tokens = tokenise(prompt);
    for (std::size_t position = 0; answer.tokens < maxTokens; ++position) {
        const int at = static_cast<int>(position);
        std::uint64_t hidden = embedToken(model, tokens[position], at);
        for (int layer = 0; layer < layers; ++layer) {
            std::uint64_t &state = states[static_cast<std::size_t>(layer)];
            state = nextLayerState(state, hidden, layer, at);
            hidden = nextHidden(hidden, state, layer);
        }
        if (position + 1 < tokens.size())
            continue;
        ++answer.tokens;
        if (endsText(hidden)) {
            answer.endOfText = true;
            break;
        }
        tokens.push_back(tokenFromHidden(hidden));
        answer.text += tokenText(tokens.back());
    }
    return answer;
}

} // namespace dogwoodvalve::testtool
