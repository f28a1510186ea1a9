// What the operators want, as far as this process has read it: the newest desired state, and the versions of weights
// that have been named with their times. Fed with the records of the operators' topic.
//
//     OperatorsView view;
//     if (applyRecord(view, record, {.live = true, .now = now, .versionTime = Millis{8000}})) { ... }

#pragma once

#include "ibislock/platform/store_api.h"
#include "ibislock/serving/announced_versions.h"
#include "ibislock/serving/desired_state.h"

#include <map>
#include <memory>
#include <string>

namespace ibislock::feed
{

/// What has been read.
struct OperatorsView
{
    std::shared_ptr<const serving::DesiredState> state; ///< Null before the first.
    Millis stateReadAt{0}; ///< When it was read.
    std::map<std::string, serving::AnnouncedVersions, std::less<>> announced; ///< By model.
};

/// How a record was read.
struct RecordContext
{
    bool live = true; ///< It was read as it was written; false if it is part of a snapshot.
    Millis now{0};
    Millis versionTime{0}; ///< From the naming of weights until nothing begins on older ones.
};

/// Takes over a record. A state that is not newer is ignored, one that can't be read is logged, a dropped key changes
/// nothing: what was read last stays in force.
/// @return whether it brought something new.
bool applyRecord(OperatorsView &view, const platform::KeyedRecord &record, const RecordContext &context);

} // namespace ibislock::feed
