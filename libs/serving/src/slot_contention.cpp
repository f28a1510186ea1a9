#include "ibislock/serving/slot_contention.h"

#include <algorithm>
#include <cmath>

namespace ibislock::serving
{

namespace
{

constexpr double MillisInSecond = 1000;

double decayed(const DemandMeter &meter, Millis now)
{
    const double age = static_cast<double>(std::max(Millis{0}, now - meter.updatedAt).count());
    return meter.perSecond * std::exp(-age / static_cast<double>(DemandMemory.count()));
}

} // namespace

void recordArrival(DemandMeter &meter, Millis now)
{
    meter.perSecond = decayed(meter, now) + MillisInSecond / static_cast<double>(DemandMemory.count());
    meter.updatedAt = now;
}

double demandAt(const DemandMeter &meter, Millis now)
{
    return decayed(meter, now) * static_cast<double>(ReportInterval.count()) / MillisInSecond;
}

double useProbability(const SlotContention &contention, double freeSlots, double usersPerFreeSlot)
{
    const double demand = contention.demand * contention.entryVms;
    if (usersPerFreeSlot <= 0 || contention.entryVms <= 1 || demand <= freeSlots) {
        return 1;
    }
    return std::min(1.0, usersPerFreeSlot * std::max(1.0 / contention.entryVms, freeSlots / demand));
}

int slotsLeft(const Target &target)
{
    if (!target.load) {
        return 0;
    }
    return static_cast<int>(std::count_if(target.recentEnds.begin(), target.recentEnds.end(),
                                          [&](Millis end) { return end > target.load->receivedAt; }));
}

bool mayUseSlots(Target &target, double probability, Random &random)
{
    if (!target.load || probability >= 1 || slotsLeft(target) > 0) {
        return true;
    }
    if (target.slotDraw.reportAt != target.load->receivedAt) {
        target.slotDraw = {.reportAt = target.load->receivedAt,
                           .value = std::uniform_real_distribution<double>(0, 1)(random)};
    }
    return target.slotDraw.value < probability;
}

} // namespace ibislock::serving
