// Fetches the manifest of a version of weights: from the VMs that receive it first, all of which are asked at the same
// time, then from the origin. The origin accepts few connections, so only the owner of the manifest requests it there;
// other VMs do so in turn while no source has delivered it. All pieces are verified against the manifest, and nothing
// verifies the manifest itself. So one from the origin, which may be corrupted on its way, is used only once the origin
// has sent the same one twice.

#pragma once

#include "desired_weights.h"
#include "ibislock/net/http_client.h"
#include "ibislock/weights/origin_turns.h"
#include "piece_exchange.h"

#include <set>

namespace ibislock::side
{

/// Where a manifest may come from.
enum class ManifestSource {
    Any, ///< Another VM that has it, or the origin.
    Origin, ///< Only the origin, to verify one that is in use.
};

/// Fetches one manifest at a time.
class ManifestFetcher
{
public:
    /// @param self, domain the address and failure domain of this VM.
    ManifestFetcher(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange, std::string self,
                    std::string domain, DistributionMembers members);

    /// Starts to fetch the manifest of a version; cancels an earlier fetch.
    /// @param onFound receives the digests of the pieces, once.
    void begin(const DesiredWeights &desired, ManifestSource source, std::function<void(std::vector<Digest>)> onFound);

    /// Cancels the fetch.
    void stop();

    /// Asks the sources that are not being asked, and the origin at this VM's turn.
    void step();

private:
    /// Asks all sources for the manifest; `requestAtTurn` follows once all have responded that they lack it, or a
    /// little later.
    void askSources();
    void askSource(const weights::PieceSource &source);
    void handleSourceResponse(const std::string &vm, Millis askedAt, const std::optional<peer::PieceMessage> &answer);

    /// Requests the manifest from the origin if it is this VM's turn; else the sources are asked again later.
    void requestAtTurn();

    /// Returns whether all VMs before this one in the order are unreachable; checks those of which nothing is known.
    bool areSeniorsOut();
    void requestFromOrigin();
    void retryLater(Millis delay);
    void callManifestOrigin();
    void handleOriginResponse(int status, const std::string &body);

    /// Returns the digests of a manifest that was sent for the desired version.
    /// @return the digests, or why the manifest can't be used.
    Result<std::vector<Digest>> usableDigests(int status, const std::string &body) const;
    bool hasAllPieces(const std::vector<Digest> &digests) const;

    /// @param source the VM that sent the manifest; empty for the origin.
    void finish(std::vector<Digest> digests, const std::string &source);

    asio::io_context &m_loop;
    net::HttpClient &m_client;
    PieceExchange &m_exchange;
    std::string m_self;
    std::string m_domain;
    DistributionMembers m_members;
    DesiredWeights m_desired;
    std::function<void(std::vector<Digest>)> m_found; ///< Empty while no manifest is being fetched.
    std::uint64_t m_generation =
        0; ///< Incremented on each start and stop; responses of an earlier generation are ignored.
    bool m_originActive = false; ///< The origin is being asked.
    std::set<std::string> m_asked; ///< VMs that have not responded yet.
    std::set<std::string> m_awaited; ///< Those of them whose response decides whether the origin is asked.
    Millis m_turnAt{0}; ///< When the origin is asked without it; 0 if the sources are to be asked first.
    ManifestSource m_source = ManifestSource::Any;
    std::vector<std::vector<Digest>> m_candidates; ///< Different manifests that the origin has sent, each once.
    int m_originCalls = 0; ///< Calls to the origin that are under way.
    Millis m_nextAttemptAt{0};
    Millis m_startedAt{0};
    weights::OriginRank m_rank;
    int m_failures = 0; ///< Attempts in a row to which the origin didn't respond.
    Random m_random;
};

} // namespace ibislock::side
