#pragma once

#include <cstddef>

namespace dogwoodvalve {

/// The longest body of a request that is accepted from a caller, or from another host to forward.
inline constexpr std::size_t MaxRequestBodyBytes = 16U << 20;

} // namespace dogwoodvalve
