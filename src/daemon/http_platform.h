#pragma once

#include "net/blocking_http_client.h"

#include <dogwoodvalve/platform.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include <string>

namespace dogwoodvalve {

/// The platform's services over HTTP. Requests wait on threads of their own, so that a slow or
/// dead platform holds up nobody; answers come on the event loop's thread.
class HttpPlatform : public Platform
{
public:
    HttpPlatform(boost::asio::io_context &loop, std::string address);
    ~HttpPlatform() override;

    void append(std::string_view stream, std::string record,
                std::function<void(Result<LogOffset>)> done) override;
    void read(std::string_view stream, LogOffset from, std::size_t maxRecords,
              std::function<void(Result<LogPage>)> done) override;
    void listHosts(std::function<void(Result<std::vector<HostStatus>>)> done) override;

private:
    using Reply = Result<BlockingHttpResponse>;

    void send(boost::asio::thread_pool &threads, BlockingHttpRequest request,
              std::function<void(const Reply &)> done);

    boost::asio::io_context &m_loop;
    std::string m_address;
    /// Reads and appends do not wait for one another.
    boost::asio::thread_pool m_readers;
    boost::asio::thread_pool m_writers;
};

} // namespace dogwoodvalve
