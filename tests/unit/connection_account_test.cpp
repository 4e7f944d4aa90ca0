#include "net/http_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace dogwoodvalve;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t Small = ClientAccount::SmallClientBytes;
constexpr std::size_t HoardedBytes = 2 * Small;

/// Begins an answer to /hoard and then reads the body, which is never whole, holding a large part
/// of the account. Other requests hold a small part, for which there is no room beside it.
class HoardingHandler : public HttpHandler
{
public:
    void handle(const std::shared_ptr<HttpExchange> &exchange) override
    {
        if (exchange->target() != "/hoard") {
            exchange->tryHold(Small * 3 / 4);
            return exchange->respond(200, {}, "");
        }
        exchange->beginStream(200, {});
        exchange->tryHold(HoardedBytes);
        exchange->readBodyPart([this](const Result<std::string_view> &part) { failed = !part; });
    }

    std::atomic<bool> failed {false};
};

void send(tcp::socket &socket, unsigned short port, std::string_view request)
{
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(request.data(), request.size()));
}

std::string readAll(tcp::socket &socket)
{
    std::string text;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(text), ec);
    return text;
}

} // namespace

/// Connections of a server whose account is full.
class ConnectionAccountTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionAccountTest);
    CPPUNIT_TEST(aClientWhoseAnswerHasBegunGivesItsRoomBack);
    CPPUNIT_TEST_SUITE_END();

    void aClientWhoseAnswerHasBegunGivesItsRoomBack()
    {
        asio::io_context loop {1};
        const auto account = std::make_shared<ClientAccount>(ClientLimits {3 * Small, 10});
        HoardingHandler handler;
        HttpServer server(loop, handler, {}, account);
        server.listen({asio::ip::make_address("127.0.0.1"), 0}).value();
        const unsigned short port = server.port();
        std::thread thread([&loop] { loop.run(); });
        asio::io_context clientLoop;
        tcp::socket hoarder(clientLoop);
        send(hoarder, port, "POST /hoard HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n");
        std::string head(12, '\0');
        asio::read(hoarder, asio::buffer(head));
        tcp::socket caller(clientLoop);
        send(caller, port, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(readAll(caller).rfind("HTTP/1.1 200 ", 0) == 0);
        tcp::socket second(clientLoop);
        send(second, port, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        // Ends only if the server closes the connection.
        readAll(hoarder);
        CPPUNIT_ASSERT(account->bytes() < HoardedBytes);
        loop.stop();
        thread.join();
        CPPUNIT_ASSERT(handler.failed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionAccountTest);
