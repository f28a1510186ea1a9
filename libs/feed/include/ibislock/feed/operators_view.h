// The content of the operators' topic as far as this process has read it: the newest desired state, the announced
// versions of weights with their times, and the evacuated failure domains. Built from the records of the topic.
//
//     OperatorsView view;
//     if (applyRecord(view, record, {.live = true, .now = now, .versionTime = Millis{8000}})) { ... }

#pragma once

#include "ibislock/feed/evacuations.h"
#include "ibislock/platform/store_api.h"
#include "ibislock/serving/announced_versions.h"
#include "ibislock/serving/desired_state.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace ibislock::feed
{

/// The desired state and announcements that were read.
struct OperatorsView
{
    std::shared_ptr<const serving::DesiredState> state; ///< Null until the first state is read.
    Millis stateReadAt{0}; ///< When `state` was read.
    std::map<std::string, serving::AnnouncedVersions, std::less<>> announced; ///< The announced versions by model.
    Evacuations evacuations;
};

/// How a record was read.
struct RecordContext
{
    bool live = true; ///< It was read when it was written; false for a record of a snapshot.
    Millis now{0};
    std::optional<Millis> maxAge; ///< Time since the topic was last known not to hold it; nothing if it never was.
    std::string source; ///< The VM that forwarded it; empty if it was read from the store.
    Millis versionTime{0}; ///< The grace period from an announcement until no request starts on older weights.
};

/// Applies a record. A state that isn't newer is ignored, one that can't be decoded is logged, and a deleted key
/// changes nothing, unless it is that of an evacuation: what was read last stays in effect.
/// @return whether the view changed.
bool applyRecord(OperatorsView &view, const platform::KeyedRecord &record, const RecordContext &context);

} // namespace ibislock::feed
