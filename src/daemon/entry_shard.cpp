#include "daemon/entry_shard.h"

#include "net/endpoint.h"

namespace dogwoodvalve {

EntryShard::EntryShard(EntryContext &context, std::uint64_t seed)
    : m_context(context)
    , m_work(m_loop.get_executor())
    , m_services(m_loop)
    , m_worker(context, m_services, seed)
    , m_server(m_loop, m_worker.api(), context.settings().http, context.clients())
{ }

EntryShard::~EntryShard()
{
    stop();
}

Result<void> EntryShard::start()
{
    const auto endpoint = parseEndpoint(m_context.settings().listen);
    if (!endpoint)
        return endpoint.error();
    Result<void> listening = m_server.listen(endpoint.value());
    if (!listening)
        return listening;
    m_thread = std::thread([this] {
        const RcuThreadRegistration registration;
        m_worker.start();
        m_loop.run();
    });
    return listening;
}

void EntryShard::stop()
{
    if (!m_thread.joinable())
        return;
    m_loop.stop();
    m_thread.join();
}

void EntryShard::configurationChanged()
{
    m_services.post([this] { m_worker.updateEngineLinks(); });
}

} // namespace dogwoodvalve
