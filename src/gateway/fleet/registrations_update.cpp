#include "gateway/fleet/registrations_update.h"

#include "gateway/peers/log_position_json.h"

#include <nlohmann/json.hpp>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

json encodeEntry(const RegistrationsUpdate::Entry &entry)
{
    const ServerRegistration &server = entry.registration;
    return json::array({server.id, server.service, server.address, server.zone, server.kind,
                        server.slots, server.draining, server.startedAtMs, server.layers.first,
                        server.layers.end, server.ordersBegun, encodeLogPosition(entry.end)});
}

/// Reads the values in the order in which encodeEntry writes them.
RegistrationsUpdate::Entry decodeEntry(const json &value)
{
    RegistrationsUpdate::Entry entry;
    ServerRegistration &server = entry.registration;
    server.id = value.at(0);
    server.service = value.at(1);
    server.address = value.at(2);
    server.zone = value.at(3);
    server.kind = value.at(4);
    server.slots = value.at(5);
    server.draining = value.at(6);
    server.startedAtMs = value.at(7);
    server.layers = {value.at(8), value.at(9)};
    server.ordersBegun = value.at(10);
    entry.end = decodeLogPosition(value.at(11));
    return entry;
}

} // namespace

std::string encodeRegistrations(const RegistrationsUpdate &update)
{
    json changed = json::array();
    for (const RegistrationsUpdate::Entry &entry : update.changed)
        changed.push_back(encodeEntry(entry));
    json servers = json::object();
    for (const auto &[id, end] : update.servers)
        servers[id] = encodeLogPosition(end);
    const json value = {{"e", encodeLogPosition(update.end)},
                        {"a", update.age.count()},
                        {"i", std::move(servers)},
                        {"c", std::move(changed)}};
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

Result<RegistrationsUpdate> decodeRegistrations(std::string_view bytes)
{
    try {
        const json value = json::from_cbor(bytes);
        RegistrationsUpdate update;
        update.end = decodeLogPosition(value.at("e"));
        update.age = Duration(value.at("a").get<Duration::rep>());
        for (const auto &[id, end] : value.at("i").items())
            update.servers.emplace(id, decodeLogPosition(end));
        for (const json &entry : value.at("c"))
            update.changed.push_back(decodeEntry(entry));
        return update;
    } catch (const json::exception &e) {
        return Error {ErrorKind::Malformed, std::string("unreadable registrations: ") + e.what(),
                      "run the same version on all hosts"};
    }
}

} // namespace dogwoodvalve
