#pragma once

namespace dogwoodvalve {

/// What a server says in an answer about further requests to it.
struct ServerNotice
{
    /// The server is about to end, and accepts no further requests in this life.
    bool leaving = false;
};

} // namespace dogwoodvalve
