// Which failure domains are evacuated, by the records of the operators' topic. An evacuation begins with a record of
// its key and ends with a deletion that is newer than the record. No I/O.
//
//     switch (applyEvacuation(evacuations, {.domain = "d", .position = record.position}, now)) { ... }
//     if (evacuations.active.contains(target.entry.domain)) { ... }

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/topic_position.h"

#include <map>
#include <set>
#include <string>

namespace ibislock::feed
{

/// The newest record of a domain that was read.
struct Evacuation
{
    TopicPosition position; ///< Unknown if the record is one that a restored topic lacks, from another VM.
    bool deleted = false;
    Millis changedAt{0}; ///< When the evacuation began or ended for this process.
};

/// All domains that are or were evacuated.
struct Evacuations
{
    std::map<std::string, Evacuation, std::less<>> newest; ///< By domain.
    std::set<std::string, std::less<>> active; ///< The evacuated domains.
};

/// A record of an evacuation.
struct EvacuationRecord
{
    std::string domain;
    TopicPosition position; ///< Unknown if the topic lacks the record.
    bool deleted = false; ///< The record has no value.
};

/// What a record has changed.
enum class EvacuationChange { None, Begun, Ended };

/// Applies a record. One that isn't newer than the newest known of its domain is ignored; positions of later eras are
/// newer. A record that was deleted in an earlier era and is in a restored topic begins the evacuation again: it can't
/// be told from a new one, and a request in an evacuated domain is worse than a domain that stays evacuated until the
/// operators delete the record once more. A record without a position begins an evacuation only if no record of its
/// domain is known, and never ends one.
EvacuationChange applyEvacuation(Evacuations &evacuations, const EvacuationRecord &record, Millis now);

} // namespace ibislock::feed
