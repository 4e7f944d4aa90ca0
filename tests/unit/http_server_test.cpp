#include "echo_server.h"

#include <boost/asio/connect.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <array>
#include <unistd.h>

using namespace dogwoodvalve;
using namespace dogwoodvalve::testing;
namespace asio = boost::asio;
using asio::ip::tcp;

/// The HTTP server with well-behaved and misbehaving clients on real sockets. The tests check the
/// response, never how long it took.
class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(servesWholeAndStreamedBodies);
    CPPUNIT_TEST(keepsConnectionsOpen);
    CPPUNIT_TEST(servesAThousandRequestsOnOneConnection);
    CPPUNIT_TEST(detectsADisconnectDuringALaterRequest);
    CPPUNIT_TEST(treatsAHalfClosedConnectionAsDisconnected);
    CPPUNIT_TEST(refusesBadRequests);
    CPPUNIT_TEST(closesHalfSentRequests);
    CPPUNIT_TEST(aClientThatIsToldToGoOnAndStopsIsDisconnected);
    CPPUNIT_TEST(aTrailerWithoutEndIsRefused);
    CPPUNIT_TEST(aClientThatStillWritesItsBodyReadsTheWholeRefusal);
    CPPUNIT_TEST(aRefusalOnAKeptConnectionIsReadWhileTheBodyIsWritten);
    CPPUNIT_TEST(bytesAfterARefusalAreNoRequest);
    CPPUNIT_TEST(aRefusedClientThatGoesOnIsDisconnected);
    CPPUNIT_TEST(buffersStayBoundedForSlowReaders);
    CPPUNIT_TEST(detectsADisconnectDuringARequest);
    CPPUNIT_TEST(misbehavingClientsDoNotAffectOthers);
    CPPUNIT_TEST(aQuietPeerIsNotTakenForADisconnectedOne);
    CPPUNIT_TEST_SUITE_END();

    static std::string sendAndReadAll(RunningServer &server, std::string_view request)
    {
        RawClient client(server.port);
        client.send(request);
        return client.readAll();
    }

    static void expectStatus(const std::string &answer, const char *status, std::string_view name)
    {
        CPPUNIT_ASSERT_MESSAGE(std::string(name) + ": " + answer.substr(0, 60),
                               answer.rfind(std::string("HTTP/1.1 ") + status, 0) == 0);
    }

    void aClientThatIsToldToGoOnAndStopsIsDisconnected()
    {
        RunningServer server;
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                             sendAndReadAll(server,
                                            "POST / HTTP/1.1\r\nHost: a\r\n"
                                            "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n"));
    }

    void aTrailerWithoutEndIsRefused()
    {
        RunningServer server;
        const std::string request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ";
        expectStatus(sendAndReadAll(server, request + std::string(20'000, 't')), "400", "trailer");
    }

    void servesWholeAndStreamedBodies()
    {
        RunningServer server;
        const std::string whole =
            sendAndReadAll(server, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
        expectStatus(whole, "200", "whole");
        CPPUNIT_ASSERT(whole.find("\r\n\r\n5") != std::string::npos);
        const std::string chunked =
            sendAndReadAll(server,
                           "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(chunked.find("\r\n\r\n7") != std::string::npos);
        const std::string stream =
            sendAndReadAll(server, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(stream.find("part 0\n") != std::string::npos);
        CPPUNIT_ASSERT(stream.find("part 9\n") != std::string::npos);
        CPPUNIT_ASSERT(stream.find("\r\n0\r\n\r\n") != std::string::npos);
    }

    void keepsConnectionsOpen()
    {
        RunningServer server;
        const std::string two =
            sendAndReadAll(server,
                           "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
                           "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy");
        CPPUNIT_ASSERT(two.find("\r\n\r\n1HTTP/1.1 200") != std::string::npos);
    }

    /// Plain and streamed responses, with and without pauses, one request at a time and pipelined
    /// pairs.
    void servesAThousandRequestsOnOneConnection()
    {
        RunningServer server;
        RawClient client(server.port);
        constexpr int Requests = 1000;
        for (int i = 0; i < Requests; ++i) {
            const bool streamed = i % 3 == 0;
            const bool pipelined = i % 7 == 0;
            const std::string request = streamed
                ? "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n"
                : "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
            client.send(pipelined ? request + request : request);
            for (int answers = pipelined ? 2 : 1; answers > 0; --answers) {
                const std::string body = client.readAnswer();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    "request " + std::to_string(i), std::string(streamed ? "part 9" : "3"),
                    streamed && body.size() > 7 ? body.substr(body.size() - 7, 6) : body);
            }
            if (i % 50 == 0)
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    void detectsADisconnectDuringALaterRequest()
    {
        RunningServer server;
        {
            RawClient client(server.port);
            for (int i = 0; i < 3; ++i) {
                client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
                CPPUNIT_ASSERT_EQUAL(std::string("3"), client.readAnswer());
            }
            client.send("GET /hang HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        while (server.handler.closedExchanges.load() == 0)
            std::this_thread::yield();
    }

    void treatsAHalfClosedConnectionAsDisconnected()
    {
        RunningServer server;
        RawClient client(server.port);
        client.send("GET /hang HTTP/1.1\r\nHost: a\r\n\r\n");
        client.socket.shutdown(tcp::socket::shutdown_send);
        while (server.handler.closedExchanges.load() == 0)
            std::this_thread::yield();
        CPPUNIT_ASSERT_EQUAL(std::string(), client.readAll());
    }

    void refusesBadRequests()
    {
        RunningServer server;
        const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
        struct Case
        {
            const char *name;
            std::string request;
            const char *status;
        };
        const std::vector<Case> cases {
            {"no HTTP", "what is this\r\n\r\n", "400"},
            {"binary", std::string("\x16\x03\x01\x00\xff\x00\r\n\r\n", 10), "400"},
            {"two lengths", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", "400"},
            {"length and chunks",
             head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
            {"chunks and length",
             head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", "400"},
            {"unknown coding", head + "Transfer-Encoding: gzip\r\n\r\n", "400"},
            {"coding before chunks", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
             "400"},
            {"coding after chunks", head + "Transfer-Encoding: chunked, identity\r\n\r\n", "400"},
            {"chunks twice", head + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", "400"},
            {"chunks in two fields",
             head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "400"},
            {"negative length", head + "Content-Length: -5\r\n\r\n", "400"},
            {"length of letters", head + "Content-Length: many\r\n\r\n", "400"},
            {"huge length", head + "Content-Length: 99999999999999999999\r\n\r\n", "400"},
            {"body over the server's bound", head + "Content-Length: 20000\r\n\r\n", "413"},
            {"body over the handler's bound",
             head + "Content-Length: 2000\r\n\r\n" + std::string(2000, 'x'), "413"},
            {"bad chunk size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", "400"},
            {"long header", head + "X: " + std::string(5000, 'x') + "\r\n\r\n", "431"},
            {"many headers",
             [&] {
                 std::string text = head;
                 for (int i = 0; i < 500; ++i)
                     text += "X-" + std::to_string(i) + ": y\r\n";
                 return text + "\r\n";
             }(),
             "431"},
            {"space in a name", head + "Bad Name: x\r\n\r\n", "400"},
            {"folded line", head + "A: b\r\n c: d\r\nContent-Length : 3\r\n\r\n", "400"},
            {"other version", "GET / HTTP/3.0\r\nHost: a\r\n\r\n", "400"},
        };
        for (const Case &it : cases) {
            const std::string answer = sendAndReadAll(server, it.request);
            expectStatus(answer, it.status, it.name);
        }
    }

    void closesHalfSentRequests()
    {
        RunningServer server;
        for (const char *half :
             {"", "POST / HT", "POST / HTTP/1.1\r\nHost: a\r\nContent-Le",
              "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nonly this"}) {
            const std::string answer = sendAndReadAll(server, half);
            CPPUNIT_ASSERT_MESSAGE(half, answer.find("200 OK") == std::string::npos);
        }
    }

    static std::string longRequest(std::string_view target)
    {
        return "POST " + std::string(target)
            + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(LongBody) + "\r\n\r\n";
    }

    static void expectRefusalWhileWriting(RawClient &client, const std::string &body)
    {
        CPPUNIT_ASSERT_MESSAGE("the connection broke while the body was sent",
                               client.sendSlowly(LongBody));
        const std::string answer = client.readAnswer();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find(body) != std::string::npos);
        CPPUNIT_ASSERT(client.closedInOrder());
    }

    void aClientThatStillWritesItsBodyReadsTheWholeRefusal()
    {
        RunningServer server(2 * LongBody);
        RawClient client(server.port);
        client.send(longRequest("/refuse"));
        expectRefusalWhileWriting(client, "refused");
        RawClient early(server.port);
        early.send(longRequest("/refuse-early"));
        expectRefusalWhileWriting(early, "refused");
        CPPUNIT_ASSERT_EQUAL(1, server.handler.unreadBodies.load());
        RunningServer strictServer;
        RawClient tooLong(strictServer.port);
        tooLong.send(longRequest("/"));
        expectRefusalWhileWriting(tooLong, "too large");
    }

    void aRefusalOnAKeptConnectionIsReadWhileTheBodyIsWritten()
    {
        RunningServer server(2 * LongBody);
        RawClient client(server.port);
        client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
        CPPUNIT_ASSERT_EQUAL(std::string("3"), client.readAnswer());
        client.send(longRequest("/refuse"));
        expectRefusalWhileWriting(client, "refused");
    }

    void bytesAfterARefusalAreNoRequest()
    {
        RunningServer server(2 * LongBody);
        RawClient client(server.port);
        client.send(longRequest("/refuse"));
        CPPUNIT_ASSERT_EQUAL(std::string("refused"), client.readAnswer());
        for (int i = 0; i < 20; ++i) {
            client.send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
            std::this_thread::sleep_for(PauseBetweenPieces);
        }
        client.socket.shutdown(tcp::socket::shutdown_send);
        CPPUNIT_ASSERT_EQUAL(std::string(), client.readAll());
        CPPUNIT_ASSERT_EQUAL(1, server.handler.requests.load());
    }

    void aRefusedClientThatGoesOnIsDisconnected()
    {
        RunningServer server(2 * LongBody);
        RawClient floods(server.port);
        floods.send(longRequest("/refuse"));
        CPPUNIT_ASSERT_EQUAL(std::string("refused"), floods.readAnswer());
        while (server.exchangesInFlight() > 0)
            std::this_thread::yield();
        CPPUNIT_ASSERT(floods.sendSlowly(LongBody / 4));
        while (floods.sendSlowly(LongBody)) { }
        RawClient pauses(server.port);
        pauses.send(longRequest("/refuse"));
        CPPUNIT_ASSERT_EQUAL(std::string("refused"), pauses.readAnswer());
        while (pauses.sendSlowly(1))
            std::this_thread::sleep_for(10 * PauseBetweenPieces);
    }

    void buffersStayBoundedForSlowReaders()
    {
        RunningServer server;
        RawClient client(server.port);
        client.send("GET /flood HTTP/1.1\r\nHost: a\r\n\r\n");
        // The client reads nothing until the server closes the connection.
        while (server.handler.closedExchanges.load() == 0)
            std::this_thread::yield();
        CPPUNIT_ASSERT(server.handler.maxPendingBytes.load() < 300'000);
    }

    void detectsADisconnectDuringARequest()
    {
        RunningServer server;
        {
            RawClient client(server.port);
            client.send("GET /hang HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        while (server.handler.closedExchanges.load() == 0)
            std::this_thread::yield();
    }

    void misbehavingClientsDoNotAffectOthers()
    {
        RunningServer server;
        std::vector<std::unique_ptr<RawClient>> bad;
        for (int i = 0; i < 40; ++i) {
            bad.push_back(std::make_unique<RawClient>(server.port));
            bad.back()->send(i % 2 ? "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nx"
                                   : "garbage\r\n\r\n");
        }
        const std::string answer =
            sendAndReadAll(server, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
        expectStatus(answer, "200", "good client among bad ones");
    }

    void aQuietPeerIsNotTakenForADisconnectedOne()
    {
        std::array<int, 2> sockets {};
        CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()));
        CPPUNIT_ASSERT(peerState(sockets[0]) == PeerState::Quiet);
        CPPUNIT_ASSERT_EQUAL(ssize_t {1}, ::send(sockets[1], "x", 1, 0));
        CPPUNIT_ASSERT(peerState(sockets[0]) == PeerState::HasSent);
        char byte = 0;
        CPPUNIT_ASSERT_EQUAL(ssize_t {1}, ::recv(sockets[0], &byte, 1, 0));
        CPPUNIT_ASSERT(peerState(sockets[0]) == PeerState::Quiet);
        ::close(sockets[1]);
        CPPUNIT_ASSERT(peerState(sockets[0]) == PeerState::Closed);
        ::close(sockets[0]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
