#include <sys/mman.h>
#include <sys/syscall.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

/// Preloaded into a process, this stands in for a machine that was suspended: the steady clock does
/// not count the time that the file named by DOGWOODVALVE_SUSPENDED_FILE holds, in ns, as a 64-bit
/// integer in the machine's byte order. All other clocks do.

namespace {

constexpr std::int64_t NsPerSecond = 1'000'000'000;

std::int64_t suspendedNs()
{
    static const auto *const Shared = []() -> const std::atomic<std::int64_t> * {
        const char *file = std::getenv("DOGWOODVALVE_SUSPENDED_FILE");
        const int fd = file ? ::open(file, O_RDONLY | O_CLOEXEC) : -1;
        if (fd < 0)
            return nullptr;
        void *mapped = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, fd, 0);
        ::close(fd);
        return mapped == MAP_FAILED ? nullptr
                                    : static_cast<const std::atomic<std::int64_t> *>(mapped);
    }();
    return Shared ? Shared->load() : 0;
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const long failed = ::syscall(SYS_clock_gettime, clock, time);
    if (failed != 0 || clock != CLOCK_MONOTONIC)
        return static_cast<int>(failed);
    const std::int64_t ns = time->tv_sec * NsPerSecond + time->tv_nsec - suspendedNs();
    time->tv_sec = ns / NsPerSecond;
    time->tv_nsec = ns % NsPerSecond;
    return 0;
}
