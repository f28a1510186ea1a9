#include "ibislock/base/allocator.h"

#include <malloc.h>

namespace ibislock
{

namespace
{

constexpr int MappedBlockBytes = 64 * 1024;

} // namespace

void returnFreedBlocks()
{
    // If the allocator doesn't know the option, freed memory stays with the process.
    static_cast<void>(mallopt(M_MMAP_THRESHOLD, MappedBlockBytes));
    static_cast<void>(mallopt(M_TRIM_THRESHOLD, MappedBlockBytes));
}

} // namespace ibislock
