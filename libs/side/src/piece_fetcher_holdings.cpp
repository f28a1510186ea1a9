// The part of the fetcher that learns which pieces other VMs hold already, and tells them what this VM holds.

#include "ibislock/base/log.h"
#include "piece_fetcher.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// How long a VM that doesn't know yet what it holds may take to respond: one that starts later than this one.
constexpr Millis HoldingsWait{1500};

/// How much longer the timeout of a request is than its long-poll time.
constexpr Millis AnswerMargin{700};

} // namespace

void PieceFetcher::forgetHoldingsOfOthers()
{
    const auto takesPart = [this](const std::string &vm) {
        return m_domains.contains(vm);
    };
    std::erase_if(m_holdings.byVm, [&](const auto &item) { return !takesPart(item.first); });
    std::erase_if(m_holdingsAsked, [&](const std::string &vm) { return !takesPart(vm); });
    updateHeldElsewhere();
}

void PieceFetcher::askHoldings()
{
    if (m_task.isFresh) {
        return;
    }
    std::vector<bool> own = m_task.held;
    own.resize(m_task.digests.size());
    for (const int piece : m_delivered) {
        own[static_cast<std::size_t>(piece)] = true;
    }
    const std::string held = weights::encodeHeld(own);
    for (const weights::DistributionMember &member : m_members) {
        if (!m_holdingsAsked.insert(member.vm).second) {
            continue;
        }
        m_holdingsAwaited.insert(member.vm);
        m_exchange.request(
            member.vm,
            {.model = m_task.model,
             .version = m_task.version,
             .index = peer::HoldingsIndex,
             .waitMs = static_cast<std::uint32_t>(HoldingsWait.count()),
             .sender = m_self,
             .held = held},
            HoldingsWait + AnswerMargin,
            [this, generation = m_generation, vm = member.vm](const std::optional<peer::PieceMessage> &answer) {
                if (generation != m_generation) {
                    return;
                }
                m_holdingsAwaited.erase(vm);
                if (answer && answer->content == peer::PieceContent::Holdings) {
                    recordPeerHoldings(m_task.version, vm, answer->held);
                }
                if (m_holdingsAwaited.empty()) {
                    finishSurvey();
                }
            });
    }
    if (m_holdingsAwaited.empty()) {
        finishSurvey();
    }
}

void PieceFetcher::recordPeerHoldings(std::int64_t version, const std::string &vm, std::string_view held)
{
    if (version != m_task.version || m_task.digests.empty() || !m_domains.contains(vm)) {
        return;
    }
    std::vector<bool> pieces = weights::decodeHeld(held, m_task.digests.size());
    if (pieces.empty()) {
        logInfo(LogComponent::Side, "What another VM holds can't be read.",
                {{"version", std::to_string(version)}, {"vm", vm}, {"bytes", std::to_string(held.size())}});
        return;
    }
    recordHoldings(m_holdings, vm, std::move(pieces));
    updateHeldElsewhere();
}

void PieceFetcher::updateHeldElsewhere()
{
    for (const weights::PiecePlan &plan : m_plan) {
        if (isHeld(m_holdings, plan.piece)) {
            m_heldElsewhere.insert(plan.piece);
            recordHeld(m_turns, plan.piece);
            const auto wait = m_waits.find(plan.piece);
            if (wait != m_waits.end() && wait->second.isLongPoll) {
                takeFromHolder(plan);
            }
        } else {
            countIfMissing(plan.piece);
        }
    }
}

void PieceFetcher::countIfMissing(int piece)
{
    if (isHeld(m_holdings, piece) || m_heldElsewhere.erase(piece) == 0) {
        return;
    }
    if (!isHeldHere(piece) && !m_transferring.contains(piece)) {
        recordMissing(m_turns, piece);
    }
}

bool PieceFetcher::isHeldHere(int piece) const
{
    const auto n = static_cast<std::size_t>(piece);
    return m_delivered.contains(piece) || (n < m_task.held.size() && m_task.held[n]);
}

bool PieceFetcher::takeFromHolder(const weights::PiecePlan &plan)
{
    const auto &seniors = m_ranks[static_cast<std::size_t>(plan.piece)].domainSeniors;
    const bool isDomainOwner =
        std::all_of(seniors.begin(), seniors.end(), [this](const std::string &vm) { return isOut(vm); });
    std::vector<std::string> holders =
        holdersOf(m_holdings, plan.piece,
                  {.self = m_self, .domain = m_task.domain, .domains = m_domains, .isDomainOwner = isDomainOwner});
    std::erase_if(holders, [&](const std::string &vm) {
        const bool out = isOut(vm);
        if (out) {
            recordNotHeld(m_holdings, vm, plan.piece);
        }
        return out;
    });
    if (holders.empty()) {
        countIfMissing(plan.piece);
        return false;
    }
    Search search = makeSearch(plan);
    std::vector<weights::PieceSource> sources;
    for (std::string &vm : holders) {
        sources.push_back({.vm = std::move(vm)});
    }
    search.sources.insert(search.sources.begin(), sources.begin(), sources.end());
    m_searchesFrom[plan.piece] = search.number;
    queueTransfer(std::move(search));
    return true;
}

void PieceFetcher::finishSurvey()
{
    if (!m_surveyEnd) {
        return;
    }
    m_surveyEnd.reset();
    logInfo(LogComponent::Side, "Other VMs were asked for what they hold.",
            {{"version", std::to_string(m_task.version)},
             {"asked", std::to_string(m_holdingsAsked.size())},
             {"responded", std::to_string(m_holdings.byVm.size())},
             {"unavailable", std::to_string(weights::missingPieces(m_turns))}});
    restartTurns(m_turns, steadyMillis());
}

} // namespace ibislock::side
