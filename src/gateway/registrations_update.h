#pragma once

#include <dogwoodvalve/fleet_servers.h>
#include <dogwoodvalve/result.h>
#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// What one host tells another of the registrations in force.
struct RegistrationsUpdate
{
    struct Entry
    {
        ServerRegistration registration;
        /// End of the log behind the newest record of the server.
        std::uint64_t endOffset = 0;
    };

    /// All records before this end of the log are taken into account.
    std::uint64_t endOffset = 0;
    /// How long ago that was the end.
    Duration age {};
    /// All servers that are registered, sorted; the others are gone.
    std::vector<std::string> ids;
    /// Servers with a record that the asking host has not seen.
    std::vector<Entry> changed;
};

/// CBOR.
std::string encodeRegistrations(const RegistrationsUpdate &update);

/// Errors: Malformed.
Result<RegistrationsUpdate> decodeRegistrations(std::string_view bytes);

} // namespace dogwoodvalve
