#include "net/http_client.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace dogwoodvalve;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration ConnectTimeout = 1s;
/// More than a client may accept of a head or of a chunk's header.
constexpr std::size_t FloodBytes = 16 * 1024 * 1024;
constexpr std::size_t PieceBytes = 64 * 1024;

enum class Ending { Closed, Reset };

/// A server on its own thread that reads one request, and answers it with given bytes and then
/// with as many repetitions of a piece as the client reads, up to FloodBytes.
class ScriptedServer
{
public:
    ScriptedServer(std::string answer, Ending ending, std::string piece = {})
        : m_acceptor(m_loop, {asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this, answer = std::move(answer), ending, piece = std::move(piece)] {
            serve(answer, ending, piece);
        })
    { }
    ~ScriptedServer() { m_thread.join(); }

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    void serve(const std::string &answer, Ending ending, const std::string &piece)
    {
        boost::system::error_code ec;
        tcp::socket socket(m_loop);
        m_acceptor.accept(socket, ec);
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n", ec);
        asio::write(socket, asio::buffer(answer), ec);
        for (std::size_t n = 0; !piece.empty() && n < FloodBytes && !ec; n += piece.size())
            asio::write(socket, asio::buffer(piece), ec);
        if (ending == Ending::Reset) {
            // The client must have read the bytes, which a reset may discard.
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            socket.set_option(asio::socket_base::linger(true, 0), ec);
        }
        socket.close(ec);
    }

    asio::io_context m_loop;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

struct Received : HttpClientEvents
{
    void onHead(int code, std::span<const HttpField>) override { status = code; }
    void onBody(std::string_view part) override { body += part; }
    void onEnd() override { ended = true; }
    void onError(const Error &error) override { failure = error.message; }

    int status = 0;
    std::string body;
    bool ended = false;
    std::string failure;
};

Received requestFrom(const ScriptedServer &server)
{
    asio::io_context loop;
    Received received;
    const auto client = HttpClientRequest::create(loop);
    HttpRequestHead head;
    head.method = "GET";
    head.target = "/";
    client->start(server.endpoint(), head, ConnectTimeout, received);
    loop.run_for(std::chrono::seconds(10));
    client->close();
    return received;
}

} // namespace

/// Answers as servers may send them, read by the client.
class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(anAnswerWithoutLengthEndsWithItsConnection);
    CPPUNIT_TEST(anAnswerWithoutLengthThatIsResetIsNotWhole);
    CPPUNIT_TEST(anAnswerWithLengthThatEndsEarlyIsNotWhole);
    CPPUNIT_TEST(bytesThatAreNoAnswerAreAnError);
    CPPUNIT_TEST(aHeadWithoutEndIsAnError);
    CPPUNIT_TEST(aChunkHeaderWithoutEndIsAnError);
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

    void aChunkHeaderWithoutEndIsAnError()
    {
        const ScriptedServer server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
                                    Ending::Closed, std::string(PieceBytes, 'x'));
        const Received received = requestFrom(server);
        CPPUNIT_ASSERT(!received.ended);
        CPPUNIT_ASSERT_MESSAGE(received.failure,
                               received.failure.find("buffer overflow") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
