#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace dogwoodvalve {

/// A server of a plain service with the requests of all hosts on it.
struct PlainServer
{
    int slots = 1;
    int inFlight = 0;
    /// The request has been sent there before.
    bool tried = false;
};

/// Picks the server with the least share of its slots taken, or nothing if all slots are taken: a
/// request then waits here, where it can still go to whichever server is free first. A number
/// decides between equals, so that hosts don't all pick the same.
std::optional<std::size_t> pickLeastOutstanding(std::span<const PlainServer> servers,
                                                std::size_t tieBreak);

} // namespace dogwoodvalve
