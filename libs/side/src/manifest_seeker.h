// Finds the manifest of a version of weights: asks the VMs that are the first to have it, then the origin, until one
// gives it. The origin takes few connections; it is asked by the owner of the manifest, and by others only if they
// reach none that has it.

#pragma once

#include "ibislock/net/http_client.h"
#include "ibislock/weights/piece_sources.h"
#include "piece_exchange.h"
#include "weights_goal.h"

namespace ibislock::side
{

/// The VMs that take part in spreading a version, as known now.
using SpreadMembers = std::function<std::vector<weights::DistributionMember>(std::int64_t version)>;

/// Seeks one manifest at a time.
class ManifestSeeker
{
public:
    /// @param self, domain this VM.
    ManifestSeeker(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange, std::string self,
                   std::string domain, SpreadMembers members);

    /// Begins with a version; what was sought before is given up.
    /// @param found is given the digests of the pieces, once.
    void begin(const WeightsGoal &goal, std::function<void(std::vector<Digest>)> found);

    /// Gives up.
    void stop();

    /// Asks if nothing is under way and the pause after the last failure is over.
    void step();

private:
    void ask();

    /// @param at the place of the source among all.
    /// @param lostBefore the source before could not be reached.
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
    std::function<void(std::vector<Digest>)> m_found; ///< Empty while nothing is sought.
    std::uint64_t m_round = 0; ///< Counts beginnings; answers to an earlier one are ignored.
    bool m_asked = false;
    std::vector<weights::PieceSource> m_sources;
    Millis m_nextAsk{0};
};

} // namespace ibislock::side
