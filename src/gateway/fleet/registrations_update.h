#pragma once

#include <dogwoodvalve/fleet_servers.h>
#include <dogwoodvalve/log_position.h>
#include <dogwoodvalve/result.h>
#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// The registrations in force, as one host sends them to another: all ids, and the registrations
/// that have changed since the offset that the other host had read up to. Servers renew their
/// registrations about every second; a renewal without a change is only a new offset.
struct RegistrationsUpdate
{
    struct Entry
    {
        ServerRegistration registration;
        /// Position just past the server's newest record.
        LogPosition end;
    };

    /// All records of the servers' log before this position are included.
    LogPosition end;
    /// Time since the log was known to have no later records.
    Duration age {};
    /// All registered servers, with the position just past the newest record of each. Servers
    /// that are not listed are gone.
    std::map<std::string, LogPosition, std::less<>> servers;
    /// Servers with a change that the other host has not read.
    std::vector<Entry> changed;
};

/// Encodes an update as CBOR.
std::string encodeRegistrations(const RegistrationsUpdate &update);

/// Errors: Malformed if the bytes are no CBOR, or a member is missing or of another type.
Result<RegistrationsUpdate> decodeRegistrations(std::string_view bytes);

} // namespace dogwoodvalve
