#include "standin_http.h"

#include <nlohmann/json.hpp>

namespace dogwoodvalve::testtool {

namespace {

constexpr std::size_t MaxBody = 4 * 1024 * 1024;

} // namespace

void respondJson(const std::shared_ptr<HttpExchange> &exchange, int status,
                 const nlohmann::json &body)
{
    const std::vector<HttpField> fields {{"Content-Type", "application/json"}};
    exchange->respond(status, fields, body.dump());
}

void withJsonBody(const std::shared_ptr<HttpExchange> &exchange,
                  std::function<void(const nlohmann::json &)> done)
{
    exchange->readBody(MaxBody, [exchange, done = std::move(done)](Result<std::string> body) {
        if (!body)
            return respondJson(exchange, 400, {{"error", body.error().describe()}});
        const auto json = nlohmann::json::parse(body.value(), nullptr, false);
        if (json.is_discarded())
            return respondJson(exchange, 400, {{"error", "the body is not JSON"}});
        done(json);
    });
}

} // namespace dogwoodvalve::testtool
