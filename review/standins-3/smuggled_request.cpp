#include "plain_server.h"

/// A client sends a request whose body is framed by a transfer coding that the gateway does not
/// know. The bytes of the body look like a request.

using namespace review;

namespace {

constexpr const char *Host = "school.example";

std::string hidden(const std::string &id)
{
    return "POST /sign/hidden HTTP/1.1\r\nHost: " + std::string(Host)
        + "\r\nApi-Key: key-1\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
}

std::string outer(const std::string &id, const std::string &framing, const std::string &body)
{
    return "POST /sign/slip HTTP/1.1\r\nHost: " + std::string(Host)
        + "\r\nApi-Key: key-1\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 3000\r\n" + framing
        + "\r\n\r\n" + body;
}

bool play(Record &record, bool trouble)
{
    Deployment deployment(1, "a");
    RunLog runs(record);
    deployment.store().put("keyed.op", "config",
                           json {{"Version", 7},
                                 {"Routes", {route(Host, "/sign/", "unsafe", "desk")}},
                                 {"Services", {{{"Name", "desk"}, {"HealthPath", "/healthz"}}}},
                                 {"Tenants", {{{"Name", "school-1"}, {"ApiKeys", {"key-1"}}}}},
                                 {"Limits", limits()}}
                               .dump());
    PlainServer first(deployment, runs, "i-desk-1", "desk");
    PlainServer second(deployment, runs, "i-desk-2", "desk");
    deployment.startAll();

    const std::vector<std::string> codings = trouble
        ? std::vector<std::string> {"gzip", "identity", "chunked, identity"}
        : std::vector<std::string> {"chunked", "chunked", "chunked"};
    std::map<std::string, std::string> sent;
    for (std::size_t i = 0; i < codings.size(); ++i) {
        const std::string id = "outer-" + std::to_string(i + 1);
        const std::string payload = hidden("hidden-" + std::to_string(i + 1));
        char size[16];
        std::snprintf(size, sizeof(size), "%zx", payload.size());
        const std::string body =
            trouble ? payload : std::string(size) + "\r\n" + payload + "\r\n0\r\n\r\n";
        sent[id] = payload;
        const auto connection = connectTo(deployment.front(0));
        if (!connection)
            throw CannotRun("no connection to the host");
        record.line("client sends " + id + ": POST /sign/slip, Transfer-Encoding: " + codings[i]
                    + ", body of " + std::to_string(payload.size())
                    + " bytes that look like a request hidden-" + std::to_string(i + 1));
        connection->send(outer(id, "Transfer-Encoding: " + codings[i], body));
        for (int n = 0; n < 2; ++n) {
            const Response response = readResponse(*connection, 1500ms);
            if (response.status == 0)
                break;
            record.line("client gets " + std::to_string(response.status) + " for '"
                        + response.field("X-Request-Id") + "', stamp '"
                        + response.field("X-Server-Stamp") + "'");
        }
    }
    pause(500ms);

    bool held = true;
    for (const Run &run : runs.all()) {
        const auto it = sent.find(run.request.field("X-Request-Id"));
        if (it == sent.end()) {
            record.line("UNASKED: " + run.request.field("X-Request-Id")
                        + " ran, which no client sent");
            held = false;
        } else if (run.request.body != it->second) {
            record.line("UNASKED: " + it->first + " ran with another body, of "
                        + std::to_string(run.request.body.size()) + " bytes");
            held = false;
        }
    }
    if (!trouble && runs.all().size() != codings.size())
        throw CannotRun("not all requests ran");
    return held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
