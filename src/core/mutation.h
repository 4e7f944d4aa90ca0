#pragma once

#include <string_view>

namespace dogwoodvalve {

/// Whether a named mechanism is to be disabled, so that a test can show that it would notice. Only
/// builds with DOGWOODVALVE_MUTATIONS look at the environment's DOGWOODVALVE_MUTATION; in all
/// others this is false at compile time.
#if defined(DOGWOODVALVE_MUTATIONS)
bool mutated(std::string_view name);
#else
constexpr bool mutated(std::string_view)
{
    return false;
}
#endif

} // namespace dogwoodvalve
