// The number of entry VMs, as target VMs report it. A target VM that has just started knows only some of them, so that
// the largest recent report counts: with too small a number, each entry VM would use too large a share of what all may
// do together.
//
//     EntryVmCount count = assumedEntryVms(16, now);
//     recordEntryVms(count, reported, now);
//     use(entryVms(count));

#pragma once

#include "ibislock/base/clock.h"

namespace ibislock::serving
{

/// Reports of this time count, and of up to as long before: entry VMs make themselves known to each target VM every
/// 3 s.
inline constexpr Millis EntryVmCountWindow{5000};

/// The largest reports of two consecutive windows.
struct EntryVmCount
{
    int largest = 1; ///< In the present window.
    int largestBefore = 1; ///< In the window before.
    Millis windowStart{0};
    Millis window = EntryVmCountWindow;
};

/// Returns the count of a VM without reports.
EntryVmCount assumedEntryVms(int number, Millis now);

/// Records a reported number; one below 1 counts as 1.
void recordEntryVms(EntryVmCount &count, int reported, Millis now);

/// Returns the largest number that was reported recently.
int entryVms(const EntryVmCount &count);

} // namespace ibislock::serving
