#pragma once

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/sequence.h>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// A command to an engine, one JSON object per line. Owns the data that StepRequest only refers to.
struct EngineCommand
{
    enum class Kind {
        Step,
        End,
    };

    Kind kind = Kind::Step;
    SequenceId sequence;
    std::uint32_t attempt = 0;
    LayerRange layers;
    int basePosition = 0;
    std::string prompt;
    std::vector<std::int32_t> tokens;
    std::vector<std::uint64_t> hidden;
    bool last = false;
    double weight = 1;
};

/// A line from an engine: the answer to a step, or the load of the engine.
struct EngineLine
{
    enum class Kind {
        Answer,
        Load,
    };

    Kind kind = Kind::Answer;
    StepAnswer answer;
    int load = 0;
};

/// Appends a line that requests a step. Allocates only when the buffer must grow.
void appendStepLine(std::string &out, const StepRequest &request);
/// Appends a line that ends a sequence.
void appendEndSequenceLine(std::string &out, SequenceId sequence);
void appendAnswerLine(std::string &out, const StepAnswer &answer);
void appendLoadLine(std::string &out, int load);

Result<EngineCommand> parseEngineCommand(std::string_view line);
Result<EngineLine> parseEngineLine(std::string_view line);

/// Splits a byte stream into lines of bounded length.
class LineSplitter
{
public:
    explicit LineSplitter(std::size_t maxLineBytes)
        : m_maxLineBytes(maxLineBytes)
    { }

    /// Calls the function with each complete line. Returns false if an incomplete line has grown
    /// longer than the limit.
    template <class Function>
    bool feed(std::string_view bytes, Function function)
    {
        while (!bytes.empty()) {
            const std::size_t end = bytes.find('\n');
            if (end == std::string_view::npos) {
                m_partialLine += bytes;
                return m_partialLine.size() <= m_maxLineBytes;
            }
            if (m_partialLine.empty()) {
                function(bytes.substr(0, end));
            } else {
                m_partialLine += bytes.substr(0, end);
                const std::string line = std::move(m_partialLine);
                m_partialLine.clear();
                function(std::string_view(line));
            }
            bytes.remove_prefix(end + 1);
        }
        return true;
    }

private:
    std::size_t m_maxLineBytes;
    std::string m_partialLine;
};

} // namespace dogwoodvalve
