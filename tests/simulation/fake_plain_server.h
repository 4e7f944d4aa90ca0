#pragma once

#include "net/http_server.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace dogwoodvalve::simulation {

/// The path of health checks, unless the configuration names another one.
inline constexpr const char *HealthPath = "/healthz";
/// What a server sends that floods, in all.
inline constexpr int FloodPieces = 64;
inline constexpr std::size_t FloodPieceBytes = 1 << 20;

/// A simulated plain server that answers every request, or fails as its members say.
class FakePlainServer : public HttpHandler
{
public:
    void handle(const std::shared_ptr<HttpExchange> &exchange) override
    {
        // A health check is no run.
        if (exchange->target() == HealthPath)
            return exchange->respond(200, extraFields, "");
        ++runs;
        requests.emplace_back(exchange->header("X-Request-Id"));
        ++m_runsByRequest[requests.back()];
        seenTenants.emplace_back(exchange->header("X-Tenant"));
        if (!exchange->header("Api-Key").empty())
            seenTenants.emplace_back("key passed on");
        if (aborts)
            return exchange->abort();
        std::vector<HttpField> fields = extraFields;
        if (floods) {
            exchange->beginStream(status, fields);
            for (int i = 0; i < FloodPieces; ++i)
                exchange->write(std::string(FloodPieceBytes, 'x'));
            return;
        }
        if (spoils)
            return exchange->respond(status, {}, "");
        if (refuses) {
            fields.push_back({"X-Not-Run", "1"});
            return exchange->respond(503, fields, "");
        }
        if (status != 200 || stampsAnswers) {
            fields.push_back({"X-Request-Id", std::string(exchange->header("X-Request-Id"))});
            fields.push_back({"X-Server-Stamp", "plain"});
        }
        exchange->respond(status, fields, "done");
    }

    /// Number of times that a request has reached the server, by its id.
    int runsOf(const std::string &id) const
    {
        const auto it = m_runsByRequest.find(id);
        return it == m_runsByRequest.end() ? 0 : it->second;
    }

    int runs = 0;
    /// Ids of the requests that have reached the server, in order.
    std::vector<std::string> requests;
    int status = 200;
    /// Closes the connection without an answer.
    bool aborts = false;
    /// Sends bytes that are no answer, and does not end.
    bool floods = false;
    /// Answers that the request has not run.
    bool refuses = false;
    /// Runs the request and sends an answer without any header field of its own.
    bool spoils = false;
    /// Successful answers carry the server's stamp.
    bool stampsAnswers = true;
    /// Header fields that all answers have besides.
    std::vector<HttpField> extraFields;
    /// The tenant of each request, and a text for each request that still held the caller's key.
    std::vector<std::string> seenTenants;

private:
    std::map<std::string, int> m_runsByRequest;
};

} // namespace dogwoodvalve::simulation
