// Fetches a version of weights into memory while the stage still holds the version before it. The stage has room for
// one copy, and what is loaded from it must not change until the engine has taken it over.
//
//     ahead.begin(goal);
//     ahead.step();                     // again and again
//     if (ahead.isWhole()) { ... }      // or ask holds() for single pieces

#pragma once

#include "manifest_seeker.h"
#include "piece_fetcher.h"

namespace ibislock::side
{

/// What of a version is in memory.
struct AheadPieces
{
    std::vector<Digest> digests; ///< Empty while the manifest is not known.
    std::map<int, std::string> pieces; ///< Checked against their digests.
};

/// The copy.
class AheadCopy
{
public:
    /// @param pace of the VM's link, whose urgent transfers go first.
    /// @param changed is called when the manifest or a piece has come.
    AheadCopy(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange, std::string self,
              std::string domain, LinkPace &pace, SpreadMembers members, std::function<void()> changed);

    /// Begins with a version; nothing is kept of another.
    void begin(const WeightsGoal &goal);

    /// Gives up and forgets all.
    void stop();

    /// Goes on.
    void step();

    /// Tells whether a version is being fetched or is whole.
    bool isActive() const;

    /// Tells whether all pieces are in memory.
    bool isWhole() const;

    /// The version, or 0.
    std::int64_t version() const;

    const AheadPieces &held() const;

    /// Hands over what is in memory, and stops.
    AheadPieces take();

    const FetchCounts &counts() const;

private:
    void takeManifest(std::vector<Digest> digests);

    std::string m_self;
    std::string m_domain;
    SpreadMembers m_members;
    std::function<void()> m_changed;
    ManifestSeeker m_seeker;
    PieceFetcher m_fetcher;
    WeightsGoal m_goal;
    AheadPieces m_held;
    std::set<int> m_pieces; ///< The indexes of those that are held.
};

} // namespace ibislock::side
