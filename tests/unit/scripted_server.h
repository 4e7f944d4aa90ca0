#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace dogwoodvalve {

/// How a scripted server ends its connection.
enum class Ending {
    Closed,
    Reset,
    /// It ends its answer, reads the rest of the request, and closes after the client.
    Finished,
    /// It ends its answer, and resets the connection a moment later.
    FinishedThenReset,
};

/// A server on its own thread that reads the head of one request, and answers it with given bytes
/// and then with as many repetitions of a piece as the client reads, up to FloodBytes.
class ScriptedServer
{
public:
    /// More than a client may accept of a head or of a chunk's header.
    static constexpr std::size_t FloodBytes = 16 * 1024 * 1024;
    /// Within this time a client has read what was sent to it, and its own writes have filled the
    /// buffers of the connection.
    static constexpr std::chrono::milliseconds SettleTime {100};

    /// Makes the answer to a request, whose head it gets.
    using Answerer = std::function<std::string(const std::string &request)>;

    ScriptedServer(Answerer answerer, Ending ending, std::string piece = {})
        : m_acceptor(m_loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this, answerer = std::move(answerer), ending, piece = std::move(piece)] {
            serve(answerer, ending, piece);
        })
    { }
    ScriptedServer(std::string answer, Ending ending, std::string piece = {})
        : ScriptedServer([answer = std::move(answer)](const std::string &) { return answer; },
                         ending, std::move(piece))
    { }
    ~ScriptedServer() { m_thread.join(); }

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    boost::asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    /// Whether the client has read all repetitions of the piece.
    bool floodRead() const { return m_floodRead; }
    std::string address() const { return "127.0.0.1:" + std::to_string(endpoint().port()); }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void serve(const Answerer &answerer, Ending ending, const std::string &piece)
    {
        boost::system::error_code ec;
        Socket socket(m_loop);
        m_acceptor.accept(socket, ec);
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
        boost::asio::write(socket, boost::asio::buffer(answerer(request)), ec);
        for (std::size_t n = 0; !piece.empty() && n < FloodBytes && !ec; n += piece.size())
            boost::asio::write(socket, boost::asio::buffer(piece), ec);
        m_floodRead = !ec;
        end(socket, ending);
    }

    static void end(Socket &socket, Ending ending)
    {
        boost::system::error_code ec;
        if (ending == Ending::Finished || ending == Ending::FinishedThenReset)
            socket.shutdown(Socket::shutdown_send, ec);
        if (ending == Ending::Finished) {
            std::string rest(FloodBytes, '\0');
            boost::asio::read(socket, boost::asio::buffer(rest), ec);
        } else if (ending != Ending::Closed) {
            std::this_thread::sleep_for(SettleTime);
            socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        }
        socket.close(ec);
    }

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_floodRead {false};
    std::thread m_thread;
};

} // namespace dogwoodvalve
