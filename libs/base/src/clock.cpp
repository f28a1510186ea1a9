#include "ibislock/base/clock.h"

#include <ctime>

namespace ibislock
{

Millis steadyMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now().time_since_epoch());
}

Millis bootMillis()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Millis>(std::chrono::seconds{time.tv_sec}
                                              + std::chrono::nanoseconds{time.tv_nsec});
}

Millis wallMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace ibislock
