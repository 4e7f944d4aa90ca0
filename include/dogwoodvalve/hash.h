#pragma once

#include <cstdint>
#include <string_view>

namespace dogwoodvalve {

/// A 64-bit hash that is the same on every host and in every version.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// The weight of a node for a key in rendezvous hashing: for one key, the nodes with the highest
/// weights are its homes, and adding or removing a node moves only that node's keys.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

} // namespace dogwoodvalve
