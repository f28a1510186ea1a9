// The pace at which a VM takes pieces over its link, shared by all that take some.

#pragma once

#include "ibislock/base/clock.h"

namespace ibislock::side
{

/// What transfers of one VM have in common.
struct LinkPace
{
    Millis pieceTime{0}; ///< Least time between the beginnings of two transfers, on average.
    Millis nextAt{0}; ///< When the next may begin.
    std::size_t urgent = 0; ///< Transfers of the version that is needed first, waiting and under way.
};

} // namespace ibislock::side
