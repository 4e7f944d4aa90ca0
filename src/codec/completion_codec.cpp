#include "codec/completion_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

constexpr int MaxRequestTokens = 1'000'000;
/// Of a parsed value: its part of a list that has grown by doubling, and a list or a text of its
/// own, or its node in an object.
constexpr std::size_t ParsedValueBytes = 192;

Error invalid(std::string message, std::string remedy)
{
    return {ErrorKind::InvalidArgument, std::move(message), std::move(remedy)};
}

std::string_view finishReasonText(FinishReason reason)
{
    return reason == FinishReason::EndOfText ? "stop" : "length";
}

std::string dump(const json &object)
{
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Appends the text of a message's content, which is a string or a list of parts. Parts without
/// text are skipped. Returns false for any other type.
bool appendContent(std::string &prompt, const json &content)
{
    if (content.is_string()) {
        prompt += content.get<std::string>();
        return true;
    }
    if (content.is_null())
        return true;
    if (!content.is_array())
        return false;
    for (const json &part : content) {
        if (part.is_object() && part.contains("text") && part["text"].is_string())
            prompt += part["text"].get<std::string>();
    }
    return true;
}

Result<std::string> promptFromMessages(const json &object)
{
    const auto messages = object.find("messages");
    if (messages == object.end() || !messages->is_array() || messages->empty())
        return invalid("'messages' must be a list with at least one message",
                       "send [{\"role\": \"user\", \"content\": \"...\"}]");
    std::string prompt;
    for (const json &message : *messages) {
        const bool valid =
            message.is_object() && message.contains("role") && message["role"].is_string();
        if (!valid)
            return invalid("each message needs a 'role'", "use system, user or assistant");
        prompt += message["role"].get<std::string>() + ": ";
        if (!appendContent(prompt, message.value("content", json())))
            return invalid("a message's 'content' must be text or a list of parts",
                           "send the content as text");
        prompt += '\n';
    }
    return prompt;
}

Result<std::string> promptFromText(const json &object)
{
    const auto prompt = object.find("prompt");
    if (prompt == object.end())
        return invalid("'prompt' is missing", "send the prompt as text");
    if (prompt->is_string())
        return prompt->get<std::string>();
    if (prompt->is_array() && prompt->size() == 1 && prompt->front().is_string())
        return prompt->front().get<std::string>();
    return invalid("'prompt' must be one text", "send one prompt in each request");
}

/// Returns 0 if no limit is given. An absent or null member keeps its default.
Result<int> readMaxTokens(const json &object)
{
    for (const char *key : {"max_completion_tokens", "max_tokens"}) {
        const auto it = object.find(key);
        if (it == object.end() || it->is_null())
            continue;
        if (!it->is_number_integer() || it->get<std::int64_t>() < 1
            || it->get<std::int64_t>() > MaxRequestTokens)
            return invalid(std::string("'") + key + "' must be a whole number from 1 to "
                               + std::to_string(MaxRequestTokens),
                           "correct or leave it out");
        return it->get<int>();
    }
    return 0;
}

Result<bool> readFlag(const json &object, const char *key)
{
    const auto it = object.find(key);
    if (it == object.end() || it->is_null())
        return false;
    if (!it->is_boolean())
        return invalid(std::string("'") + key + "' must be true or false", "correct it");
    return it->get<bool>();
}

} // namespace

std::size_t parsingBytes(std::string_view body)
{
    // Each value but the first follows one of these. Those within texts are counted, too.
    const auto values = std::count_if(body.begin(), body.end(), [](char it) {
        return it == ',' || it == ':' || it == '[' || it == '{';
    });
    return static_cast<std::size_t>(values) * ParsedValueBytes + body.size();
}

Result<CompletionRequest> readCompletionRequest(CompletionKind kind, std::string_view body)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object())
        return Error {ErrorKind::Malformed, "the body is not a JSON object",
                      "send a chat-completions request"};
    CompletionRequest request;
    request.kind = kind;
    const auto model = object.find("model");
    if (model == object.end() || !model->is_string() || model->get<std::string>().empty())
        return invalid("'model' is missing",
                       "set it to the name of a pipeline; GET /v1/models lists them");
    request.model = model->get<std::string>();
    const auto n = object.find("n");
    if (n != object.end() && !n->is_null() && *n != 1)
        return invalid("'n' must be 1", "send a request for each answer");
    Result<std::string> prompt =
        kind == CompletionKind::Chat ? promptFromMessages(object) : promptFromText(object);
    if (!prompt)
        return prompt.error();
    request.prompt = std::move(prompt).value();
    const Result<int> maxTokens = readMaxTokens(object);
    if (!maxTokens)
        return maxTokens.error();
    request.maxTokens = maxTokens.value();
    const Result<bool> stream = readFlag(object, "stream");
    if (!stream)
        return stream.error();
    request.stream = stream.value();
    const auto options = object.find("stream_options");
    if (options != object.end() && options->is_object()) {
        const Result<bool> usage = readFlag(*options, "include_usage");
        if (!usage)
            return usage.error();
        request.includeUsage = usage.value();
    }
    return request;
}

void appendJsonString(std::string &out, std::string_view text)
{
    const bool plain = std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c >= ' ' && c < 0x7f && c != '"' && c != '\\';
    });
    if (!plain) {
        out += dump(json(text));
        return;
    }
    out += '"';
    out += text;
    out += '"';
}

CompletionWriter::CompletionWriter(CompletionKind kind, std::string id, std::string model,
                                   std::int64_t created)
    : m_kind(kind)
    , m_id(std::move(id))
    , m_model(std::move(model))
    , m_created(created)
{
    const bool chat = m_kind == CompletionKind::Chat;
    m_chunkPrefix = "data: {\"id\":";
    appendJsonString(m_chunkPrefix, m_id);
    m_chunkPrefix += chat ? ",\"object\":\"chat.completion.chunk\",\"created\":"
                          : ",\"object\":\"text_completion\",\"created\":";
    m_chunkPrefix += std::to_string(m_created) + ",\"model\":";
    appendJsonString(m_chunkPrefix, m_model);
    m_chunkPrefix += chat ? ",\"choices\":[{\"index\":0,\"delta\":{\"content\":"
                          : ",\"choices\":[{\"index\":0,\"logprobs\":null,\"text\":";
    m_chunkSuffix = chat ? "},\"finish_reason\":null}]}\n\n" : ",\"finish_reason\":null}]}\n\n";
}

void CompletionWriter::appendFirstChunk(std::string &out) const
{
    if (m_kind == CompletionKind::Text)
        return;
    const json chunk = {{"id", m_id},
                        {"object", "chat.completion.chunk"},
                        {"created", m_created},
                        {"model", m_model},
                        {"choices",
                         {{{"index", 0},
                           {"delta", {{"role", "assistant"}, {"content", ""}}},
                           {"finish_reason", nullptr}}}}};
    out += "data: " + dump(chunk) + "\n\n";
}

void CompletionWriter::appendTextChunk(std::string &out, std::string_view text) const
{
    out += m_chunkPrefix;
    appendJsonString(out, text);
    out += m_chunkSuffix;
}

void CompletionWriter::appendFinalChunks(std::string &out, FinishReason reason, bool withUsage,
                                         int promptTokens, int tokens) const
{
    const bool chat = m_kind == CompletionKind::Chat;
    json choice = {{"index", 0}, {"finish_reason", finishReasonText(reason)}};
    if (chat)
        choice["delta"] = json::object();
    else
        choice["text"] = "";
    json chunk = {{"id", m_id},
                  {"object", chat ? "chat.completion.chunk" : "text_completion"},
                  {"created", m_created},
                  {"model", m_model},
                  {"choices", json::array({choice})}};
    out += "data: " + dump(chunk) + "\n\n";
    if (withUsage) {
        chunk["choices"] = json::array();
        chunk["usage"] = {{"prompt_tokens", promptTokens},
                          {"completion_tokens", tokens},
                          {"total_tokens", promptTokens + tokens}};
        out += "data: " + dump(chunk) + "\n\n";
    }
    out += "data: [DONE]\n\n";
}

std::string CompletionWriter::responseBody(std::string_view text, FinishReason reason,
                                           int promptTokens, int tokens) const
{
    const bool chat = m_kind == CompletionKind::Chat;
    json choice = {
        {"index", 0}, {"finish_reason", finishReasonText(reason)}, {"logprobs", nullptr}};
    if (chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    const json body = {{"id", m_id},
                       {"object", chat ? "chat.completion" : "text_completion"},
                       {"created", m_created},
                       {"model", m_model},
                       {"choices", json::array({choice})},
                       {"usage",
                        {{"prompt_tokens", promptTokens},
                         {"completion_tokens", tokens},
                         {"total_tokens", promptTokens + tokens}}}};
    return dump(body);
}

} // namespace dogwoodvalve
