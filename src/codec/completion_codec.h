#pragma once

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/sequence.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// The two forms of completion that callers ask for.
enum class CompletionKind {
    Chat,
    Text,
};

/// A caller's request in the chat-completions dialect.
struct CompletionRequest
{
    CompletionKind kind = CompletionKind::Chat;
    std::string model;
    std::string prompt;
    /// 0: as many as the pipeline allows.
    int maxTokens = 0;
    bool stream = false;
    bool includeUsage = false;
};

/// Reads a request body. Members that the dialect has and this router passes over are ignored.
/// Errors: InvalidArgument, Malformed.
Result<CompletionRequest> readCompletionRequest(CompletionKind kind, std::string_view body);

/// Writes the answers to one request. The parts that all chunks share are made once.
class CompletionWriter
{
public:
    CompletionWriter(CompletionKind kind, std::string id, std::string model, std::int64_t created);

    /// Appends the event that begins a streamed answer.
    void appendFirstChunk(std::string &out) const;
    /// Appends an event with a piece of text.
    void appendTextChunk(std::string &out, std::string_view text) const;
    /// Appends the events that end a whole streamed answer.
    void appendFinalChunks(std::string &out, FinishReason reason, bool withUsage, int promptTokens,
                           int tokens) const;
    /// The body of a whole answer.
    std::string responseBody(std::string_view text, FinishReason reason, int promptTokens,
                             int tokens) const;

private:
    CompletionKind m_kind;
    std::string m_id;
    std::string m_model;
    std::int64_t m_created;
    std::string m_chunkPrefix;
    std::string m_chunkSuffix;
};

/// Appends a text as a JSON string, quotes included. Bytes that are not UTF-8 are replaced.
void appendJsonString(std::string &out, std::string_view text);

} // namespace dogwoodvalve
