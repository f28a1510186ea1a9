// The part of the fetcher that requests pieces from the origin.

#include "ibislock/base/log.h"
#include "origin_call.h"
#include "piece_fetcher.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// Interval of the check whether it is this VM's turn at the origin; a piece takes about 40 ms on its link.
constexpr Millis OriginStepTime{20};

/// Delay before a piece is requested again that was corrupt.
constexpr Millis CorruptRetryTime{250};

/// Delay before a version is requested again that the origin doesn't have any more.
constexpr Millis GoneTime{1000};

/// Timeout of a request while the origin is silent; on its link, a piece takes about 40 ms.
constexpr Millis ProbeTimeout{700};

/// One in so many probes waits as long as an ordinary request, as the origin may just be slow.
constexpr int LongProbeEach = 4;

/// VMs that are checked at once whether they respond.
constexpr int CheckedAtOnce = 8;

constexpr int OkStatus = 200;
constexpr int NotFoundStatus = 404;
constexpr int GoneStatus = 410;

} // namespace

void PieceFetcher::stepOrigin()
{
    const Millis now = steadyMillis();
    const bool missing = std::find(m_turns.missing.begin(), m_turns.missing.end(), true) != m_turns.missing.end();
    if (m_priority == FetchPriority::Urgent) {
        m_pacing.urgentMissing = missing && now >= m_goneUntil;
    }
    m_originTimer.start(OriginStepTime, [this] { stepOrigin(); });
    if (m_originFetchActive && isRequestStale(m_turns, m_originSentAt, now)) {
        m_originFetchActive = false; // A connection from before the recovery may stay silent for ever.
    }
    if (m_surveyEnd && now >= *m_surveyEnd) {
        finishSurvey();
    }
    if (m_surveyEnd) {
        return;
    }
    // Of two versions, the origin first sends all of the one that is needed first.
    const bool yields = m_priority == FetchPriority::Background && m_pacing.urgentMissing;
    if (!missing || yields || m_originFetchActive || now < m_goneUntil) {
        return;
    }
    for (const weights::OriginRank &rank : m_ranks) {
        const auto piece = static_cast<int>(&rank - m_ranks.data());
        const auto it = m_originRetryAt.find(piece);
        if (it != m_originRetryAt.end() && now < it->second) {
            continue;
        }
        const weights::OriginTurn turn = decideOriginTurn(m_turns, m_pacing.origin, piece, rank, now);
        if (turn != weights::OriginTurn::Wait && mayFetchFromOrigin(turn, piece)) {
            fetchFromOrigin(piece);
            return;
        }
    }
}

bool PieceFetcher::mayFetchFromOrigin(weights::OriginTurn turn, int piece)
{
    const weights::OriginRank &rank = m_ranks[static_cast<std::size_t>(piece)];
    if (turn == weights::OriginTurn::Now) {
        return true;
    }
    // Others may hold the piece unless it is new; one round of requests shows that.
    const bool isNew = m_task.isFresh && rank.overall == 0;
    const bool asked = !m_task.isFresh || m_searchRounds.contains(piece); // Otherwise in the survey.
    if (!areOut(rank.domainSeniors) || !(isNew || asked)) {
        return false;
    }
    return turn == weights::OriginTurn::IfDomainSeniorsOut || areOut(rank.otherSeniors);
}

bool PieceFetcher::areOut(const std::vector<std::string> &vms)
{
    int checked = 0;
    for (const std::string &vm : vms) {
        if (isOut(vm)) {
            continue;
        }
        const PeerState state = m_exchange.stateOf(vm);
        if (state == PeerState::Responding || checked >= CheckedAtOnce) {
            return false;
        }
        m_exchange.check(vm, m_task.model, m_task.version);
        ++checked;
    }
    return checked == 0;
}

Millis PieceFetcher::originTimeout() const
{
    const bool silent = isOriginSilent(m_turns, m_pacing.origin, steadyMillis());
    return silent && m_pacing.origin.failures % LongProbeEach != LongProbeEach - 1 ? ProbeTimeout : OriginTimeout;
}

void PieceFetcher::fetchFromOrigin(int piece)
{
    m_originFetchActive = true;
    m_originSentAt = steadyMillis();
    const std::uint64_t fetch = ++m_originFetch;
    ++m_counts.originAttempts;
    callOrigin(m_loop, m_client, m_task.origin, platform::makePieceRequest(m_task.model, m_task.version, piece),
               maxPieceResponse(m_task.pieceBytes), originTimeout(),
               [this, generation = m_generation, fetch, piece](int status, std::string body) {
                   if (generation != m_generation) {
                       return;
                   }
                   const bool isLatest = fetch == m_originFetch && m_originFetchActive;
                   m_originFetchActive = m_originFetchActive && !isLatest;
                   if (isLatest || status == OkStatus) {
                       handleOriginResponse(piece, status, std::move(body));
                   }
               });
}

void PieceFetcher::handleOriginResponse(int piece, int status, std::string body)
{
    const Millis now = steadyMillis();
    const Digest received = sha256(body);
    if (status == OkStatus && received == m_task.digests[static_cast<std::size_t>(piece)]) {
        deliverPiece(piece, std::move(body), true);
        stepOrigin();
        return;
    }
    logInfo(LogComponent::Side, "Fetching a piece from the origin failed.",
            {{"version", std::to_string(m_task.version)},
             {"piece", std::to_string(piece)},
             {"status", std::to_string(status)},
             {"bytes", std::to_string(body.size())},
             {"failures", std::to_string(m_pacing.origin.failures)},
             {"expected", toHex(m_task.digests[static_cast<std::size_t>(piece)])},
             {"received", toHex(received)}});
    if (status == OkStatus) {
        ++m_counts.corrupt;
        m_originRetryAt[piece] = now + jittered(m_random, CorruptRetryTime);
        recordMismatch(piece, received);
    } else if (status == GoneStatus || status == NotFoundStatus) {
        m_goneUntil = now + GoneTime;
    } else {
        recordOriginFailure(m_pacing.origin, m_random, now);
    }
}

} // namespace ibislock::side
