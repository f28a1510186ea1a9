// One entry VM's share of the number of requests a second that a target takes from all entry VMs together. The entry
// VMs exchange no messages for it: each sends in turns of its own, at random phases and as far apart as there are entry
// VMs for the limit. A turn allows one request. With many entry VMs for the limit, a turn that isn't used is lost after
// a moment: if all VMs kept theirs, requests that arrive at all of them at once would exceed the limit together.
//
//     RequestLimit limit = startLimit({.perSecond = 1.8, .entryVms = 8}, random, now);
//     if (hasTurn(limit, now)) { takeTurn(limit, now); ... }

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/random.h"

namespace ibislock::serving
{

/// A limit and the number of entry VMs that share it.
struct LimitTerms
{
    double perSecond = 0; ///< Requests a second that the target takes from all entry VMs together.
    int entryVms = 1;
    double usedFraction = 0; ///< Fraction of the limit that all turns use; 0 chooses it by what 4 s may bring.
    Millis turnLength{0}; ///< How long a turn lasts that isn't used, with such a fraction.

    bool operator==(const LimitTerms &) const = default;
};

/// One entry VM's share of a limit.
struct RequestLimit
{
    LimitTerms terms;
    Millis learnedAt{0}; ///< When this VM learned that the target has a limit.
    Millis interval{0}; ///< Between the turns of this VM.
    Millis turnLength{0}; ///< How long a turn that isn't used lasts.
    Millis turnAt{0}; ///< Start of a turn; later ones follow at the interval.
};

/// Starts to share a limit. The VM has no turn yet: it may have sent requests just before, and others learn of the
/// limit at the same moment.
RequestLimit startLimit(const LimitTerms &terms, Random &random, Millis now);

/// Applies a change of the limit or of the number of entry VMs. The time until the next turn changes by the same ratio
/// as the interval; a turn that is open is given up if the interval grows, as other VMs may hold one as well.
void changeLimit(RequestLimit &limit, const LimitTerms &terms, Random &random, Millis now);

/// Returns whether this VM may send a request now.
bool hasTurn(const RequestLimit &limit, Millis now);

/// Returns when this VM may send a request; `now` if it may do so at once.
Millis nextTurn(const RequestLimit &limit, Millis now);

/// Ends the turn with a request that is sent now. The next one begins an interval later.
void takeTurn(RequestLimit &limit, Millis now);

} // namespace ibislock::serving
