// The rate limit for the pieces that a VM receives over its link, and what is known of the origin, shared by all
// fetchers of the VM.

#pragma once

#include "ibislock/weights/origin_turns.h"

namespace ibislock::side
{

/// State that the transfers of one VM share.
struct LinkPacing
{
    Millis pieceInterval{0}; ///< Least average time between the starts of two transfers.
    Millis nextTransferAt{0}; ///< When the next transfer may start.
    std::size_t urgentTransfers = 0; ///< Queued and active transfers with urgent priority.
    weights::OriginAvailability origin;
    bool urgentMissing = false; ///< Pieces with urgent priority are missing that the origin still has to send.
};

} // namespace ibislock::side
