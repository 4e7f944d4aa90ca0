#include "gateway/support_api.h"

#include "daemon/log.h"
#include "net/compression.h"
#include "net/http_status.h"
#include "net/http_text.h"

#include <charconv>
#include <optional>
#include <utility>

namespace dogwoodvalve {

namespace {

const std::vector<HttpField> Json {{"Content-Type", "application/json"}};
const std::vector<HttpField> Cbor {{"Content-Type", "application/cbor"}};
const std::vector<HttpField> Zlib {{"Content-Type", "application/zlib"}};
const std::vector<HttpField> Text {{"Content-Type", "text/plain; version=0.0.4"}};

/// A number of the query, or 0 if it has no such parameter; nothing if the value is no number.
std::optional<std::uint64_t> numberParameter(std::string_view target, std::string_view name)
{
    const std::string_view digits = queryParameter(target, name);
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(digits.begin(), digits.end(), number);
    if (!digits.empty() && (ec != std::errc() || end != digits.end()))
        return std::nullopt;
    return number;
}

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
        return answerConfiguration(*exchange);
    if (path == RegistrationsPath)
        return answerRegistrations(*exchange);
    exchange->respond(StatusNotFound, Text, "");
}

/// Hosts ask for the compressed document; operators get it as it is.
void SupportApi::answerConfiguration(HttpExchange &exchange)
{
    const FleetView &view = m_node.view();
    if (queryParameter(exchange.target(), "form") != CompressedForm)
        return exchange.respond(StatusOk, Json, view.configurationDocument());
    const std::uint64_t version = view.configuration() ? view.configuration()->version() : 0;
    if (std::exchange(m_compressedVersion, version) != version)
        m_compressedConfiguration = compressText(view.configurationDocument());
    exchange.respond(StatusOk, Zlib, m_compressedConfiguration);
}

void SupportApi::answerRegistrations(HttpExchange &exchange)
{
    const auto era = numberParameter(exchange.target(), "era");
    const auto after = numberParameter(exchange.target(), "after");
    if (!era || !after)
        return exchange.respond(StatusBadRequest, Text, "");
    exchange.respond(StatusOk, Cbor,
                     encodeRegistrations(m_node.view().registrationsSince({*era, *after})));
}

void SupportApi::answerLookup(HttpExchange &exchange)
{
    const std::string zone = m_node.dialect().lookupZone(exchange.target());
    const std::vector<std::string> addresses =
        chooseCallerAddresses(m_node.view().identity(), m_node.view().hosts(), zone, m_node.now());
    LogEvent::decision("lookup").field("zone", zone).field("addresses", addresses);
    if (addresses.empty())
        return exchange.respond(StatusUnavailable, Json, "{}");
    exchange.respond(StatusOk, Json,
                     m_node.dialect().lookupAnswer(addresses, m_node.settings().lookupTimeToLive));
}

} // namespace dogwoodvalve
