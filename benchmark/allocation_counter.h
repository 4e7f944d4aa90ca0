#pragma once

#include <cstdint>

namespace dogwoodvalve::experiments {

/// Allocations of the whole program so far, by operator new.
std::uint64_t allocationCount();

} // namespace dogwoodvalve::experiments
