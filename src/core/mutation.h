#pragma once

#include <string_view>

namespace dogwoodvalve {

/// For mutation testing: whether the code that a mutation names should misbehave, to show that a
/// test fails. Only builds with DOGWOODVALVE_MUTATIONS read the name from the environment variable
/// DOGWOODVALVE_MUTATION; in all others this is false at compile time.
#if defined(DOGWOODVALVE_MUTATIONS)
bool mutated(std::string_view name);
#else
constexpr bool mutated(std::string_view)
{
    return false;
}
#endif

} // namespace dogwoodvalve
