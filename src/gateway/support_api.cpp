#include "gateway/support_api.h"

#include "net/http_status.h"
#include "net/http_text.h"

#include <charconv>

namespace dogwoodvalve {

namespace {

const std::vector<HttpField> Json {{"Content-Type", "application/json"}};
const std::vector<HttpField> Cbor {{"Content-Type", "application/cbor"}};
const std::vector<HttpField> Text {{"Content-Type", "text/plain; version=0.0.4"}};

} // namespace

void SupportApi::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string_view path = pathOf(exchange->target());
    if (m_node.view().leaving())
        exchange->closeAfterResponse();
    if (path == m_node.dialect().lookupPath())
        return answerLookup(*exchange);
    if (path == m_node.dialect().readinessPath())
        return exchange->respond(m_node.view().ready() ? StatusOk : StatusUnavailable, Text, "");
    if (path == "/metrics") {
        m_node.refreshGauges();
        return exchange->respond(StatusOk, Text, m_node.metrics().text());
    }
    if (path == ConfigurationPath)
        return exchange->respond(StatusOk, Json, m_node.view().configurationDocument());
    if (path == RegistrationsPath)
        return answerRegistrations(*exchange);
    exchange->respond(StatusNotFound, Text, "");
}

void SupportApi::answerRegistrations(HttpExchange &exchange)
{
    const std::string_view digits = queryParameter(exchange.target(), "after");
    std::uint64_t after = 0;
    const auto [end, ec] = std::from_chars(digits.begin(), digits.end(), after);
    if (!digits.empty() && (ec != std::errc() || end != digits.end()))
        return exchange.respond(StatusBadRequest, Text, "");
    exchange.respond(StatusOk, Cbor, encodeRegistrations(m_node.view().registrationsSince(after)));
}

void SupportApi::answerLookup(HttpExchange &exchange)
{
    const std::string zone = m_node.dialect().lookupZone(exchange.target());
    const std::vector<std::string> addresses =
        chooseCallerAddresses(m_node.view().identity(), m_node.view().hosts(), zone, m_node.now());
    if (addresses.empty())
        return exchange.respond(StatusUnavailable, Json, "{}");
    exchange.respond(StatusOk, Json,
                     m_node.dialect().lookupAnswer(addresses, m_node.settings().lookupTimeToLive));
}

} // namespace dogwoodvalve
