#pragma once

#include <dogwoodvalve/timer_service.h>

#include <optional>

namespace dogwoodvalve {

/// What a server says in an answer about further requests to it.
struct ServerNotice
{
    /// The server is about to end, and accepts no further requests in this life.
    bool leaving = false;
    /// It refused the request and wants no other for this time. Any value may occur.
    std::optional<Duration> pause;
    /// It refused the request and wants no other for a time that can't be read.
    bool pauseUnreadable = false;

    bool asksForPause() const { return pause || pauseUnreadable; }
    bool empty() const { return !leaving && !asksForPause(); }
};

} // namespace dogwoodvalve
