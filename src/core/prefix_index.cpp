#include <dogwoodvalve/hash.h>
#include <dogwoodvalve/prefix_index.h>

#include <algorithm>

namespace dogwoodvalve {

std::vector<std::uint64_t> PrefixIndex::blockHashes(std::string_view prompt, std::uint64_t salt)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t hash = salt;
    while (prompt.size() >= BlockCharacters && blocks.size() < MaxBlocks) {
        hash = stableHash(prompt.substr(0, BlockCharacters), hash);
        blocks.push_back(hash);
        prompt.remove_prefix(BlockCharacters);
    }
    return blocks;
}

void PrefixIndex::record(std::span<const std::uint64_t> blocks, const BackendServer *server)
{
    for (const std::uint64_t block : blocks) {
        const auto [it, added] = m_entries.try_emplace(block);
        Entry &entry = it->second;
        if (added)
            m_lru.push_front(block);
        else
            m_lru.splice(m_lru.begin(), m_lru, entry.lruPosition);
        entry.lruPosition = m_lru.begin();
        auto &holders = entry.holders;
        const auto known = std::find(holders.begin(), holders.end(), server);
        const auto last = known == holders.end() ? holders.end() - 1 : known;
        std::move_backward(holders.begin(), last, last + 1);
        holders.front() = server;
    }
    while (m_entries.size() > m_capacity) {
        m_entries.erase(m_lru.back());
        m_lru.pop_back();
    }
}

std::size_t PrefixIndex::matchedBlocks(std::span<const std::uint64_t> blocks,
                                       const BackendServer *server) const
{
    std::size_t matched = 0;
    for (const std::uint64_t block : blocks) {
        const auto it = m_entries.find(block);
        if (it == m_entries.end())
            break;
        const auto &holders = it->second.holders;
        if (std::find(holders.begin(), holders.end(), server) == holders.end())
            break;
        ++matched;
    }
    return matched;
}

void PrefixIndex::removeHolder(std::uint64_t block, const BackendServer *server)
{
    const auto it = m_entries.find(block);
    if (it == m_entries.end())
        return;
    auto &holders = it->second.holders;
    std::replace(holders.begin(), holders.end(), server,
                 static_cast<const BackendServer *>(nullptr));
}

} // namespace dogwoodvalve
