#include "ibislock/feed/evacuations.h"

namespace ibislock::feed
{

EvacuationChange applyEvacuation(Evacuations &evacuations, const EvacuationRecord &record, Millis now)
{
    const auto it = evacuations.newest.find(record.domain);
    const bool known = it != evacuations.newest.end();
    const bool newer =
        record.position.isKnown() ? !known || record.position > it->second.position : !known && !record.deleted;
    if (!newer) {
        return EvacuationChange::None;
    }
    const bool wasActive = known && !it->second.deleted;
    const bool changed = wasActive == record.deleted;
    evacuations.newest[record.domain] = {.position = record.position,
                                         .deleted = record.deleted,
                                         .changedAt = changed ? now : (known ? it->second.changedAt : Millis{0})};
    if (!changed) {
        return EvacuationChange::None;
    }
    if (record.deleted) {
        evacuations.active.erase(record.domain);
        return EvacuationChange::Ended;
    }
    evacuations.active.insert(record.domain);
    return EvacuationChange::Begun;
}

} // namespace ibislock::feed
