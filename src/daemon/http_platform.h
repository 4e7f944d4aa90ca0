#pragma once

#include "net/blocking_http_client.h"

#include <dogwoodvalve/platform.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include <string>

namespace dogwoodvalve {

/// Calls the platform's services over HTTP. Requests block threads of their own, so that a slow or
/// dead platform does not block the event loop; callbacks run on the event loop's thread.
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
    /// Separate pools, so that reads and appends do not wait for each other.
    boost::asio::thread_pool m_readThreads;
    boost::asio::thread_pool m_appendThreads;
};

} // namespace dogwoodvalve
