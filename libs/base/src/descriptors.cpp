#include "ibislock/base/descriptors.h"

#include <limits>
#include <sys/resource.h>

namespace ibislock
{

std::size_t descriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return limit.rlim_cur;
}

} // namespace ibislock
