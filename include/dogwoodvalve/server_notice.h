#pragma once

#include <dogwoodvalve/timer_service.h>

#include <optional>

namespace dogwoodvalve {

/// What an answer of a server shows about the rate of requests that the server accepts.
enum class RateNotice {
    /// Nothing, for example because it comes from another server.
    Unknown,
    /// The server accepts any rate.
    Unlimited,
    /// The server accepts a limited rate, until an answer without one.
    Limited,
    /// The server names a limit that can't be read.
    Unreadable,
};

/// What a server says in an answer about further requests to it.
struct ServerNotice
{
    /// The server is about to end, and accepts no further requests in this life.
    bool leaving = false;
    /// It refused the request and wants no other for this time. Any value may occur.
    std::optional<Duration> pause;
    /// It refused the request and wants no other for a time that can't be read.
    bool pauseUnreadable = false;
    RateNotice rate = RateNotice::Unknown;
    /// If the rate is limited, the requests per second from all hosts together. Any value from 0 on
    /// may occur.
    double requestsPerSecond = 0;

    bool asksForPause() const { return pause || pauseUnreadable; }
    bool namesLimit() const
    {
        return rate == RateNotice::Limited || rate == RateNotice::Unreadable;
    }
    bool empty() const { return !leaving && !asksForPause() && !namesLimit(); }
};

} // namespace dogwoodvalve
