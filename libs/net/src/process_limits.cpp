#include "ibislock/net/process_limits.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>

namespace ibislock::net
{

namespace
{

/// Blocks of at least this size are returned to the system when they are freed. The allocator would raise the size by
/// itself and keep the memory of a burst of large bodies.
constexpr int MappedBlockBytes = 64 * 1024;

} // namespace

std::size_t availableDescriptors(std::size_t setting)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return setting;
    }
    return std::min<std::size_t>(setting, limit.rlim_cur);
}

void returnFreedMemory()
{
    // If the allocator doesn't know the option, freed memory stays with the process.
    static_cast<void>(mallopt(M_MMAP_THRESHOLD, MappedBlockBytes));
    static_cast<void>(mallopt(M_TRIM_THRESHOLD, MappedBlockBytes));
}

} // namespace ibislock::net
