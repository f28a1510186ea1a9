#include "ibislock/serving/entry_vm_count.h"

#include <algorithm>

namespace ibislock::serving
{

EntryVmCount assumedEntryVms(int number, Millis now)
{
    return {.largest = number, .largestBefore = number, .windowStart = now};
}

void recordEntryVms(EntryVmCount &count, int reported, Millis now)
{
    if (now >= count.windowStart + count.window) {
        count.largestBefore = count.largest;
        count.largest = 1;
        count.windowStart = now;
    }
    count.largest = std::max(count.largest, reported);
}

int entryVms(const EntryVmCount &count)
{
    return std::max(count.largest, count.largestBefore);
}

} // namespace ibislock::serving
