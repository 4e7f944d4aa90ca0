#include "daemon/engine_link.h"
#include "net/asio_loop_services.h"
#include "net/blocking_http_client.h"
#include "net/listening_check.h"
#include "net/websocket_transport.h"
#include "platform/http_engine_control.h"
#include "platform/log_store.h"
#include "scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <openssl/evp.h>
#include <openssl/sha.h>

#include <array>
#include <optional>

using namespace dogwoodvalve;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds MaxTestTime {5};
constexpr std::size_t MaxFrameBytes = 1024;

/// Lines that make the head of an answer that is sound otherwise a broken one.
const std::vector<std::string> BrokenLines {"X Field: 1\r\n", "X\1Field: 1\r\n", "X-Field : 1\r\n",
                                            "X-Field: 1\r\n Content-Length: 2\r\n",
                                            "Transfer-Encoding: gzip\r\n"};

std::string successWith(const std::string &line, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + line + "\r\n" + body;
}

/// An answer whose status is none, with a sound body.
std::string answerWithoutStatus(const std::string &body)
{
    return "HTTP/1.1 000 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::vector<std::string> brokenAnswers(const std::string &body)
{
    std::vector<std::string> answers {answerWithoutStatus(body)};
    for (const std::string &line : BrokenLines)
        answers.push_back(successWith(line, body));
    return answers;
}

/// Runs a loop until a result is there.
template <class T>
T await(asio::io_context &loop, const std::optional<T> &result)
{
    const auto end = std::chrono::steady_clock::now() + MaxTestTime;
    while (!result && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_one_for(MaxTestTime);
    }
    CPPUNIT_ASSERT(result.has_value());
    return *result;
}

/// Connects to servers directly.
class DirectConnector : public ServerConnector
{
public:
    explicit DirectConnector(LoopServices &loop)
        : m_loop(loop)
    { }
    std::shared_ptr<HttpClientRequest> createClient(const ServerRegistration &,
                                                    std::string_view) override
    {
        return m_loop.createHttpClient();
    }

private:
    LoopServices &m_loop;
};

struct LinkRecorder : EngineLinkEvents
{
    void engineAnswered(const StepAnswer &) override { }
    void engineLost(const BackendServer &, std::string_view) override { }
    void engineConnected(const BackendServer &) override { connected = true; }

    bool connected = false;
};

struct WebsocketRecorder : WebsocketEvents
{
    void websocketOpened(std::uint64_t, bool) override { opened = true; }
    void websocketReceived(std::uint64_t, const std::string &) override { }
    void websocketClosed(std::uint64_t) override { opened = false; }

    std::optional<bool> opened;
};

/// Accepts the websocket that a request asks for, with a line added to the head.
std::string websocketAnswer(const std::string &request, const std::string &statusLine,
                            const std::string &line)
{
    constexpr std::string_view KeyField = "Sec-WebSocket-Key: ";
    const std::size_t begin = request.find(KeyField) + KeyField.size();
    const std::string key = request.substr(begin, request.find("\r\n", begin) - begin)
        + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
    std::array<unsigned char, SHA_DIGEST_LENGTH> hash {};
    SHA1(reinterpret_cast<const unsigned char *>(key.data()), key.size(), hash.data());
    std::array<unsigned char, 4 * (SHA_DIGEST_LENGTH + 2) / 3 + 1> accept {};
    const int n = EVP_EncodeBlock(accept.data(), hash.data(), hash.size());
    return statusLine + "Upgrade: websocket\r\nConnection: Upgrade\r\n" + line
        + "Sec-WebSocket-Accept: "
        + std::string(reinterpret_cast<const char *>(accept.data()), static_cast<std::size_t>(n))
        + "\r\n\r\n";
}

} // namespace

/// Broken answers, read by each part that sends requests. All but the websockets read with
/// HttpClientRequest.
class AnswerReadersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerReadersTest);
    CPPUNIT_TEST(theStoreIsNotBelieved);
    CPPUNIT_TEST(aRecordMayBeAppendedBehindABrokenAnswer);
    CPPUNIT_TEST(enginesAreNotBelieved);
    CPPUNIT_TEST(anOrderMayBeginBehindABrokenAnswer);
    CPPUNIT_TEST(engineLinksDoNotOpen);
    CPPUNIT_TEST(theListeningCheckReadsNoAnswer);
    CPPUNIT_TEST(theBlockingClientFails);
    CPPUNIT_TEST(theBlockingClientReadsSoundAnswers);
    CPPUNIT_TEST(peerLinksDoNotOpen);
    CPPUNIT_TEST_SUITE_END();

    static Result<platform::LogBatch> readStore(const std::string &answer)
    {
        const ScriptedServer server(answer, Ending::Closed);
        asio::io_context loop;
        AsioLoopServices services(loop);
        platform::LogStore store(services, server.address());
        std::optional<Result<platform::LogBatch>> result;
        store.read("topic", {}, Duration::zero(),
                   [&result](Result<platform::LogBatch> batch) { result = std::move(batch); });
        return await(loop, result);
    }

    void theStoreIsNotBelieved()
    {
        const std::string emptyBatch(16, '\0');
        CPPUNIT_ASSERT(readStore(successWith("", emptyBatch)));
        for (const std::string &answer : brokenAnswers(emptyBatch))
            CPPUNIT_ASSERT_MESSAGE(answer, !readStore(answer));
    }

    void aRecordMayBeAppendedBehindABrokenAnswer()
    {
        for (const std::string &answer : brokenAnswers("{}")) {
            const ScriptedServer server(answer, Ending::Closed);
            asio::io_context loop;
            AsioLoopServices services(loop);
            platform::LogStore store(services, server.address());
            std::optional<Result<void>> result;
            store.append("topic", {},
                         [&result](const Result<void> &appended) { result = appended; });
            const Result<void> appended = await(loop, result);
            CPPUNIT_ASSERT_MESSAGE(answer, !appended);
            CPPUNIT_ASSERT_EQUAL(ErrorKind::Timeout, appended.error().kind);
        }
    }

    template <class T>
    static T
    callEngine(const std::string &answer,
               const std::function<void(platform::HttpEngineControl &, const ServerRegistration &,
                                        std::optional<T> &)> &call)
    {
        const ScriptedServer server(answer, Ending::Closed);
        asio::io_context loop;
        AsioLoopServices services(loop);
        DirectConnector connector(services);
        platform::HttpEngineControl control(services);
        control.setConnector(connector);
        ServerRegistration registration;
        registration.id = "engine";
        registration.address = server.address();
        std::optional<T> result;
        call(control, registration, result);
        return await(loop, result);
    }

    static bool readsReport(const std::string &answer)
    {
        return callEngine<bool>(answer, [](auto &control, const auto &engine, auto &result) {
            control.readReport(engine, [&result](const Result<EngineReport> &report) {
                result = report.has_value();
            });
        });
    }

    void enginesAreNotBelieved()
    {
        const std::string report = R"({"Seq": 1})";
        CPPUNIT_ASSERT(readsReport(successWith("", report)));
        for (const std::string &answer : brokenAnswers(report))
            CPPUNIT_ASSERT_MESSAGE(answer, !readsReport(answer));
    }

    void anOrderMayBeginBehindABrokenAnswer()
    {
        for (const std::string &answer : brokenAnswers("")) {
            const auto outcome = callEngine<
                OrderOutcome>(answer, [](auto &control, const auto &engine, auto &result) {
                control.orderLayers(engine, {0, 1}, 1, [&result](OrderOutcome it) { result = it; });
            });
            CPPUNIT_ASSERT_MESSAGE(answer, outcome == OrderOutcome::Unknown);
        }
    }

    static bool opensLink(const std::string &answer)
    {
        const ScriptedServer server(answer, Ending::Closed);
        asio::io_context loop;
        AsioLoopServices services(loop);
        LinkRecorder recorder;
        EngineLink link(services, std::make_shared<BackendServer>("engine", server.address()), 1s,
                        recorder);
        loop.run_for(2 * ScriptedServer::SettleTime);
        return recorder.connected;
    }

    void engineLinksDoNotOpen()
    {
        CPPUNIT_ASSERT(opensLink(successWith("", "")));
        for (const std::string &answer : brokenAnswers(""))
            CPPUNIT_ASSERT_MESSAGE(answer, !opensLink(answer));
    }

    void theListeningCheckReadsNoAnswer()
    {
        for (const std::string &answer : brokenAnswers("")) {
            const ScriptedServer server(answer, Ending::Closed);
            asio::io_context loop;
            AsioLoopServices services(loop);
            std::optional<std::optional<bool>> result;
            checkListening(services.timers(), services.createHttpClient(), server.endpoint(), "/",
                           1s, [&result](std::optional<bool> listening) { result = listening; });
            CPPUNIT_ASSERT_MESSAGE(answer, await(loop, result).value_or(false));
        }
    }

    static Result<BlockingHttpResponse> ask(const std::string &answer, Ending ending)
    {
        const ScriptedServer server(answer, ending);
        BlockingHttpRequest request;
        request.path = "/log/changes";
        return sendBlockingRequest(server.address(), request);
    }

    void theBlockingClientFails()
    {
        for (const std::string &answer : brokenAnswers("{}")) {
            const auto reply = ask(answer, Ending::Closed);
            CPPUNIT_ASSERT_MESSAGE(answer, !reply);
            CPPUNIT_ASSERT_EQUAL(ErrorKind::Timeout, reply.error().kind);
        }
        CPPUNIT_ASSERT(!ask("HTTP/1.1 200 OK\r\n\r\n{}", Ending::Reset));
        CPPUNIT_ASSERT(!ask("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", Ending::Closed));
        CPPUNIT_ASSERT(!ask("HTTP/1.1 102 Processing\r\n\r\n", Ending::Closed));
    }

    void theBlockingClientReadsSoundAnswers()
    {
        for (const std::string &answer :
             {successWith("", "{}"), successWith("Content-Length: 2\r\n", "{}"),
              successWith("Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n")}) {
            const auto reply = ask(answer, Ending::Closed);
            CPPUNIT_ASSERT_MESSAGE(answer, reply);
            CPPUNIT_ASSERT_EQUAL(200, reply.value().status);
            CPPUNIT_ASSERT_EQUAL(std::string("{}"), reply.value().body);
        }
    }

    static bool opensWebsocket(const std::string &statusLine, const std::string &line)
    {
        const ScriptedServer server(
            [&](const std::string &request) { return websocketAnswer(request, statusLine, line); },
            Ending::Finished);
        asio::io_context loop;
        WebsocketRecorder recorder;
        const auto transport = WebsocketTransport::create(loop, recorder, MaxFrameBytes);
        transport->connect("127.0.0.1", server.endpoint().port());
        const bool opened = await(loop, recorder.opened);
        transport->stop();
        return opened;
    }

    void peerLinksDoNotOpen()
    {
        const std::string switching = "HTTP/1.1 101 Switching Protocols\r\n";
        CPPUNIT_ASSERT(opensWebsocket(switching, ""));
        CPPUNIT_ASSERT(!opensWebsocket("HTTP/1.1 000 OK\r\n", ""));
        for (const char *line : {"X Field: 1\r\n", "X\1Field: 1\r\n"})
            CPPUNIT_ASSERT_MESSAGE(line, !opensWebsocket(switching, line));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerReadersTest);
