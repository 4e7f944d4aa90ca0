#include "simulation/sim_http.h"

#include "net/http_text.h"

#include <nlohmann/json.hpp>

#include <deque>

namespace dogwoodvalve::simulation {

using nlohmann::json;

namespace {

// A message is one letter and its content: H a head, B a part of a body, E the end of a body.

json fieldsToJson(std::span<const HttpField> fields)
{
    json list = json::array();
    for (const HttpField &field : fields)
        list.push_back({field.name, field.value});
    return list;
}

std::vector<HttpField> fieldsFromJson(const json &list)
{
    std::vector<HttpField> fields;
    for (const json &it : list)
        fields.push_back({it[0].get<std::string>(), it[1].get<std::string>()});
    return fields;
}

class SimHttpClient : public HttpClientRequest
{
public:
    SimHttpClient(SimNetwork &network, std::shared_ptr<SimProcess> process)
        : m_network(network)
        , m_process(std::move(process))
    { }

    ~SimHttpClient() override { close(); }

    void start(const boost::asio::ip::tcp::endpoint &endpoint, const HttpRequestHead &head,
               Duration connectTimeout, HttpClientEvents &events) override
    {
        m_events = &events;
        m_chunked = head.chunked;
        m_bodyLeft = head.bodyBytes;
        m_head = 'H'
            + json {{"method", head.method},
                    {"target", head.target},
                    {"fields", fieldsToJson(withLength(head))}}
                  .dump(-1, ' ', false, json::error_handler_t::replace);
        const std::string address =
            endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
        const auto weak = std::weak_ptr(self());
        m_process->timers().schedule(m_process->timers().now() + connectTimeout, [weak] {
            const auto client = weak.lock();
            if (client && client->m_events && !client->m_connection)
                client->fail("the connection was not made in time", ErrorKind::Timeout);
        });
        m_network.connect(m_process, address, [weak](std::shared_ptr<SimConnection> connection) {
            if (const auto client = weak.lock())
                client->connectedTo(std::move(connection));
            else if (connection)
                connection->close(SimConnection::Connecting);
        });
    }

    void write(std::string_view part) override
    {
        if (!m_events || part.empty())
            return;
        m_out.push_back('B' + std::string(part));
        if (!m_chunked) {
            m_bodyLeft -= std::min(m_bodyLeft, part.size());
            if (m_bodyLeft == 0)
                m_out.push_back("E");
        }
        flush();
    }

    void finishBody() override
    {
        if (!m_events || !m_chunked)
            return;
        m_out.push_back("E");
        flush();
    }

    void pauseReading(bool) override { }
    bool anyByteSent() const override { return m_anyByteSent; }
    bool connected() const override { return m_connection != nullptr; }
    std::size_t pendingBytes() const override { return 0; }

    void close() override
    {
        m_events = nullptr;
        if (m_connection)
            m_connection->close(SimConnection::Connecting);
    }

private:
    std::shared_ptr<SimHttpClient> self()
    {
        return std::static_pointer_cast<SimHttpClient>(shared_from_this());
    }

    static std::vector<HttpField> withLength(const HttpRequestHead &head)
    {
        std::vector<HttpField> fields = head.fields;
        if (head.chunked)
            fields.push_back({"Transfer-Encoding", "chunked"});
        else if (head.bodyBytes > 0)
            fields.push_back({"Content-Length", std::to_string(head.bodyBytes)});
        return fields;
    }

    void connectedTo(std::shared_ptr<SimConnection> connection)
    {
        if (!m_events) {
            if (connection)
                connection->close(SimConnection::Connecting);
            return;
        }
        if (!connection)
            return fail("cannot connect");
        m_connection = std::move(connection);
        const auto weak = std::weak_ptr(self());
        m_connection->setHandlers(
            SimConnection::Connecting,
            [weak](const std::string &message) {
                if (const auto client = weak.lock())
                    client->received(message);
            },
            [weak] {
                if (const auto client = weak.lock())
                    client->fail("the connection broke");
            });
        m_anyByteSent = true;
        m_connection->send(SimConnection::Connecting, m_head);
        flush();
        m_events->onConnected();
    }

    void flush()
    {
        if (!m_connection)
            return;
        for (; !m_out.empty(); m_out.pop_front())
            m_connection->send(SimConnection::Connecting, m_out.front());
    }

    void received(const std::string &message)
    {
        if (!m_events)
            return;
        const auto keep = self();
        const std::string_view content = std::string_view(message).substr(1);
        if (message.front() == 'H') {
            const json head = json::parse(content);
            m_events->onHead(head["status"].get<int>(), fieldsFromJson(head["fields"]));
        } else if (message.front() == 'B') {
            m_events->onBody(content);
        } else {
            HttpClientEvents *events = m_events;
            close();
            events->onEnd();
        }
    }

    void fail(const std::string &message, ErrorKind kind = ErrorKind::Unavailable)
    {
        HttpClientEvents *events = m_events;
        const auto keep = self();
        close();
        if (events)
            events->onError({kind, message, ""});
    }

    SimNetwork &m_network;
    std::shared_ptr<SimProcess> m_process;
    HttpClientEvents *m_events = nullptr;
    std::shared_ptr<SimConnection> m_connection;
    std::string m_head;
    std::deque<std::string> m_out;
    std::size_t m_bodyLeft = 0;
    bool m_chunked = false;
    bool m_anyByteSent = false;
};

class SimHttpExchange : public HttpExchange, public std::enable_shared_from_this<SimHttpExchange>
{
public:
    SimHttpExchange(std::shared_ptr<SimConnection> connection, const json &head)
        : m_connection(std::move(connection))
        , m_method(head["method"].get<std::string>())
        , m_target(head["target"].get<std::string>())
        , m_fields(fieldsFromJson(head["fields"]))
    {
        m_bodyEnded = header("Content-Length").empty() && header("Transfer-Encoding").empty();
    }

    std::string_view method() const override { return m_method; }
    std::string_view target() const override { return m_target; }
    std::string_view header(std::string_view name) const override
    {
        return findField(m_fields, name);
    }
    std::span<const HttpField> headers() const override { return m_fields; }
    std::string remoteAddress() const override { return "127.0.0.1"; }

    void readBody(std::size_t limit, std::function<void(Result<std::string>)> done) override
    {
        readBodyPart([self = shared_from_this(), limit, done](Result<std::string_view> part) {
            if (!part)
                return done(part.error());
            if (part.value().empty())
                return done(self->m_whole);
            self->m_whole += part.value();
            self->readBody(limit, done);
        });
    }

    void readBodyPart(std::function<void(Result<std::string_view>)> done) override
    {
        m_reader = std::move(done);
        serveReader();
    }

    void respond(int status, std::span<const HttpField> fields, std::string_view body) override
    {
        if (m_responded || m_gone)
            return;
        beginStream(status, fields);
        write(body);
        endStream();
    }

    void beginStream(int status, std::span<const HttpField> fields) override
    {
        m_responded = true;
        send('H' + json {{"status", status}, {"fields", fieldsToJson(fields)}}.dump());
    }

    void write(std::string_view part) override
    {
        if (!part.empty())
            send('B' + std::string(part));
    }

    void endStream() override
    {
        send("E");
        m_ended = true;
        m_onClosed = nullptr;
        m_connection->close(SimConnection::Accepting);
    }

    void abort() override
    {
        m_ended = true;
        m_connection->close(SimConnection::Accepting);
    }

    bool responded() const override { return m_responded; }
    std::size_t pendingBytes() const override { return 0; }
    void onDrained(std::function<void()> callback) override { m_connectionDrained = callback; }
    void onClosed(std::function<void()> callback) override { m_onClosed = std::move(callback); }

    void received(const std::string &message)
    {
        if (message.front() == 'E')
            m_bodyEnded = true;
        else
            m_parts.push_back(message.substr(1));
        serveReader();
    }

    void peerGone()
    {
        m_gone = true;
        serveReader();
        if (const auto callback = std::exchange(m_onClosed, nullptr))
            callback();
    }

private:
    void send(std::string message)
    {
        if (!m_ended && !m_gone)
            m_connection->send(SimConnection::Accepting, std::move(message));
    }

    void serveReader()
    {
        if (!m_reader || (m_parts.empty() && !m_bodyEnded && !m_gone))
            return;
        const auto keep = shared_from_this();
        const auto reader = std::exchange(m_reader, nullptr);
        if (!m_parts.empty()) {
            const std::string part = std::move(m_parts.front());
            m_parts.pop_front();
            return reader(std::string_view(part));
        }
        if (m_bodyEnded)
            return reader(std::string_view());
        reader(Error {ErrorKind::Unavailable, "the peer went away", ""});
    }

    std::shared_ptr<SimConnection> m_connection;
    std::string m_method;
    std::string m_target;
    std::vector<HttpField> m_fields;
    std::deque<std::string> m_parts;
    std::function<void(Result<std::string_view>)> m_reader;
    std::function<void()> m_onClosed;
    std::function<void()> m_connectionDrained;
    std::string m_whole;
    bool m_bodyEnded = false;
    bool m_responded = false;
    bool m_ended = false;
    bool m_gone = false;
};

} // namespace

void SimLoopServices::post(std::function<void()> callback)
{
    m_process->timers().schedule(m_process->timers().now(), std::move(callback));
}

std::shared_ptr<HttpClientRequest> SimLoopServices::createHttpClient()
{
    return std::make_shared<SimHttpClient>(m_network, m_process);
}

void serveHttp(SimNetwork &network, const std::string &address,
               const std::shared_ptr<SimProcess> &process, HttpHandler &handler)
{
    network.listen(address, process, [&handler](const std::shared_ptr<SimConnection> &connection) {
        auto exchange = std::make_shared<std::shared_ptr<SimHttpExchange>>();
        connection->setHandlers(
            SimConnection::Accepting,
            [connection = connection.get(), exchange, &handler](const std::string &message) {
                if (message.front() != 'H') {
                    if (*exchange)
                        (*exchange)->received(message);
                    return;
                }
                *exchange = std::make_shared<SimHttpExchange>(connection->shared_from_this(),
                                                              json::parse(message.substr(1)));
                const auto current = *exchange;
                handler.handle(current);
            },
            [exchange] {
                if (const auto current = *exchange)
                    current->peerGone();
            });
    });
}

} // namespace dogwoodvalve::simulation
