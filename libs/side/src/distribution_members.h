// Derives from the listings which VMs take part in the distribution of weights.

#pragma once

#include "ibislock/feed/listings_cache.h"
#include "ibislock/weights/piece_sources.h"

namespace ibislock::side
{

/// Whose distribution it is.
struct DistributionView
{
    std::string_view self; ///< The address of this VM, which is left out.
    std::string_view service; ///< The service of its engine.
    std::int64_t version = 0; ///< The version to be distributed.
};

/// Returns the other VMs of a service, each once: behind a restart the listing of the incarnation before is there for
/// some heartbeats more, at some VMs for longer than at others, and all must derive the same owners of pieces.
std::vector<weights::DistributionMember> distributionMembers(const feed::ListingsCache &listings,
                                                             const DistributionView &view);

} // namespace ibislock::side
