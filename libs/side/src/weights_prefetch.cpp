#include "weights_prefetch.h"

#include "ibislock/base/log.h"

namespace ibislock::side
{

WeightsPrefetch::WeightsPrefetch(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange,
                                 std::string self, std::string domain, LinkPacing &pacing, DistributionMembers members,
                                 std::function<void()> onChange)
    : m_self(self)
    , m_domain(domain)
    , m_members(members)
    , m_changed(std::move(onChange))
    , m_manifestFetcher(loop, client, exchange, self, std::move(domain), std::move(members))
    , m_pieceFetcher(loop, client, exchange, std::move(self), pacing, FetchPriority::Background,
                     {.onPiece =
                          [this](int piece, std::string bytes) {
                              m_prefetched.pieces[piece] = std::move(bytes);
                              m_heldPieces.insert(piece);
                              m_pieceFetcher.recordStaging(piece, true);
                              m_changed();
                          },
                      .onManifestDoubt =
                          [this] {
                              verifyManifest();
                          }})
{
}

void WeightsPrefetch::begin(const DesiredWeights &desired)
{
    stop();
    m_desired = desired;
    logInfo(LogComponent::Side, "Prefetching a newer version of the weights.",
            {{"version", std::to_string(desired.version)}});
    m_manifestFetcher.begin(desired, ManifestSource::Any,
                            [this](std::vector<Digest> digests) { applyManifest(std::move(digests)); });
    m_manifestFetcher.step();
}

void WeightsPrefetch::stop()
{
    m_manifestFetcher.stop();
    m_pieceFetcher.stop();
    m_desired = {};
    m_prefetched = {};
    m_heldPieces.clear();
}

void WeightsPrefetch::step()
{
    if (!isActive()) {
        return;
    }
    m_manifestFetcher.step();
    if (!m_prefetched.digests.empty() && !isComplete()) {
        m_pieceFetcher.fetchMore(m_heldPieces);
    }
}

bool WeightsPrefetch::isActive() const
{
    return m_desired.version > 0;
}

bool WeightsPrefetch::isComplete() const
{
    return !m_prefetched.digests.empty() && m_prefetched.pieces.size() == m_prefetched.digests.size();
}

std::int64_t WeightsPrefetch::version() const
{
    return m_desired.version;
}

const PrefetchedPieces &WeightsPrefetch::prefetched() const
{
    return m_prefetched;
}

PrefetchedPieces WeightsPrefetch::take()
{
    PrefetchedPieces out = std::move(m_prefetched);
    stop();
    return out;
}

const FetchCounts &WeightsPrefetch::counts() const
{
    return m_pieceFetcher.counts();
}

void WeightsPrefetch::recordPeerHoldings(std::int64_t version, const std::string &vm, std::string_view held)
{
    m_pieceFetcher.recordPeerHoldings(version, vm, held);
}

void WeightsPrefetch::verifyManifest()
{
    m_manifestFetcher.begin(m_desired, ManifestSource::Origin, [this](std::vector<Digest> digests) {
        if (digests == m_prefetched.digests) {
            return;
        }
        logWarning(LogComponent::Side, "Replacing a wrong manifest by that of the origin.",
                   {{"version", std::to_string(m_desired.version)}});
        std::erase_if(m_prefetched.pieces, [&](const auto &item) {
            const auto piece = static_cast<std::size_t>(item.first);
            const bool wrong = piece >= digests.size() || m_prefetched.digests[piece] != digests[piece];
            return wrong && m_heldPieces.erase(item.first) > 0;
        });
        applyManifest(std::move(digests));
    });
}

void WeightsPrefetch::applyManifest(std::vector<Digest> digests)
{
    m_prefetched.digests = std::move(digests);
    m_pieceFetcher.begin({.model = m_desired.model,
                          .version = m_desired.version,
                          .origin = m_desired.origin,
                          .digests = m_prefetched.digests,
                          .domain = m_domain,
                          .members = m_members,
                          .isFresh = isFresh(m_desired, steadyMillis()),
                          .originPieceTime = m_desired.originPieceTime,
                          .pieceBytes = m_desired.pieceBytes});
    m_pieceFetcher.fetchMore(m_heldPieces);
    m_changed();
}

} // namespace ibislock::side
