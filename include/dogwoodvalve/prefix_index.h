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

/// Tracks which servers are likely to hold which prompt prefixes in their KV caches, as far as this
/// host knows. The number of blocks is bounded: the least recently used ones are evicted first.
class PrefixIndex
{
public:
    /// Prompt characters per block, counted as bytes.
    static constexpr std::size_t BlockCharacters = 256;
    /// Blocks considered per prompt.
    static constexpr std::size_t MaxBlocks = 32;
    /// Servers recorded per block.
    static constexpr std::size_t HoldersPerBlock = 4;

    /// The capacity is a number of blocks.
    explicit PrefixIndex(std::size_t capacity = 32'768)
        : m_capacity(capacity)
    { }

    /// Returns the chained hashes of a prompt's complete leading blocks, shortest prefix first. The
    /// salt keeps the prefixes of different models and workspaces apart.
    static std::vector<std::uint64_t> blockHashes(std::string_view prompt, std::uint64_t salt);

    /// Records a server that runs a prompt as a likely holder of the prompt's blocks.
    void record(std::span<const std::uint64_t> blocks, const BackendServer *server);

    /// Returns how many leading blocks a server is likely to hold.
    std::size_t matchedBlocks(std::span<const std::uint64_t> blocks,
                              const BackendServer *server) const;

    /// Removes a server from the holders of a block, for example after the engine has evicted it.
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
