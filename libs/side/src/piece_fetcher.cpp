#include "piece_fetcher.h"

#include "desired_weights.h"
#include "ibislock/base/log.h"
#include "origin_call.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// Pieces that are fetched at once: all of a version. Requests are small, and a VM responds to each as soon as it holds
/// the piece.
constexpr std::size_t FetchedAtOnce = 64;

/// Concurrent transfers. Most of them wait at their senders or are redirected, which takes about 600 ms in all. With
/// fewer, this VM's link, on which a piece takes about 40 ms, would be idle in the meantime.
constexpr int TransfersAtOnce = 16;

/// A longer transfer went over a slow link: a piece normally takes about 40 ms, with few others queued before it.
constexpr Millis SlowTransfer{500};

/// Lower limit of the time that a VM which is fetching a piece has to respond; it must first learn of the announcement
/// and the pieces.
constexpr Millis LeastOwnerWait{3500};

/// The same time in percent of the time that the origin's link takes for a copy; covers the last piece, and its way
/// through its owners.
constexpr int OwnerWaitPercent = 140;

/// Long-poll time of a VM that isn't fetching the piece: it responds at once whether it holds it.
constexpr Millis AskAtOnce{1};

/// Timeout of a transfer from a VM that holds the piece; a slow link carries a piece in 300 ms.
constexpr Millis HolderTime{1500};

/// How much longer the timeout of a request is than its long-poll time.
constexpr Millis AnswerMargin{700};

/// Delay before a piece that no source delivered is tried again.
constexpr Millis RetryTime{250};

constexpr int OkStatus = 200;

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
    m_startedAt = steadyMillis();
}

void PieceFetcher::stop()
{
    ++m_generation;
    m_task = {};
    m_fetching.clear();
    m_retryAt.clear();
    m_searchRounds.clear();
    m_mismatches.clear();
    m_manifestDoubted = false;
    m_originQueue.clear();
    m_originSchedule.clear();
    m_originTimer.cancel();
    m_transferTimer.cancel();
    m_queuedTransfers.clear();
    m_activeTransfers = 0;
    m_activeSources.clear();
    updateUrgentTransfers();
}

const FetchCounts &PieceFetcher::counts() const
{
    return m_counts;
}

void PieceFetcher::fetchMore(const std::set<int> &staged)
{
    const Millis now = steadyMillis();
    for (const weights::PiecePlan &plan : m_task.plan) {
        if (m_fetching.size() >= FetchedAtOnce) {
            return;
        }
        const auto it = m_retryAt.find(plan.piece);
        const bool tooSoon = it != m_retryAt.end() && now < it->second;
        if (!staged.contains(plan.piece) && !m_fetching.contains(plan.piece) && !tooSoon) {
            m_fetching.insert(plan.piece);
            requestFromSource({.piece = plan.piece, .role = plan.role, .sources = plan.sources});
        }
    }
}

Millis PieceFetcher::ownerTimeout() const
{
    const Millis copy = m_task.originPieceTime * static_cast<std::int64_t>(m_task.digests.size());
    return std::max(LeastOwnerWait, copy * OwnerWaitPercent / 100);
}

void PieceFetcher::requestFromSource(Search search)
{
    if (search.sourceIndex >= search.sources.size() || search.sources[search.sourceIndex].vm.empty()) {
        finishSearch(search);
        return;
    }
    const weights::PieceSource &source = search.sources[search.sourceIndex];
    const bool waits = source.isFetching || (search.previousUnreachable && source.isSubstitute);
    const Millis wait = waits ? ownerTimeout() : AskAtOnce;
    const Millis askedAt = steadyMillis();
    const std::string vm = source.vm;
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
                           if (answer && answer->content == peer::PieceContent::Ready) {
                               m_queuedTransfers.push_back({.search = std::move(search)});
                               startTransfers();
                               return;
                           }
                           search.previousUnreachable = !answer && steadyMillis() - askedAt < wait;
                           search.anyResponded = search.anyResponded || answer.has_value();
                           ++search.sourceIndex;
                           requestFromSource(std::move(search));
                       });
}

void PieceFetcher::finishSearch(const Search &search)
{
    const int rounds = ++m_searchRounds[search.piece];
    if (search.role == weights::PieceRole::Owner && rounds == 1) {
        scheduleOriginFetch(search.piece);
        return;
    }
    if (decideOriginFetch(search.role, search.anyResponded, rounds) == weights::OriginDecision::RetrySources) {
        retryLater(search.piece);
        return;
    }
    logInfo(LogComponent::Side, "Fetching a piece from the origin after its sources failed to deliver it.",
            {{"version", std::to_string(m_task.version)},
             {"piece", std::to_string(search.piece)},
             {"asked_before", std::to_string(search.sourceIndex)},
             {"rounds", std::to_string(rounds)}});
    m_originQueue.push_back(search.piece);
    fetchNextFromOrigin();
}

void PieceFetcher::scheduleOriginFetch(int piece)
{
    const Millis at = m_startedAt + weights::originFetchDelay(piece, m_task.originPieceTime);
    const auto place = std::upper_bound(m_originSchedule.begin(), m_originSchedule.end(), std::pair(at, piece));
    m_originSchedule.insert(place, {at, piece});
    startDueOriginFetches();
}

void PieceFetcher::startDueOriginFetches()
{
    const Millis now = steadyMillis();
    while (!m_originSchedule.empty() && now >= m_originSchedule.front().first) {
        m_originQueue.push_back(m_originSchedule.front().second);
        m_originSchedule.pop_front();
        fetchNextFromOrigin();
    }
    if (m_originSchedule.empty()) {
        return;
    }
    m_originTimer.start(m_originSchedule.front().first - now, [this] { startDueOriginFetches(); });
}

PieceFetcher::Transfer PieceFetcher::takeRandomTransfer()
{
    // All VMs learn of a piece at the same time; a random choice prevents that they all turn to its holder at once. A
    // VM that is already sending to this VM is chosen last.
    std::size_t best = m_random() % m_queuedTransfers.size();
    for (std::size_t n = 0; n < m_queuedTransfers.size(); ++n) {
        const std::size_t index = (best + n) % m_queuedTransfers.size();
        const Transfer &candidate = m_queuedTransfers[index];
        if (!m_activeSources.contains(vmOf(candidate))) {
            best = index;
            break;
        }
    }
    Transfer out = std::move(m_queuedTransfers[best]);
    m_queuedTransfers.erase(m_queuedTransfers.begin() + static_cast<std::ptrdiff_t>(best));
    return out;
}

void PieceFetcher::updateUrgentTransfers()
{
    if (m_priority == FetchPriority::Urgent) {
        m_pacing.urgentTransfers = m_queuedTransfers.size() + static_cast<std::size_t>(m_activeTransfers);
    }
}

void PieceFetcher::startTransfers()
{
    const Millis now = steadyMillis();
    const bool yields = m_priority == FetchPriority::Background && m_pacing.urgentTransfers > 0;
    while (!yields && !m_queuedTransfers.empty() && m_activeTransfers < m_transferWindow
           && now >= m_pacing.nextTransferAt) {
        m_pacing.nextTransferAt = std::max(m_pacing.nextTransferAt + m_pacing.pieceInterval, now);
        startTransfer(takeRandomTransfer());
    }
    updateUrgentTransfers();
    if (!m_queuedTransfers.empty() && (yields || now < m_pacing.nextTransferAt)) {
        m_transferTimer.start(std::max(m_pacing.nextTransferAt - now, yields ? m_pacing.pieceInterval : Millis{0}),
                              [this] { startTransfers(); });
    }
}

void PieceFetcher::startTransfer(Transfer next)
{
    const Millis now = steadyMillis();
    ++m_activeTransfers;
    const std::string vm = vmOf(next);
    m_activeSources.insert(vm);
    const peer::PieceMessage request{.model = m_task.model,
                                     .version = m_task.version,
                                     .index = next.search.piece,
                                     .forDomain = next.search.role == weights::PieceRole::DomainOwner};
    m_exchange.request(vm, request, HolderTime,
                       [this, generation = m_generation, now,
                        next = std::move(next)](const std::optional<peer::PieceMessage> &answer) {
                           if (generation == m_generation) {
                               handleTransferResponse(next, answer, steadyMillis() - now);
                           }
                       });
}

void PieceFetcher::handleTransferResponse(Transfer done, const std::optional<peer::PieceMessage> &answer, Millis took)
{
    --m_activeTransfers;
    m_activeSources.erase(vmOf(done));
    // On a link that is slower than configured, pieces must not queue before inference requests.
    const Millis onTheWay = answer ? took - answer->queueTime : took;
    m_transferWindow = onTheWay > SlowTransfer ? 1 : std::min(m_transferWindow + 1, TransfersAtOnce);
    const bool isPiece = answer && answer->content == peer::PieceContent::Bytes;
    const Digest received = isPiece ? sha256(answer->bytes) : Digest();
    if (isPiece && received == m_task.digests[static_cast<std::size_t>(done.search.piece)]) {
        deliverPiece(done.search.piece, answer->bytes, false);
        startTransfers();
        return;
    }
    if (isPiece) {
        logInfo(LogComponent::Side, "A piece from another VM doesn't match its digest.",
                {{"version", std::to_string(m_task.version)},
                 {"piece", std::to_string(done.search.piece)},
                 {"vm", vmOf(done)},
                 {"received", toHex(received)}});
        recordMismatch(done.search.piece, received);
    }
    if (answer && answer->content == peer::PieceContent::Redirect && answer->redirectVm != m_self) {
        done.redirectVm = answer->redirectVm;
        m_pacing.nextTransferAt -= m_pacing.pieceInterval; // The redirect used no bandwidth.
        m_queuedTransfers.push_back(std::move(done));
    } else if (!done.redirectVm.empty()) {
        done.redirectVm.clear(); // The source itself still has the piece.
        m_queuedTransfers.push_back(std::move(done));
    } else {
        done.search.anyResponded = true;
        ++done.search.sourceIndex;
        requestFromSource(std::move(done.search));
    }
    startTransfers();
}

std::string PieceFetcher::vmOf(const Transfer &transfer)
{
    return transfer.redirectVm.empty() ? transfer.search.sources[transfer.search.sourceIndex].vm : transfer.redirectVm;
}

void PieceFetcher::fetchNextFromOrigin()
{
    if (m_originFetchActive || m_originQueue.empty()) {
        return;
    }
    const int piece = m_originQueue.front();
    m_originQueue.pop_front();
    m_originFetchActive = true;
    fetchFromOrigin(piece);
}

void PieceFetcher::fetchFromOrigin(int piece)
{
    callOrigin(m_loop, m_client, m_task.origin, platform::makePieceRequest(m_task.model, m_task.version, piece),
               maxPieceResponse(m_task.pieceBytes),
               [this, generation = m_generation, piece](int status, std::string body) {
                   m_originFetchActive = false;
                   if (generation != m_generation) {
                       fetchNextFromOrigin();
                       return;
                   }
                   const Digest received = sha256(body);
                   if (status == OkStatus && received == m_task.digests[static_cast<std::size_t>(piece)]) {
                       deliverPiece(piece, std::move(body), true);
                       fetchNextFromOrigin();
                       return;
                   }
                   m_counts.corrupt += status == OkStatus ? 1 : 0;
                   logInfo(LogComponent::Side, "Fetching a piece from the origin failed.",
                           {{"version", std::to_string(m_task.version)},
                            {"piece", std::to_string(piece)},
                            {"status", std::to_string(status)},
                            {"bytes", std::to_string(body.size())},
                            {"expected", toHex(m_task.digests[static_cast<std::size_t>(piece)])},
                            {"received", toHex(received)}});
                   retryLater(piece);
                   if (status == OkStatus) {
                       recordMismatch(piece, received);
                   }
                   fetchNextFromOrigin();
               });
}

void PieceFetcher::markStaging(int piece)
{
    m_fetching.insert(piece);
}

void PieceFetcher::recordStaging(int piece, bool staged)
{
    if (staged) {
        m_fetching.erase(piece);
    } else {
        retryLater(piece);
    }
}

void PieceFetcher::retryLater(int piece)
{
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
    ++(fromOrigin ? m_counts.fromOrigin : m_counts.fromPeers);
    m_events.onPiece(piece, std::move(bytes));
}

} // namespace ibislock::side
