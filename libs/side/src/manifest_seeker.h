// Fetches the manifest of a version of weights: from the VMs that receive it first, then from the origin. The origin
// accepts few connections, so only the owner of the manifest requests it there; other VMs do so only if no source has
// delivered it.

#pragma once

#include "ibislock/net/http_client.h"
#include "ibislock/weights/piece_sources.h"
#include "piece_exchange.h"
#include "weights_goal.h"

namespace ibislock::side
{

/// Returns the currently known VMs that take part in the distribution of a version.
using SpreadMembers = std::function<std::vector<weights::DistributionMember>(std::int64_t version)>;

/// Fetches one manifest at a time.
class ManifestSeeker
{
public:
    /// @param self, domain the address and failure domain of this VM.
    ManifestSeeker(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange, std::string self,
                   std::string domain, SpreadMembers members);

    /// Starts to fetch the manifest of a version; cancels an earlier fetch.
    /// @param onFound receives the digests of the pieces, once.
    void begin(const WeightsGoal &goal, std::function<void(std::vector<Digest>)> found);

    /// Cancels the fetch.
    void stop();

    /// Sends a request if none is active and the retry delay after the last failure is over.
    void step();

private:
    void ask();

    /// Requests the manifest from a source, and from the next ones if that fails.
    /// @param sourceIndex the index of the source in `m_sources`.
    /// @param previousUnreachable whether the previous source was unreachable.
    void askSource(std::size_t at, bool lostBefore);
    void askOrigin();
    void take(std::vector<Digest> digests);

    asio::io_context &m_loop;
    net::HttpClient &m_client;
    PieceExchange &m_exchange;
    std::string m_self;
    std::string m_domain;
    SpreadMembers m_members;
    WeightsGoal m_goal;
    std::function<void(std::vector<Digest>)> m_found; ///< Empty while no manifest is being fetched.
    std::uint64_t m_round = 0; ///< Incremented on each start and stop; responses of an earlier generation are ignored.
    bool m_asked = false;
    std::vector<weights::PieceSource> m_sources;
    Millis m_nextAsk{0};
};

} // namespace ibislock::side
