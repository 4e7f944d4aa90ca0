#include "net/machine_size.h"

#include <sys/resource.h>

#include <algorithm>
#include <unistd.h>

namespace dogwoodvalve {

MachineSize effectiveMachineSize(const MachineSize &configured)
{
    MachineSize size = configured;
    if (size.memoryBytes == 0)
        size.memoryBytes = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES))
            * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        // RLIM_INFINITY is the largest number.
        const auto allowed = static_cast<std::size_t>(limit.rlim_cur);
        size.descriptors = size.descriptors == 0 ? allowed : std::min(size.descriptors, allowed);
    }
    return size;
}

} // namespace dogwoodvalve
