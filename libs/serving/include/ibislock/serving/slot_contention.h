// Decides which free slots of engines an entry VM may use when many entry VMs compete for them. All of them see the
// same load reports, up to some 300 ms old; under contention each free slot would get a request of several of them, and
// the rest would wait inside the engine. Two rules prevent that without messages between entry VMs:
// - a slot that a request of this VM has just left is known to be free before any report says so, and is used at once;
// - a slot that a report shows as free is left to other VMs with a probability that grows with the demand of all VMs,
//   estimated as the own demand times the number of entry VMs. It is drawn once for each report of an engine.
// If the demand is below the number of free slots, every free slot may be used, as without contention.
//
//     recordArrival(demand, now);
//     SlotContention contention{.entryVms = 32, .demand = demandAt(demand, now)};
//     if (mayUseSlots(target, useProbability(contention, freeSlots), random, now)) { ... }

#pragma once

#include "ibislock/base/random.h"
#include "ibislock/serving/target_table.h"

namespace ibislock::serving
{

/// Rate of requests to a service at one entry VM.
struct DemandMeter
{
    double perSecond = 0; ///< At `updatedAt`; decays with `DemandMemory`.
    Millis updatedAt{0};
};

/// Time constant of the rate; shorter ones vary with single requests at 5 requests a second and entry VM.
inline constexpr Millis DemandMemory{2000};

/// Time between two load reports of an engine under load.
inline constexpr Millis ReportInterval{100};

/// Records the arrival of a request, or of a caller's second attempt.
void recordArrival(DemandMeter &meter, Millis now);

/// Returns the number of requests that arrive within `ReportInterval`.
double demandAt(const DemandMeter &meter, Millis now);

/// What an entry VM knows of the competition for free slots.
struct SlotContention
{
    int entryVms = 1; ///< That compete for the slots, this one included; at 1, every free slot may be used.
    double demand = 0; ///< Requests that arrive at this VM between two reports.
};

/// Entry VMs that may use one free slot under contention, on average. With more, requests wait inside the engine; slots
/// that nobody uses are shown by the next report. In replays 0.5 is level with 1 or ahead.
inline constexpr double UsersPerFreeSlot = 0.5;

/// Returns the probability with which this VM may use the slots that a report shows as free.
/// @param freeSlots of all engines that this VM may use.
/// @param usersPerFreeSlot as `UsersPerFreeSlot`; 0 to use every free slot.
double useProbability(const SlotContention &contention, double freeSlots, double usersPerFreeSlot = UsersPerFreeSlot);

/// Returns the number of slots that requests of this VM have left since the last report.
int slotsLeft(const Target &target);

/// Returns whether this VM may use a free slot of an engine. The result is the same until the next report.
/// @param probability from `useProbability`.
bool mayUseSlots(Target &target, double probability, Random &random);

} // namespace ibislock::serving
