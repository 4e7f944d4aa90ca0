#pragma once

#include <dogwoodvalve/fleet_servers.h>
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
        /// Log offset just past the server's newest record.
        std::uint64_t endOffset = 0;
    };

    /// All records of the servers' log before this offset are included.
    std::uint64_t endOffset = 0;
    /// Time since the log was known to have no later records.
    Duration age {};
    /// All registered servers, with the log offset just past the newest record of each. Servers
    /// that are not listed are gone.
    std::map<std::string, std::uint64_t, std::less<>> servers;
    /// Servers with a change that the other host has not read.
    std::vector<Entry> changed;
};

/// Encodes an update as CBOR.
std::string encodeRegistrations(const RegistrationsUpdate &update);

/// Errors: Malformed if the bytes are no CBOR, or a member is missing or of another type.
Result<RegistrationsUpdate> decodeRegistrations(std::string_view bytes);

} // namespace dogwoodvalve
