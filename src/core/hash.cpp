#include <dogwoodvalve/hash.h>

#include <xxhash.h>

namespace dogwoodvalve {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return stableHash(node, stableHash(key));
}

} // namespace dogwoodvalve
