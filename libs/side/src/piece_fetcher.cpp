#include "piece_fetcher.h"

#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// Pieces that are fetched at once: all of a version. Requests are small, and a VM responds to each as soon as it holds
/// the piece.
constexpr std::size_t FetchedAtOnce = 64;

/// Lower limit of the time that a VM which is fetching a piece has to respond; it must first learn of the announcement
/// and the pieces.
constexpr Millis LeastOwnerWait{3500};

/// The same time in percent of the time that the origin's link takes for a copy; covers the last piece, and its way
/// through its owners.
constexpr int OwnerWaitPercent = 140;

/// Long-poll time of a VM that isn't fetching the piece: it responds at once whether it holds it.
constexpr Millis AskAtOnce{1};

/// How much longer the timeout of a request is than its long-poll time.
constexpr Millis AnswerMargin{700};

/// Delay before a piece that no source delivered is tried again.
constexpr Millis RetryTime{250};

/// Interval of the check whether it is this VM's turn at the origin; a piece takes about 40 ms on its link.
constexpr Millis OriginStepTime{20};

/// Interval of the check whether other VMs take part than before.
constexpr Millis PlanTime{500};

/// A VM that responds at once to a long poll doesn't fetch the version, and isn't waited for during this time.
constexpr Millis DeclinedTime{3000};

/// How often a member waits for the owner in its domain before it turns to VMs of other domains. One copy for each VM
/// instead of one for each domain would fill the links between regions.
constexpr int MemberRounds = 2;

/// VMs of all others that are asked in turn for a piece which those that should have it don't hold.
constexpr std::size_t AskedInTurn = 8;

/// How long VMs that start may take to say what they hold; more pieces may be requested from the origin than necessary
/// if one takes longer, and all wait if this is long.
constexpr Millis SurveyTime{400};

/// Interval of the log lines about the progress.
constexpr Millis ProgressInterval{1000};

/// How often a VM asks those that should hold a piece before it asks others; about 2 s.
constexpr std::size_t RoundsBeforeOthers = 4;

} // namespace

PieceFetcher::PieceFetcher(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange, std::string self,
                           LinkPacing &pacing, FetchPriority priority, PieceFetcherEvents events)
    : m_loop(loop)
    , m_client(client)
    , m_exchange(exchange)
    , m_self(std::move(self))
    , m_pacing(pacing)
    , m_priority(priority)
    , m_events(std::move(events))
    , m_random(systemRandom())
    , m_originTimer(loop)
    , m_transferTimer(loop)
{
}

void PieceFetcher::begin(FetchTask task)
{
    stop();
    m_task = std::move(task);
    const Millis now = steadyMillis();
    m_startedAt = now;
    m_progressLoggedAt = now;
    m_countsBefore = m_counts;
    m_turns = weights::makeOriginTurns(static_cast<int>(m_task.digests.size()), m_task.originPieceTime, now);
    for (std::size_t piece = 0; piece < m_task.held.size(); ++piece) {
        if (m_task.held[piece]) {
            recordHeld(m_turns, static_cast<int>(piece));
        }
    }
    if (!m_task.isFresh) {
        m_surveyEnd = now + SurveyTime;
    }
    updatePlan(now);
    m_originTimer.start(OriginStepTime, [this] { stepOrigin(); });
}

void PieceFetcher::stop()
{
    ++m_generation;
    m_task = {};
    m_fetching.clear();
    m_waits.clear();
    m_searchesFrom.clear();
    m_delivered.clear();
    m_retryAt.clear();
    m_searchRounds.clear();
    m_mismatches.clear();
    m_manifestDoubted = false;
    m_members.clear();
    m_plan.clear();
    m_ranks.clear();
    m_nextPlanAt = Millis{0};
    m_turns = {};
    m_originRetryAt.clear();
    m_goneUntil = Millis{0};
    m_declinedAt.clear();
    m_holdings = {};
    m_heldElsewhere.clear();
    m_holdingsAsked.clear();
    m_holdingsAwaited.clear();
    m_surveyEnd.reset();
    m_originTimer.cancel();
    m_originFetchActive = false;
    m_transferTimer.cancel();
    m_queuedTransfers.clear();
    m_transferring.clear();
    m_activeTransfers = 0;
    m_activeSources.clear();
    if (m_priority == FetchPriority::Urgent) {
        m_pacing.urgentMissing = false;
    }
    updateUrgentTransfers();
}

const FetchCounts &PieceFetcher::counts() const
{
    return m_counts;
}

const weights::OriginTurns &PieceFetcher::turns() const
{
    return m_turns;
}

void PieceFetcher::updatePlan(Millis now)
{
    if (now < m_nextPlanAt || !m_task.members) {
        return;
    }
    m_nextPlanAt = now + PlanTime;
    auto members = m_task.members(m_task.version);
    if (!m_plan.empty() && members == m_members) {
        return;
    }
    m_members = std::move(members);
    m_domains.clear();
    for (const weights::DistributionMember &member : m_members) {
        m_domains[member.vm] = member.domain;
    }
    const auto pieces = static_cast<int>(m_task.digests.size());
    m_plan = weights::planPieces(pieces, m_self, m_task.domain, m_members);
    m_ranks.clear();
    for (int piece = 0; piece < pieces; ++piece) {
        m_ranks.push_back(weights::originRank(piece, m_self, m_task.domain, m_members));
    }
    restartSearches();
    forgetHoldingsOfOthers();
    askHoldings();
}

void PieceFetcher::restartSearches()
{
    for (const weights::PiecePlan &plan : m_plan) {
        const auto wait = m_waits.find(plan.piece);
        if (wait == m_waits.end() || !wait->second.isLongPoll) {
            continue;
        }
        const bool stays = std::any_of(plan.sources.begin(), plan.sources.end(), [&](const auto &source) {
            return source.isFetching && source.vm == wait->second.vm;
        });
        if (!stays) {
            m_waits.erase(wait);
            m_fetching.erase(plan.piece);
            m_searchesFrom[plan.piece] = m_lastSearch + 1;
        }
    }
}

void PieceFetcher::fetchMore(const std::set<int> &staged)
{
    const Millis now = steadyMillis();
    updatePlan(now);
    logProgress(now);
    for (const int piece : staged) {
        recordHeld(m_turns, piece);
    }
    for (const weights::PiecePlan &plan : m_plan) {
        if (m_fetching.size() >= FetchedAtOnce) {
            return;
        }
        const auto it = m_retryAt.find(plan.piece);
        const bool tooSoon = it != m_retryAt.end() && now < it->second;
        if (staged.contains(plan.piece) || m_fetching.contains(plan.piece) || tooSoon) {
            continue;
        }
        if (m_delivered.erase(plan.piece) > 0) {
            recordMissing(m_turns, plan.piece);
        }
        if (takeFromHolder(plan)) {
            continue;
        }
        m_fetching.insert(plan.piece);
        requestFromSource(makeSearch(plan));
    }
}

PieceFetcher::Search PieceFetcher::makeSearch(const weights::PiecePlan &plan)
{
    Search out{
        .piece = plan.piece, .role = plan.role, .sources = plan.sources, .number = ++m_lastSearch, .awaited = {}};
    std::erase_if(out.sources, [](const weights::PieceSource &source) { return source.vm.empty(); });
    return out;
}

Millis PieceFetcher::ownerTimeout() const
{
    const Millis copy = m_task.originPieceTime * static_cast<std::int64_t>(m_task.digests.size());
    return std::max(LeastOwnerWait, copy * OwnerWaitPercent / 100);
}

bool PieceFetcher::isInOtherDomain(const std::string &vm) const
{
    const auto it = m_domains.find(vm);
    return it != m_domains.end() && it->second != m_task.domain;
}

bool PieceFetcher::isOut(const std::string &vm) const
{
    const auto it = m_declinedAt.find(vm);
    return m_exchange.stateOf(vm) == PeerState::Unreachable
        || (it != m_declinedAt.end() && steadyMillis() < it->second + DeclinedTime);
}

bool PieceFetcher::isLeftToOwner(const Search &search, const weights::PieceSource &source) const
{
    const auto it = m_searchRounds.find(search.piece);
    const int rounds = it == m_searchRounds.end() ? 0 : it->second;
    if (!isInOtherDomain(source.vm) || rounds >= MemberRounds) {
        return false;
    }
    const auto &seniors = m_ranks[static_cast<std::size_t>(search.piece)].domainSeniors;
    return std::any_of(seniors.begin(), seniors.end(), [this](const std::string &vm) {
        return !isOut(vm) && m_exchange.stateOf(vm) == PeerState::Responding;
    });
}

void PieceFetcher::requestFromSource(Search search)
{
    if (isSuperseded(search)) {
        return;
    }
    while (search.sourceIndex < search.sources.size()) {
        const weights::PieceSource &source = search.sources[search.sourceIndex];
        if (isOut(source.vm)) {
            search.previousUnreachable = true;
        } else if (!isLeftToOwner(search, source)) {
            break;
        }
        ++search.sourceIndex;
    }
    if (search.sourceIndex >= search.sources.size()) {
        finishSearch(std::move(search));
        return;
    }
    const weights::PieceSource &source = search.sources[search.sourceIndex];
    const bool waits = source.isFetching || (search.previousUnreachable && source.isSubstitute);
    const Millis wait = waits ? ownerTimeout() : AskAtOnce;
    const Millis askedAt = steadyMillis();
    const std::string vm = source.vm;
    if (waits) {
        search.awaited.insert(vm);
    }
    m_waits[search.piece] = {.vm = vm, .since = askedAt, .isLongPoll = waits};
    const peer::PieceMessage request{.model = m_task.model,
                                     .version = m_task.version,
                                     .index = search.piece,
                                     .waitMs = static_cast<std::uint32_t>(wait.count())};
    m_exchange.request(vm, request, wait + AnswerMargin,
                       [this, generation = m_generation, search = std::move(search), wait,
                        askedAt](const std::optional<peer::PieceMessage> &answer) mutable {
                           if (generation != m_generation) {
                               return;
                           }
                           const auto awaited = m_waits.find(search.piece);
                           if (awaited != m_waits.end() && awaited->second.since == askedAt) {
                               m_waits.erase(awaited);
                           }
                           if (answer && answer->content == peer::PieceContent::Ready) {
                               recordAvailable(m_turns, m_pacing.origin, search.piece, steadyMillis());
                               queueTransfer(std::move(search));
                               return;
                           }
                           const Millis now = steadyMillis();
                           const bool early = now - askedAt < wait / 2;
                           if (answer && early && wait > AskAtOnce) {
                               m_declinedAt[search.sources[search.sourceIndex].vm] = now;
                           }
                           search.previousUnreachable = early || (!answer && now - askedAt < wait);
                           ++search.sourceIndex;
                           requestFromSource(std::move(search));
                       });
}

void PieceFetcher::finishSearch(Search search)
{
    const weights::OriginRank &rank = m_ranks[static_cast<std::size_t>(search.piece)];
    const bool first = m_task.isFresh && !m_searchRounds.contains(search.piece);
    for (const auto *seniors : {&rank.domainSeniors, &rank.otherSeniors}) {
        const auto it =
            std::find_if(seniors->begin(), seniors->end(), [this](const std::string &vm) { return !isOut(vm); });
        if (it != seniors->end() && search.awaited.insert(*it).second) {
            search.sources.push_back({.vm = *it, .isFetching = true});
            requestFromSource(std::move(search));
            return;
        }
        if (it != seniors->end()) {
            ++m_searchRounds[search.piece];
            retryLater(search.piece);
            return;
        }
    }
    // This VM is to request the piece from the origin. Others may hold it already, if it has restarted or replaces
    // another VM.
    if (!first && !std::exchange(search.juniorsAsked, true) && !rank.juniors.empty()) {
        for (const std::string &vm : rank.juniors) {
            search.sources.push_back({.vm = vm});
        }
        // Any VM may have fetched the piece in place of one that doesn't reach the origin.
        const auto round = static_cast<std::size_t>(m_searchRounds[search.piece]);
        for (std::size_t n = 0; round >= RoundsBeforeOthers && n < AskedInTurn; ++n) {
            search.sources.push_back({.vm = m_members[(round * AskedInTurn + n) % m_members.size()].vm});
        }
        requestFromSource(std::move(search));
        return;
    }
    ++m_searchRounds[search.piece];
    retryLater(search.piece);
}

void PieceFetcher::logProgress(Millis now)
{
    if (now < m_progressLoggedAt + ProgressInterval) {
        return;
    }
    m_progressLoggedAt = now;
    const auto first = std::find(m_turns.missing.begin(), m_turns.missing.end(), true);
    const auto longest = std::min_element(m_waits.begin(), m_waits.end(),
                                          [](const auto &a, const auto &b) { return a.second.since < b.second.since; });
    const bool waits = longest != m_waits.end();
    logInfo(LogComponent::Side, "Pieces are being fetched.",
            {{"version", std::to_string(m_task.version)},
             {"after_ms", std::to_string((now - m_startedAt).count())},
             {"unavailable", std::to_string(weights::missingPieces(m_turns))},
             {"first_unavailable", std::to_string(first - m_turns.missing.begin())},
             {"transfers", std::to_string(m_queuedTransfers.size() + static_cast<std::size_t>(m_activeTransfers))},
             {"from_vms", std::to_string(m_counts.fromPeers - m_countsBefore.fromPeers)},
             {"from_origin", std::to_string(m_counts.fromOrigin - m_countsBefore.fromOrigin)},
             {"origin_silent", isOriginSilent(m_turns, m_pacing.origin, now) ? "1" : "0"},
             {"waits", std::to_string(m_waits.size())},
             {"longest_wait_piece", std::to_string(waits ? longest->first : -1)},
             {"longest_wait_vm", waits ? longest->second.vm : ""},
             {"longest_wait_ms", std::to_string(waits ? (now - longest->second.since).count() : 0)}});
}

bool PieceFetcher::isSuperseded(const Search &search) const
{
    const auto it = m_searchesFrom.find(search.piece);
    const bool givenUp = it != m_searchesFrom.end() && search.number < it->second;
    return givenUp || m_delivered.contains(search.piece) || m_transferring.contains(search.piece);
}

void PieceFetcher::markStaging(int piece)
{
    m_fetching.insert(piece);
    m_delivered.insert(piece);
    recordHeld(m_turns, piece);
}

void PieceFetcher::recordStaging(int piece, bool staged)
{
    if (staged) {
        m_fetching.erase(piece);
    } else {
        m_delivered.erase(piece);
        recordMissing(m_turns, piece);
        retryLater(piece);
    }
}

void PieceFetcher::retryLater(int piece)
{
    if (m_delivered.contains(piece)) {
        return; // It is being staged.
    }
    m_fetching.erase(piece);
    m_retryAt[piece] = steadyMillis() + jittered(m_random, RetryTime);
}

void PieceFetcher::recordMismatch(int piece, const Digest &received)
{
    const auto [it, first] = m_mismatches.try_emplace(piece, received);
    if (first || it->second != received) {
        it->second = received; // Bytes that were corrupted on their way differ each time.
        return;
    }
    if (!std::exchange(m_manifestDoubted, true)) {
        m_events.onManifestDoubt();
    }
}

void PieceFetcher::deliverPiece(int piece, std::string bytes, bool fromOrigin)
{
    if (!m_delivered.insert(piece).second) {
        return;
    }
    if (fromOrigin) {
        recordServed(m_turns, m_pacing.origin, piece, steadyMillis());
    } else {
        recordHeld(m_turns, piece);
    }
    ++(fromOrigin ? m_counts.fromOrigin : m_counts.fromPeers);
    m_events.onPiece(piece, std::move(bytes));
}

} // namespace ibislock::side
