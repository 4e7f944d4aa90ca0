#pragma once

#include <cstddef>

namespace dogwoodvalve {

/// What a process may use of its machine.
struct MachineSize
{
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;

    bool operator==(const MachineSize &other) const = default;
};

/// The size with each member that is zero replaced by what the operating system reports: the
/// physical memory, and the process's limit of open descriptors. A limit of descriptors that is
/// larger than the process's own is lowered to it.
MachineSize effectiveMachineSize(const MachineSize &configured);

} // namespace dogwoodvalve
