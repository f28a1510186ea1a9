// The rate limit for the pieces that a VM receives over its link, shared by all fetchers of the VM.

#pragma once

#include "ibislock/base/clock.h"

namespace ibislock::side
{

/// State that the transfers of one VM share.
struct LinkPacing
{
    Millis pieceInterval{0}; ///< Least average time between the starts of two transfers.
    Millis nextTransferAt{0}; ///< When the next transfer may start.
    std::size_t urgentTransfers = 0; ///< Queued and active transfers with urgent priority.
};

} // namespace ibislock::side
