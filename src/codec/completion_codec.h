#pragma once

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/sequence.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// The two completion endpoints of the chat-completions API.
enum class CompletionKind {
    Chat,
    Text,
};

/// A caller's request in the format of the chat-completions API.
struct CompletionRequest
{
    CompletionKind kind = CompletionKind::Chat;
    std::string model;
    std::string prompt;
    /// The limit on generated tokens; 0 means the limit of the pipeline.
    int maxTokens = 0;
    bool stream = false;
    bool includeUsage = false;
};

/// An upper bound of the bytes that readCompletionRequest() takes while it parses a body.
std::size_t parsingBytes(std::string_view body);

/// Parses a request body. Members that this router does not use are ignored.
/// Errors: InvalidArgument, Malformed.
Result<CompletionRequest> readCompletionRequest(CompletionKind kind, std::string_view body);

/// Writes the response to one request, streamed or complete. The text that all chunks share is
/// built once.
class CompletionWriter
{
public:
    CompletionWriter(CompletionKind kind, std::string id, std::string model, std::int64_t created);

    /// Appends the first event of a streamed chat response, which carries the role. Appends nothing
    /// for a text completion.
    void appendFirstChunk(std::string &out) const;
    /// Appends an event with generated text.
    void appendTextChunk(std::string &out, std::string_view text) const;
    /// Appends the events that end a streamed response: the finish reason, the usage if wanted, and
    /// [DONE].
    void appendFinalChunks(std::string &out, FinishReason reason, bool withUsage, int promptTokens,
                           int tokens) const;
    /// The body of a response that is not streamed.
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

/// Appends a text as a quoted JSON string. Bytes that are not valid UTF-8 are replaced.
void appendJsonString(std::string &out, std::string_view text);

} // namespace dogwoodvalve
