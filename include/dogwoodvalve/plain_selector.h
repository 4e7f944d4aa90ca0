#pragma once

#include <dogwoodvalve/timer_service.h>

#include <cstddef>
#include <optional>
#include <span>

namespace dogwoodvalve {

/// A candidate server of a plain service.
struct PlainServer
{
    /// Requests that the server can run at the same time.
    int slots = 1;
    /// Requests of all hosts that it is running now.
    int inFlight = 0;
    /// An earlier attempt of the request was sent to it; it is not picked again.
    bool tried = false;
    /// When this host last sent a request to it.
    TimePoint lastSentAt {};
};

/// Returns the index of the server with the lowest share of slots in use, or nothing if all slots
/// are in use: a request that waits in the gateway's queue can still go to whichever server becomes
/// free first. Among equals it is the one to which this host has sent nothing for longest, so that
/// no server is passed over by chance: its load, its failures and the end of a pause would be
/// noticed late. Where that is equal too, the search starts at an index derived from `tieBreak`, so
/// that a random value makes hosts choose different servers.
std::optional<std::size_t> pickLeastOutstanding(std::span<const PlainServer> servers,
                                                std::size_t tieBreak);

} // namespace dogwoodvalve
