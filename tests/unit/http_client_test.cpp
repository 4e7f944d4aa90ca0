#include "net/blocking_http_client.h"
#include "net/http_client.h"
#include "scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

using namespace dogwoodvalve;
namespace asio = boost::asio;

namespace {

constexpr Duration ConnectTimeout = 1s;
constexpr std::size_t PieceBytes = 64 * 1024;
/// More than the buffers of a connection hold.
constexpr std::size_t UploadBytes = 16 * 1024 * 1024;

struct Received : HttpClientEvents
{
    void onHead(int code, std::span<const HttpField> head) override
    {
        ++heads;
        status = code;
        fields.assign(head.begin(), head.end());
    }
    void onBody(std::string_view part) override { body += part; }
    void onEnd() override { ended = true; }
    void onError(const Error &error) override { failure = error.message; }

    int heads = 0;
    int status = 0;
    std::vector<HttpField> fields;
    std::string body;
    bool ended = false;
    std::string failure;
};

/// When the client reads the body of an answer.
enum class Reading {
    AtOnce,
    /// After the server has ended the connection in its way.
    Late,
};

Received requestFrom(const ScriptedServer &server, std::size_t uploadBytes = 0,
                     Reading reading = Reading::AtOnce)
{
    asio::io_context loop;
    Received received;
    const auto client = HttpClientRequest::create(loop);
    HttpRequestHead head;
    head.method = uploadBytes > 0 ? "POST" : "GET";
    head.target = "/";
    head.bodyBytes = uploadBytes;
    client->pauseReading(reading == Reading::Late);
    client->start(server.endpoint(), head, ConnectTimeout, received);
    client->write(std::string(uploadBytes, 'u'));
    if (reading == Reading::Late) {
        loop.run_for(3 * ScriptedServer::SettleTime);
        loop.restart();
        client->pauseReading(false);
    }
    loop.run_for(std::chrono::seconds(10));
    client->close();
    return received;
}

Received answerOf(const std::string &head, const std::string &body = "")
{
    const ScriptedServer server(head + "\r\n" + body, Ending::Closed);
    return requestFrom(server);
}

void assertBroken(const std::string &head, const std::string &body = "")
{
    const Received received = answerOf(head, body);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(head, 0, received.heads);
    CPPUNIT_ASSERT_MESSAGE(head, !received.ended && !received.failure.empty());
}

void assertPassed(const std::string &head, const std::string &body, int status)
{
    const Received received = answerOf(head, body);
    CPPUNIT_ASSERT_MESSAGE(head + received.failure, received.ended);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(head, status, received.status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(head, std::string("whole"), received.body);
}

} // namespace

/// Answers as servers may send them, read by the client.
class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(anAnswerWithoutLengthEndsWithItsConnection);
    CPPUNIT_TEST(anAnswerWithoutLengthThatIsResetIsNotWhole);
    CPPUNIT_TEST(anAnswerWithoutLengthThatIsResetDuringTheUploadIsNotWhole);
    CPPUNIT_TEST(aResetThatIsMetBeforeTheBodyIsReadIsNotForgotten);
    CPPUNIT_TEST(earlyAnswersThatHaveEndedAreWhole);
    CPPUNIT_TEST(anAnswerWithLengthThatEndsEarlyIsNotWhole);
    CPPUNIT_TEST(bytesThatAreNoAnswerAreAnError);
    CPPUNIT_TEST(aHeadWithoutEndIsAnError);
    CPPUNIT_TEST(aHeadWithoutEndIsNotReadToTheLast);
    CPPUNIT_TEST(aChunkHeaderWithoutEndIsAnError);
    CPPUNIT_TEST(statusesOutsideTheProtocolAreAnError);
    CPPUNIT_TEST(malformedFieldsAreAnError);
    CPPUNIT_TEST(foldedLinesAreAnError);
    CPPUNIT_TEST(unknownTransferCodingsAreAnError);
    CPPUNIT_TEST(interimResponsesAreFollowedByTheAnswer);
    CPPUNIT_TEST(interimResponsesWithoutAnAnswerAreAnError);
    CPPUNIT_TEST(soundHeadsPass);
    CPPUNIT_TEST(withoutDescriptorsABlockingRequestFails);
    CPPUNIT_TEST_SUITE_END();

    void anAnswerWithoutLengthEndsWithItsConnection()
    {
        const ScriptedServer server("HTTP/1.1 200 OK\r\n\r\nwhole", Ending::Closed);
        const Received received = requestFrom(server);
        CPPUNIT_ASSERT(received.ended);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), received.body);
    }

    void anAnswerWithoutLengthThatIsResetIsNotWhole()
    {
        const ScriptedServer server("HTTP/1.1 200 OK\r\n\r\npart", Ending::Reset);
        const Received received = requestFrom(server);
        CPPUNIT_ASSERT(!received.ended);
        CPPUNIT_ASSERT(!received.failure.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("part"), received.body);
    }

    void anAnswerWithoutLengthThatIsResetDuringTheUploadIsNotWhole()
    {
        const ScriptedServer server("HTTP/1.1 200 OK\r\n\r\npart", Ending::Reset);
        const Received received = requestFrom(server, UploadBytes);
        CPPUNIT_ASSERT(!received.ended);
        CPPUNIT_ASSERT(!received.failure.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("part"), received.body);
    }

    void aResetThatIsMetBeforeTheBodyIsReadIsNotForgotten()
    {
        const ScriptedServer server("HTTP/1.1 200 OK\r\n\r\npart", Ending::Reset);
        const Received received = requestFrom(server, UploadBytes, Reading::Late);
        CPPUNIT_ASSERT(!received.ended);
        CPPUNIT_ASSERT(!received.failure.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("part"), received.body);
    }

    void earlyAnswersThatHaveEndedAreWhole()
    {
        const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
        const std::string chunks =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
        const std::string neither = "HTTP/1.1 200 OK\r\n\r\nwhole";
        const auto check = [](const std::string &answer, Ending ending, Reading reading) {
            const ScriptedServer server(answer, ending);
            const Received received = requestFrom(server, UploadBytes, reading);
            CPPUNIT_ASSERT_MESSAGE(answer + received.failure, received.ended);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), received.body);
        };
        for (const Reading reading : {Reading::AtOnce, Reading::Late}) {
            for (const std::string &answer : {length, chunks}) {
                for (const Ending ending : {Ending::Closed, Ending::Reset, Ending::Finished})
                    check(answer, ending, reading);
            }
            check(neither, Ending::FinishedThenReset, reading);
        }
        check(neither, Ending::Finished, Reading::AtOnce);
    }

    void anAnswerWithLengthThatEndsEarlyIsNotWhole()
    {
        const ScriptedServer server("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
                                    Ending::Closed);
        const Received received = requestFrom(server);
        CPPUNIT_ASSERT(!received.ended);
        CPPUNIT_ASSERT(!received.failure.empty());
    }

    void bytesThatAreNoAnswerAreAnError()
    {
        const ScriptedServer server("", Ending::Closed, std::string(PieceBytes, 'x'));
        const Received received = requestFrom(server);
        CPPUNIT_ASSERT(!received.failure.empty());
        CPPUNIT_ASSERT_EQUAL(0, received.status);
    }

    void aHeadWithoutEndIsAnError()
    {
        const ScriptedServer server("HTTP/1.1 200 OK\r\nX-Field: ", Ending::Closed,
                                    std::string(PieceBytes, 'x'));
        const Received received = requestFrom(server);
        CPPUNIT_ASSERT(!received.failure.empty());
        CPPUNIT_ASSERT_EQUAL(0, received.status);
    }

    void aHeadWithoutEndIsNotReadToTheLast()
    {
        std::string piece;
        while (piece.size() < PieceBytes)
            piece += "X-Field: 1\r\n";
        const ScriptedServer server("HTTP/1.1 200 OK\r\n", Ending::Closed, piece);
        const Received received = requestFrom(server);
        CPPUNIT_ASSERT(!received.failure.empty());
        CPPUNIT_ASSERT_EQUAL(0, received.heads);
        CPPUNIT_ASSERT(!server.floodRead());
    }

    void aChunkHeaderWithoutEndIsAnError()
    {
        const ScriptedServer server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
                                    Ending::Closed, std::string(PieceBytes, 'x'));
        const Received received = requestFrom(server);
        CPPUNIT_ASSERT(!received.ended);
        CPPUNIT_ASSERT_MESSAGE(received.failure,
                               received.failure.find("buffer overflow") != std::string::npos);
    }

    void statusesOutsideTheProtocolAreAnError()
    {
        for (const char *status : {"000", "001", "099", "600", "999"})
            assertBroken("HTTP/1.1 " + std::string(status)
                             + " Trouble\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n",
                         "whole");
        // No request asks for another protocol.
        assertBroken("HTTP/1.1 101 Switching Protocols\r\n", "whole");
        for (const char *line : {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK"})
            assertBroken(std::string(line) + "\r\nContent-Length: 5\r\n", "whole");
    }

    void malformedFieldsAreAnError()
    {
        for (const std::string &field :
             {std::string("X Field: 1"), std::string("X-Field : 1"), std::string("X-Field\t: 1"),
              std::string("X\tField: 1"), std::string("X\1Field: 1"), std::string("X\177Field: 1"),
              std::string("X\0Field: 1", 10), std::string("X\344Field: 1"),
              std::string("X(Field): 1"), std::string(": 1"), std::string("X-Field"),
              std::string("X-Field: 1\x01"), std::string("X-Field: \0", 10),
              std::string("X-Field: 1\rX: 2"), std::string("Content-Length: 6"),
              std::string("Content-Length: five"), std::string("Transfer-Encoding: chunked")}) {
            assertBroken("HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 5\r\n", "whole");
            assertBroken("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + field + "\r\n", "whole");
        }
    }

    void foldedLinesAreAnError()
    {
        // The continuation of a field hides a field behind a blank in the body's framing.
        assertBroken("HTTP/1.1 200 OK\r\nX-Field: 1\r\n Content-Length: 5\r\n", "wholeand more");
        assertBroken("HTTP/1.1 200 OK\r\nX-Field: 1\r\n\tTransfer-Encoding: chunked\r\n",
                     "5\r\nwhole\r\n0\r\n\r\n");
        assertBroken("HTTP/1.1 200 OK\r\nContent-Length:\r\n 5\r\n", "whole");
        assertBroken("HTTP/1.1 200 OK\r\n Content-Length: 5\r\n", "whole");
        assertBroken("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Field: 1\r\n \r\n", "whole");
    }

    void unknownTransferCodingsAreAnError()
    {
        const std::string chunks = "5\r\nwhole\r\n0\r\n\r\n";
        for (const char *codings :
             {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked",
              "chunked;x=1, gzip", "gzip\r\nTransfer-Encoding: chunked"})
            assertBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(codings) + "\r\n",
                         chunks);
    }

    void interimResponsesAreFollowedByTheAnswer()
    {
        const std::string interim = "HTTP/1.1 102 Processing\r\nX-Field: 1\r\n\r\n";
        const ScriptedServer server(
            "HTTP/1.1 100 Continue\r\n\r\n" + interim + interim
                + "HTTP/1.1 200 OK\r\nX-Final: 1\r\nContent-Length: 5\r\n\r\nwhole",
            Ending::Closed);
        const Received received = requestFrom(server);
        CPPUNIT_ASSERT_MESSAGE(received.failure, received.ended);
        CPPUNIT_ASSERT_EQUAL(1, received.heads);
        CPPUNIT_ASSERT_EQUAL(200, received.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), received.fields.size());
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), received.body);
    }

    void interimResponsesWithoutAnAnswerAreAnError()
    {
        const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
        for (const std::string &piece : {std::string(), interim}) {
            const ScriptedServer server(interim, Ending::Closed, piece);
            const Received received = requestFrom(server);
            CPPUNIT_ASSERT_EQUAL(0, received.heads);
            CPPUNIT_ASSERT(!received.ended && !received.failure.empty());
            CPPUNIT_ASSERT(piece.empty() || !server.floodRead());
        }
    }

    void soundHeadsPass()
    {
        for (const int status : {200, 201, 299, 302, 404, 499, 500, 503, 599})
            assertPassed("HTTP/1.1 " + std::to_string(status) + " \r\ncontent-length: 5\r\n",
                         "whole", status);
        for (const std::string &field :
             {std::string("X-Empty:"), std::string("x!#$%&'*+-.^_`|~0: 1"),
              std::string("X-Text: \xe4 \t\"(a) b\""), std::string("X-Field:\t 1 \t"),
              std::string("X-Field: 1\r\nX-Field: 2"), std::string("Content-Length: 5")})
            assertPassed("HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 5\r\n", "whole", 200);
        assertPassed("HTTP/1.0 200 OK\r\n", "whole", 200);
        assertPassed("HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n",
                     "5;x=\"1\"\r\nwhole\r\n0\r\nX-Trailer: 1\r\n\r\n", 200);
        assertPassed("HTTP/1.1 200 OK\r\nTransfer-Encoding: , chunked ,\r\n",
                     "5\r\nwhole\r\n0\r\n\r\n", 200);
    }

    void withoutDescriptorsABlockingRequestFails()
    {
        rlimit limit {};
        ::getrlimit(RLIMIT_NOFILE, &limit);
        const rlimit none {0, limit.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &none);
        const auto reply = sendBlockingRequest("127.0.0.1:1", {});
        ::setrlimit(RLIMIT_NOFILE, &limit);
        CPPUNIT_ASSERT(!reply);
        CPPUNIT_ASSERT(reply.error().kind == ErrorKind::Unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
