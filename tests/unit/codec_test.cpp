#include "codec/completion_codec.h"
#include "codec/frame_authenticator.h"
#include "codec/peer_codec.h"
#include "codec/step_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace dogwoodvalve;
using nlohmann::json;

/// Encoding and decoding of all wire formats, and rejection of malformed input.
class CodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(stepsRoundTrip);
    CPPUNIT_TEST(answersRoundTrip);
    CPPUNIT_TEST(damagedLinesAreRefused);
    CPPUNIT_TEST(linesAreSplitAndBounded);
    CPPUNIT_TEST(peerMessagesRoundTrip);
    CPPUNIT_TEST(damagedPeerMessagesAreRefused);
    CPPUNIT_TEST(newerPeersMayAddFields);
    CPPUNIT_TEST(framesAreAuthentic);
    CPPUNIT_TEST(secretsCanBeRotatedHostByHost);
    CPPUNIT_TEST(adjacentVersionsAreAccepted);
    CPPUNIT_TEST(completionRequestsAreRead);
    CPPUNIT_TEST(badCompletionRequestsAreRefused);
    CPPUNIT_TEST(completionsAreValidJson);
    CPPUNIT_TEST_SUITE_END();

    void stepsRoundTrip()
    {
        StepRequest request;
        request.sequence = {0xffffffffffffffffULL, 3};
        request.attempt = 2;
        request.layers = {12, 23};
        request.basePosition = 17;
        request.prompt = "a \"quoted\"\nprompt \xc3\xa9";
        const std::vector<std::int32_t> tokens {1, 2, 3};
        const std::vector<std::uint64_t> hidden {0xffffffffffffffffULL, 5};
        request.tokens = tokens;
        request.hidden = hidden;
        request.last = true;
        request.weight = 2.5;
        std::string line;
        appendStepLine(line, request);
        const EngineCommand command = parseEngineCommand(line).value();
        CPPUNIT_ASSERT(command.kind == EngineCommand::Kind::Step);
        CPPUNIT_ASSERT(command.sequence == request.sequence);
        CPPUNIT_ASSERT(command.layers == request.layers);
        CPPUNIT_ASSERT_EQUAL(17, command.basePosition);
        CPPUNIT_ASSERT_EQUAL(std::string(request.prompt), command.prompt);
        CPPUNIT_ASSERT(command.tokens == tokens && command.hidden == hidden);
        CPPUNIT_ASSERT(command.last);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, command.weight, 0);
        line.clear();
        appendEndSequenceLine(line, request.sequence);
        CPPUNIT_ASSERT(parseEngineCommand(line).value().kind == EngineCommand::Kind::End);
    }

    void answersRoundTrip()
    {
        StepAnswer answer;
        answer.sequence = {1, 2};
        answer.attempt = 3;
        answer.layers = {0, 5};
        answer.positionCount = 4;
        answer.hidden = {9, 8};
        answer.token = 77;
        answer.text = "word ";
        answer.endOfText = true;
        answer.fault = StepFault::CacheLost;
        std::string line;
        appendAnswerLine(line, answer);
        const StepAnswer read = parseEngineLine(line).value().answer;
        CPPUNIT_ASSERT(read.hidden == answer.hidden && read.text == answer.text);
        CPPUNIT_ASSERT(read.fault == StepFault::CacheLost && read.endOfText);
        CPPUNIT_ASSERT_EQUAL(77, read.token);
        line.clear();
        appendLoadLine(line, 12);
        CPPUNIT_ASSERT_EQUAL(12, parseEngineLine(line).value().load);
    }

    void damagedLinesAreRefused()
    {
        for (const char *line :
             {"", "{", "[]", "null", "{\"o\":1}", "{\"o\":-1,\"n\":2}",
              "{\"o\":1,\"n\":2,\"hidden\":3}", "{\"o\":1,\"n\":2,\"hidden\":[\"x\"]}",
              "{\"o\":1,\"n\":2,\"f\":-4}", "{\"o\":1,\"n\":2,\"b\":1e99}",
              "{\"o\":1,\"n\":2,\"tokens\":[1.5]}"}) {
            CPPUNIT_ASSERT_MESSAGE(line, !parseEngineCommand(line));
            const std::string text = line;
            if (text.find("tokens") == std::string::npos)
                CPPUNIT_ASSERT_MESSAGE(line, !parseEngineLine(line));
        }
    }

    void linesAreSplitAndBounded()
    {
        LineSplitter splitter(10);
        std::vector<std::string> lines;
        const auto collect = [&](std::string_view line) { lines.emplace_back(line); };
        CPPUNIT_ASSERT(splitter.feed("ab", collect));
        CPPUNIT_ASSERT(splitter.feed("c\nde\nf", collect));
        CPPUNIT_ASSERT(splitter.feed("\n", collect));
        CPPUNIT_ASSERT((lines == std::vector<std::string> {"abc", "de", "f"}));
        CPPUNIT_ASSERT(!splitter.feed("more than ten bytes", collect));
    }

    void peerMessagesRoundTrip()
    {
        MembersMessage members;
        members.members.push_back(
            {"e1", "127.0.0.1:1", "127.0.0.1:2", "z", "r", 1ULL << 60, 7, MemberState::Suspect});
        members.wantsView = true;
        const auto readMembers =
            std::get<MembersMessage>(readPeerMessage(writePeerMessage(members)).value());
        CPPUNIT_ASSERT(readMembers.members == members.members && readMembers.wantsView);
        ConfigurationMessage configuration {{"snapshot", 5, {"one", "two"}}};
        const auto readConfiguration = std::get<ConfigurationMessage>(
            readPeerMessage(writePeerMessage(configuration)).value());
        CPPUNIT_ASSERT(readConfiguration.transfer.records == configuration.transfer.records);
        CPPUNIT_ASSERT_EQUAL(std::string("snapshot"), readConfiguration.transfer.snapshot);
        const auto heartbeat = std::get<HeartbeatMessage>(
            readPeerMessage(writePeerMessage(HeartbeatMessage {1, 2, 3})).value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), heartbeat.viewDigest);
    }

    void damagedPeerMessagesAreRefused()
    {
        MembersMessage members;
        members.members.push_back({"e1", "a", "b", "z", "r", 1, 7, MemberState::Alive});
        const std::string good = writePeerMessage(members);
        for (std::size_t n = 0; n < good.size(); ++n)
            CPPUNIT_ASSERT(!readPeerMessage(good.substr(0, n)));
        CPPUNIT_ASSERT(!readPeerMessage(std::string("\x81\x18\x63", 3)));
        CPPUNIT_ASSERT(!readPeerMessage(std::string(MaxPeerMessageBytes + 1, 'x')));
    }

    void newerPeersMayAddFields()
    {
        const json newer = json::array({4, 77, "a field of a later version"});
        std::string bytes;
        json::to_cbor(newer, bytes);
        const auto read = std::get<ConfigurationRequestMessage>(readPeerMessage(bytes).value());
        CPPUNIT_ASSERT_EQUAL(LogOffset(77), read.from);
    }

    static void exchangeOpeningFrames(FrameAuthenticator &a, FrameAuthenticator &b)
    {
        CPPUNIT_ASSERT(a.open(b.openingFrame()));
        CPPUNIT_ASSERT(b.open(a.openingFrame()));
    }

    void framesAreAuthentic()
    {
        const std::vector<PeerSecret> secrets {{1, "the secret of all hosts"}};
        const std::vector<PeerSecret> strangers {{1, "the secret of a stranger"}};
        FrameAuthenticator a(secrets, true);
        FrameAuthenticator b(secrets, false);
        FrameAuthenticator stranger(strangers, true);
        exchangeOpeningFrames(a, b);
        const std::string frame = a.seal("hello");
        CPPUNIT_ASSERT(b.open(frame).value() == "hello");
        CPPUNIT_ASSERT_MESSAGE("repeated", !b.open(frame));
        std::string changed = a.seal("pay 10");
        changed.back() = '9';
        CPPUNIT_ASSERT_MESSAGE("changed", !b.open(changed));
        CPPUNIT_ASSERT_MESSAGE("short", !b.open("x"));
        FrameAuthenticator c(secrets, false);
        CPPUNIT_ASSERT(stranger.open(c.openingFrame()));
        CPPUNIT_ASSERT(c.open(stranger.openingFrame()));
        CPPUNIT_ASSERT_MESSAGE("stranger", !c.open(stranger.seal("hello")));
        FrameAuthenticator d(secrets, false);
        CPPUNIT_ASSERT_MESSAGE("before the opening", !d.open(a.seal("hello")));
        CPPUNIT_ASSERT_MESSAGE("reflected", !a.open(a.seal("hello")));
    }

    void secretsCanBeRotatedHostByHost()
    {
        const std::vector<PeerSecret> old {{1, "an old secret of hosts"},
                                           {2, "a new secret of hosts"}};
        const std::vector<PeerSecret> changed {{2, "a new secret of hosts"},
                                               {1, "an old secret of hosts"}};
        FrameAuthenticator a(old, true);
        FrameAuthenticator b(changed, false);
        exchangeOpeningFrames(a, b);
        CPPUNIT_ASSERT(b.open(a.seal("x")));
        CPPUNIT_ASSERT(a.open(b.seal("y")));
    }

    void adjacentVersionsAreAccepted()
    {
        const std::vector<PeerSecret> secrets {{1, "the secret of all hosts"}};
        for (const int step : {-1, 0, 1, 2}) {
            FrameAuthenticator a(secrets, true);
            FrameAuthenticator b(secrets, false);
            std::string opening = a.openingFrame();
            opening[0] = static_cast<char>(FrameAuthenticator::ProtocolVersion + step);
            CPPUNIT_ASSERT_EQUAL(step <= 1, b.open(opening).has_value());
        }
    }

    void completionRequestsAreRead()
    {
        const auto chat = readCompletionRequest(
            CompletionKind::Chat,
            R"({"model":"m","messages":[{"role":"system","content":"be brief"},
                {"role":"user","content":[{"type":"text","text":"hi"}]}],"stream":true,
                "stream_options":{"include_usage":true},"max_completion_tokens":9,
                "temperature":0.3,"unknown":{}})");
        CPPUNIT_ASSERT(chat);
        CPPUNIT_ASSERT_EQUAL(std::string("system: be brief\nuser: hi\n"), chat.value().prompt);
        CPPUNIT_ASSERT(chat.value().stream && chat.value().includeUsage);
        CPPUNIT_ASSERT_EQUAL(9, chat.value().maxTokens);
        const auto text =
            readCompletionRequest(CompletionKind::Text, R"({"model":"m","prompt":["once"]})");
        CPPUNIT_ASSERT_EQUAL(std::string("once"), text.value().prompt);
    }

    void badCompletionRequestsAreRefused()
    {
        for (const char *body :
             {"", "[]", "{\"model\":3}", "{\"model\":\"m\"}", "{\"model\":\"m\",\"messages\":[]}",
              "{\"model\":\"m\",\"messages\":[{\"content\":\"x\"}]}",
              "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":5}]}",
              "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}],\"max_tokens\":0}",
              "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}],\"stream\":\"yes\"}",
              "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}],\"n\":2}"}) {
            const auto request = readCompletionRequest(CompletionKind::Chat, body);
            CPPUNIT_ASSERT_MESSAGE(body, !request);
            CPPUNIT_ASSERT(!request.error().remedy.empty());
        }
        CPPUNIT_ASSERT(
            !readCompletionRequest(CompletionKind::Text, R"({"model":"m","prompt":["a","b"]})"));
    }

    void completionsAreValidJson()
    {
        for (const CompletionKind kind : {CompletionKind::Chat, CompletionKind::Text}) {
            const CompletionWriter writer(kind, "id-1", "a \"model\"", 5);
            std::string out;
            writer.appendFirstChunk(out);
            writer.appendTextChunk(out, "plain ");
            writer.appendTextChunk(out, "\"quoted\" \n \xff \xc3\xa9");
            writer.appendFinalChunks(out, FinishReason::EndOfText, true, 3, 4);
            std::size_t events = 0;
            for (std::size_t at = 0; (at = out.find("data: ", at)) != std::string::npos; ++events) {
                at += 6;
                const std::string event = out.substr(at, out.find("\n\n", at) - at);
                CPPUNIT_ASSERT(event == "[DONE]" || json::accept(event));
            }
            CPPUNIT_ASSERT(events >= 5);
            const json whole =
                json::parse(writer.responseBody("text", FinishReason::TokenLimit, 3, 4));
            CPPUNIT_ASSERT_EQUAL(7, whole["usage"]["total_tokens"].get<int>());
            CPPUNIT_ASSERT(whole["choices"][0]["finish_reason"] == "length");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);
