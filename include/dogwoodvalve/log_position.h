#pragma once

#include <compare>
#include <cstdint>

namespace dogwoodvalve {

/// A place in one of the store's logs. The era rises each time that the store comes back from a
/// copy, which sets offsets back and gives them out again; offsets of different eras say nothing of
/// one another, so that positions are compared as a whole.
struct LogPosition
{
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    auto operator<=>(const LogPosition &other) const = default;
};

} // namespace dogwoodvalve
