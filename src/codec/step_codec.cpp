#include "codec/step_codec.h"

#include "codec/object_reader.h"

#include <array>
#include <charconv>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

constexpr std::int64_t MaxPositions = 10'000'000;
constexpr std::int64_t MaxLayer = 100'000;

template <class Number>
void appendNumber(std::string &out, Number number)
{
    std::array<char, 32> text {};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
    out.append(text.data(), end);
}

template <class Number>
void appendNumberMember(std::string &out, std::string_view name, Number number)
{
    out += '"';
    out += name;
    out += "\":";
    appendNumber(out, number);
    out += ',';
}

template <class Number>
void appendNumberListMember(std::string &out, std::string_view name,
                            std::span<const Number> numbers)
{
    if (numbers.empty())
        return;
    out += '"';
    out += name;
    out += "\":[";
    for (const Number number : numbers) {
        appendNumber(out, number);
        out += ',';
    }
    out.back() = ']';
    out += ',';
}

void appendTextMember(std::string &out, std::string_view name, std::string_view text)
{
    if (text.empty())
        return;
    out += '"';
    out += name;
    out += "\":";
    out += json(text).dump(-1, ' ', false, json::error_handler_t::replace);
    out += ',';
}

void appendSequence(std::string &out, SequenceId sequence)
{
    appendNumberMember(out, "o", sequence.origin);
    appendNumberMember(out, "n", sequence.number);
}

/// Replaces the comma after the last member by the closing brace and ends the line.
void closeLine(std::string &out)
{
    out.back() = '}';
    out += '\n';
}

/// Reads a list of integers. Returns false if the value is not one; an absent list is empty.
template <class Number>
bool readNumbers(const json *list, std::vector<Number> &numbers)
{
    if (!list)
        return true;
    if (!list->is_array())
        return false;
    numbers.reserve(list->size());
    for (const json &it : *list) {
        if (!it.is_number_integer())
            return false;
        numbers.push_back(it.get<Number>());
    }
    return true;
}

std::uint64_t readUnsigned(ObjectReader &reader, std::string_view key)
{
    const json *value = reader.member(key);
    if (!value || !value->is_number_unsigned()) {
        reader.fail(key, "a whole number is expected", "");
        return 0;
    }
    return value->get<std::uint64_t>();
}

/// Reads the members that commands and answers share: the sequence, the attempt, the layers and
/// the first position.
template <class Message>
void readStepAddress(ObjectReader &reader, Message &message)
{
    message.sequence.origin = readUnsigned(reader, "o");
    message.sequence.number = readUnsigned(reader, "n");
    message.attempt = static_cast<std::uint32_t>(reader.integer("a", 0, 0, UINT32_MAX));
    message.layers.first = static_cast<int>(reader.integer("f", 0, 0, MaxLayer));
    message.layers.last = static_cast<int>(reader.integer("l", 0, 0, MaxLayer));
    message.basePosition = static_cast<int>(reader.integer("b", 0, 0, MaxPositions));
}

Error malformed(std::string message)
{
    return {ErrorKind::Malformed, std::move(message), "the peer uses a different protocol"};
}

StepFault stepFaultFromText(std::string_view text)
{
    if (text.empty())
        return StepFault::None;
    if (text == "refused")
        return StepFault::Refused;
    return text == "cache_lost" ? StepFault::CacheLost : StepFault::Failed;
}

std::string_view stepFaultText(StepFault fault)
{
    switch (fault) {
    case StepFault::None:
        return "";
    case StepFault::Refused:
        return "refused";
    case StepFault::CacheLost:
        return "cache_lost";
    case StepFault::Failed:
        return "failed";
    }
    return "failed";
}

} // namespace

void appendStepLine(std::string &out, const StepRequest &request)
{
    out += '{';
    appendSequence(out, request.sequence);
    appendNumberMember(out, "a", request.attempt);
    appendNumberMember(out, "f", request.layers.first);
    appendNumberMember(out, "l", request.layers.last);
    appendNumberMember(out, "b", request.basePosition);
    if (request.weight != 1)
        appendNumberMember(out, "w", request.weight);
    if (request.last)
        out += "\"last\":true,";
    appendTextMember(out, "prompt", request.prompt);
    appendNumberListMember(out, "tokens", request.tokens);
    appendNumberListMember(out, "hidden", request.hidden);
    closeLine(out);
}

void appendEndSequenceLine(std::string &out, SequenceId sequence)
{
    out += "{\"end\":true,";
    appendSequence(out, sequence);
    closeLine(out);
}

void appendAnswerLine(std::string &out, const StepAnswer &answer)
{
    out += '{';
    appendSequence(out, answer.sequence);
    appendNumberMember(out, "a", answer.attempt);
    appendNumberMember(out, "f", answer.layers.first);
    appendNumberMember(out, "l", answer.layers.last);
    appendNumberMember(out, "b", answer.basePosition);
    appendNumberMember(out, "c", answer.positionCount);
    appendNumberListMember(out, "hidden", std::span<const std::uint64_t>(answer.hidden));
    if (answer.token != 0)
        appendNumberMember(out, "token", answer.token);
    appendTextMember(out, "text", answer.text);
    if (answer.endOfText)
        out += "\"eos\":true,";
    appendTextMember(out, "fault", stepFaultText(answer.fault));
    closeLine(out);
}

void appendLoadLine(std::string &out, int load)
{
    out += "{\"load\":";
    appendNumber(out, load);
    out += "}\n";
}

Result<EngineCommand> parseEngineCommand(std::string_view line)
{
    const json object = json::parse(line, nullptr, false);
    ObjectReader reader(object, "");
    EngineCommand command;
    if (reader.flag("end", false))
        command.kind = EngineCommand::Kind::End;
    readStepAddress(reader, command);
    command.prompt = reader.text("prompt");
    command.last = reader.flag("last", false);
    command.weight = reader.number("w", 1, 0, 1e9);
    if (!readNumbers(reader.member("tokens"), command.tokens)
        || !readNumbers(reader.member("hidden"), command.hidden))
        return malformed("a list of numbers is expected");
    if (reader.failure())
        return malformed(reader.failure()->message);
    return command;
}

Result<EngineLine> parseEngineLine(std::string_view line)
{
    const json object = json::parse(line, nullptr, false);
    ObjectReader reader(object, "");
    EngineLine result;
    if (reader.member("load")) {
        result.kind = EngineLine::Kind::Load;
        result.load = static_cast<int>(reader.integer("load", 0, 0, 1'000'000'000));
    } else {
        StepAnswer &answer = result.answer;
        readStepAddress(reader, answer);
        answer.positionCount = static_cast<int>(reader.integer("c", 0, 0, MaxPositions));
        answer.token = static_cast<std::int32_t>(reader.integer("token", 0, 0, INT32_MAX));
        answer.text = reader.text("text");
        answer.endOfText = reader.flag("eos", false);
        answer.fault = stepFaultFromText(reader.text("fault"));
        if (!readNumbers(reader.member("hidden"), answer.hidden))
            return malformed("a list of numbers is expected");
    }
    if (reader.failure())
        return malformed(reader.failure()->message);
    return result;
}

} // namespace dogwoodvalve
