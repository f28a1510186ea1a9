#include "ahead_copy.h"

#include "ibislock/base/log.h"

namespace ibislock::side
{

AheadCopy::AheadCopy(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange, std::string self,
                     std::string domain, LinkPace &pace, SpreadMembers members, std::function<void()> changed)
    : m_self(self)
    , m_domain(domain)
    , m_members(members)
    , m_changed(std::move(changed))
    , m_seeker(loop, client, exchange, self, std::move(domain), std::move(members))
    , m_fetcher(loop, client, exchange, std::move(self), pace, FetchOrder::Yielding,
                [this](int piece, std::string bytes) {
                    m_held.pieces[piece] = std::move(bytes);
                    m_pieces.insert(piece);
                    m_fetcher.settle(piece, true);
                    m_changed();
                })
{
}

void AheadCopy::begin(const WeightsGoal &goal)
{
    stop();
    m_goal = goal;
    logInfo(LogComponent::Side, "Prefetching a newer version of the weights.",
            {{"version", std::to_string(goal.version)}});
    m_seeker.begin(goal, [this](std::vector<Digest> digests) { takeManifest(std::move(digests)); });
    m_seeker.step();
}

void AheadCopy::stop()
{
    m_seeker.stop();
    m_fetcher.stop();
    m_goal = {};
    m_held = {};
    m_pieces.clear();
}

void AheadCopy::step()
{
    if (!isActive()) {
        return;
    }
    m_seeker.step();
    if (!m_held.digests.empty() && !isWhole()) {
        m_fetcher.fetchMore(m_pieces);
    }
}

bool AheadCopy::isActive() const
{
    return m_goal.version > 0;
}

bool AheadCopy::isWhole() const
{
    return !m_held.digests.empty() && m_held.pieces.size() == m_held.digests.size();
}

std::int64_t AheadCopy::version() const
{
    return m_goal.version;
}

const AheadPieces &AheadCopy::held() const
{
    return m_held;
}

AheadPieces AheadCopy::take()
{
    AheadPieces out = std::move(m_held);
    stop();
    return out;
}

const FetchCounts &AheadCopy::counts() const
{
    return m_fetcher.counts();
}

void AheadCopy::takeManifest(std::vector<Digest> digests)
{
    m_held.digests = std::move(digests);
    m_fetcher.begin({.model = m_goal.model,
                     .version = m_goal.version,
                     .origin = m_goal.origin,
                     .digests = m_held.digests,
                     .plan = weights::planPieces(static_cast<int>(m_held.digests.size()), m_self, m_domain,
                                                 m_members(m_goal.version)),
                     .originPieceTime = m_goal.originPieceTime});
    m_fetcher.fetchMore(m_pieces);
    m_changed();
}

} // namespace ibislock::side
