// Prefetches a version of weights into memory while the stage still holds the previous version. The stage has room for
// one copy, and its content must not change until the engine has loaded it.
//
//     prefetch.begin(desired);
//     prefetch.step();                        // periodically
//     if (prefetch.isComplete()) { ... }      // prefetched() also has the pieces of an incomplete version

#pragma once

#include "manifest_fetcher.h"
#include "piece_fetcher.h"

namespace ibislock::side
{

/// The part of a version that is in memory.
struct PrefetchedPieces
{
    std::vector<Digest> digests; ///< Empty while the manifest is unknown.
    std::map<int, std::string> pieces; ///< By index; verified against their digests.
};

/// Fetches one version at a time into memory.
class WeightsPrefetch
{
public:
    /// @param pacing the rate limit of the VM's link; urgent transfers on it go first.
    /// @param onChange is called when the manifest or a piece has arrived.
    WeightsPrefetch(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange, std::string self,
                    std::string domain, LinkPacing &pacing, DistributionMembers members,
                    std::function<void()> onChange);

    /// Starts to fetch a version; discards the pieces of another one.
    void begin(const DesiredWeights &desired);

    /// Cancels the fetch and discards all pieces.
    void stop();

    /// Starts the requests that are due.
    void step();

    /// Returns whether a version is being fetched or is complete.
    bool isActive() const;

    /// Returns whether all pieces are in memory.
    bool isComplete() const;

    /// Returns the version that is being fetched or complete; 0 if there is none.
    std::int64_t version() const;

    const PrefetchedPieces &prefetched() const;

    /// Moves the pieces out and stops.
    PrefetchedPieces take();

    const FetchCounts &counts() const;

    /// Records what another VM holds of a version, if it is the one that is prefetched.
    void recordPeerHoldings(std::int64_t version, const std::string &vm, std::string_view held);

private:
    void applyManifest(std::vector<Digest> digests);
    void verifyManifest();

    std::string m_self;
    std::string m_domain;
    DistributionMembers m_members;
    std::function<void()> m_changed;
    ManifestFetcher m_manifestFetcher;
    PieceFetcher m_pieceFetcher;
    DesiredWeights m_desired;
    PrefetchedPieces m_prefetched;
    std::set<int> m_heldPieces; ///< Indexes of the pieces in `m_prefetched`.
};

} // namespace ibislock::side
