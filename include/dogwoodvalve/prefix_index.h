#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dogwoodvalve {

class BackendServer;

/// Remembers which servers hold which prompt prefixes in their cache, as far as this host has
/// seen. Bounded: the least recently used blocks are forgotten first.
class PrefixIndex
{
public:
    /// Characters of prompt in one block.
    static constexpr std::size_t BlockCharacters = 256;
    /// Blocks of one prompt that are looked at.
    static constexpr std::size_t MaxBlocks = 32;
    /// Servers remembered for one block.
    static constexpr std::size_t HoldersPerBlock = 4;

    explicit PrefixIndex(std::size_t capacity = 32'768)
        : m_capacity(capacity)
    { }

    /// The chained hashes of a prompt's whole leading blocks, shortest prefix first. The salt
    /// keeps the prefixes of different models and workspaces apart.
    static std::vector<std::uint64_t> blockHashes(std::string_view prompt, std::uint64_t salt);

    /// Records that a server has run a prompt and is likely to hold its blocks.
    void record(std::span<const std::uint64_t> blocks, const BackendServer *server);

    /// How many leading blocks a server is likely to hold.
    std::size_t matchedBlocks(std::span<const std::uint64_t> blocks,
                              const BackendServer *server) const;

    /// Forgets one block of a server, as told by the engine's cache events.
    void removeHolder(std::uint64_t block, const BackendServer *server);

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        std::array<const BackendServer *, HoldersPerBlock> holders {};
        std::list<std::uint64_t>::iterator lruPosition;
    };

    std::size_t m_capacity;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::list<std::uint64_t> m_lru;
};

} // namespace dogwoodvalve
