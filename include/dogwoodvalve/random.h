#pragma once

#include <cstdint>

namespace dogwoodvalve {

/// A seeded pseudo-random generator (SplitMix64). The same seed gives the same sequence everywhere.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    { }

    std::uint64_t next()
    {
        std::uint64_t z = (m_state += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    /// A number from 0 to bound - 1. The bound must not be 0.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// A number from 0 up to, but not including, 1.
    double fraction() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

    /// True with the given probability.
    bool chance(double probability) { return fraction() < probability; }

private:
    std::uint64_t m_state;
};

} // namespace dogwoodvalve
