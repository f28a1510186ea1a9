#include "piece_fetcher.h"

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
                           LinkPace &pace, FetchOrder order, std::function<void(int piece, std::string bytes)> taken)
    : m_loop(loop)
    , m_client(client)
    , m_exchange(exchange)
    , m_self(std::move(self))
    , m_pace(pace)
    , m_order(order)
    , m_taken(std::move(taken))
    , m_random(systemRandom())
    , m_nextOrigin(loop)
    , m_nextTransfer(loop)
{
}

void PieceFetcher::begin(FetchTask task)
{
    stop();
    m_task = std::move(task);
    m_beganAt = steadyMillis();
}

void PieceFetcher::stop()
{
    ++m_round;
    m_task = {};
    m_fetching.clear();
    m_notBefore.clear();
    m_rounds.clear();
    m_originQueue.clear();
    m_originTurns.clear();
    m_nextOrigin.cancel();
    m_nextTransfer.cancel();
    m_transfers.clear();
    m_transferring = 0;
    m_transferringFrom.clear();
    noteUrgent();
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
        const auto it = m_notBefore.find(plan.piece);
        const bool tooSoon = it != m_notBefore.end() && now < it->second;
        if (!staged.contains(plan.piece) && !m_fetching.contains(plan.piece) && !tooSoon) {
            m_fetching.insert(plan.piece);
            fetchFrom({.piece = plan.piece, .role = plan.role, .sources = plan.sources});
        }
    }
}

Millis PieceFetcher::ownerWait() const
{
    const Millis copy = m_task.originPieceTime * static_cast<std::int64_t>(m_task.digests.size());
    return std::max(LeastOwnerWait, copy * OwnerWaitPercent / 100);
}

void PieceFetcher::fetchFrom(Search search)
{
    if (search.at >= search.sources.size() || search.sources[search.at].vm.empty()) {
        endSearch(search);
        return;
    }
    const weights::PieceSource &source = search.sources[search.at];
    const bool waits = source.isFetching || (search.lostBefore && source.isSubstitute);
    const Millis wait = waits ? ownerWait() : AskAtOnce;
    const Millis askedAt = steadyMillis();
    const std::string vm = source.vm;
    const peer::PieceMessage ask{.model = m_task.model,
                                 .version = m_task.version,
                                 .index = search.piece,
                                 .waitMs = static_cast<std::uint32_t>(wait.count())};
    m_exchange.ask(vm, ask, wait + AnswerMargin,
                   [this, round = m_round, search = std::move(search), wait,
                    askedAt](const std::optional<peer::PieceMessage> &answer) mutable {
                       if (round != m_round) {
                           return;
                       }
                       if (answer && answer->content == peer::PieceContent::Ready) {
                           m_transfers.push_back({.search = std::move(search)});
                           transferNext();
                           return;
                       }
                       search.lostBefore = !answer && steadyMillis() - askedAt < wait;
                       search.answered = search.answered || answer.has_value();
                       ++search.at;
                       fetchFrom(std::move(search));
                   });
}

void PieceFetcher::endSearch(const Search &search)
{
    const int rounds = ++m_rounds[search.piece];
    if (search.role == weights::PieceRole::Owner && rounds == 1) {
        askOriginInTurn(search.piece);
        return;
    }
    if (decideOriginFetch(search.role, search.answered, rounds) == weights::OriginDecision::RetrySources) {
        retryLater(search.piece);
        return;
    }
    logInfo(LogComponent::Side, "Fetching a piece from the origin after its sources failed to deliver it.",
            {{"version", std::to_string(m_task.version)},
             {"piece", std::to_string(search.piece)},
             {"asked_before", std::to_string(search.at)},
             {"rounds", std::to_string(rounds)}});
    m_originQueue.push_back(search.piece);
    fetchNextFromOrigin();
}

void PieceFetcher::askOriginInTurn(int piece)
{
    const Millis at = m_beganAt + weights::originFetchDelay(piece, m_task.originPieceTime);
    const auto place = std::upper_bound(m_originTurns.begin(), m_originTurns.end(), std::pair(at, piece));
    m_originTurns.insert(place, {at, piece});
    waitForOriginTurn();
}

void PieceFetcher::waitForOriginTurn()
{
    const Millis now = steadyMillis();
    while (!m_originTurns.empty() && now >= m_originTurns.front().first) {
        m_originQueue.push_back(m_originTurns.front().second);
        m_originTurns.pop_front();
        fetchNextFromOrigin();
    }
    if (m_originTurns.empty()) {
        return;
    }
    m_nextOrigin.start(m_originTurns.front().first - now, [this] { waitForOriginTurn(); });
}

PieceFetcher::Transfer PieceFetcher::takeTransfer()
{
    // All VMs learn of a piece at the same time; a random choice prevents that they all turn to its holder at once. A
    // VM that is already sending to this VM is chosen last.
    std::size_t best = m_random() % m_transfers.size();
    for (std::size_t n = 0; n < m_transfers.size(); ++n) {
        const std::size_t index = (best + n) % m_transfers.size();
        const Transfer &candidate = m_transfers[index];
        if (!m_transferringFrom.contains(vmOf(candidate))) {
            best = index;
            break;
        }
    }
    Transfer out = std::move(m_transfers[best]);
    m_transfers.erase(m_transfers.begin() + static_cast<std::ptrdiff_t>(best));
    return out;
}

void PieceFetcher::noteUrgent()
{
    if (m_order == FetchOrder::Urgent) {
        m_pace.urgent = m_transfers.size() + static_cast<std::size_t>(m_transferring);
    }
}

void PieceFetcher::transferNext()
{
    const Millis now = steadyMillis();
    const bool yields = m_order == FetchOrder::Yielding && m_pace.urgent > 0;
    while (!yields && !m_transfers.empty() && m_transferring < m_window && now >= m_pace.nextAt) {
        m_pace.nextAt = std::max(m_pace.nextAt + m_pace.pieceTime, now);
        beginTransfer(takeTransfer());
    }
    noteUrgent();
    if (!m_transfers.empty() && (yields || now < m_pace.nextAt)) {
        m_nextTransfer.start(std::max(m_pace.nextAt - now, yields ? m_pace.pieceTime : Millis{0}),
                             [this] { transferNext(); });
    }
}

void PieceFetcher::beginTransfer(Transfer next)
{
    const Millis now = steadyMillis();
    ++m_transferring;
    const std::string vm = vmOf(next);
    m_transferringFrom.insert(vm);
    const peer::PieceMessage ask{.model = m_task.model,
                                 .version = m_task.version,
                                 .index = next.search.piece,
                                 .forDomain = next.search.role == weights::PieceRole::DomainOwner};
    m_exchange.ask(
        vm, ask, HolderTime,
        [this, round = m_round, now, next = std::move(next)](const std::optional<peer::PieceMessage> &answer) {
            if (round == m_round) {
                takeTransferred(next, answer, steadyMillis() - now);
            }
        });
}

void PieceFetcher::takeTransferred(Transfer done, const std::optional<peer::PieceMessage> &answer, Millis took)
{
    --m_transferring;
    m_transferringFrom.erase(vmOf(done));
    // On a link that is slower than configured, pieces must not queue before inference requests.
    const Millis onTheWay = answer ? took - answer->queueTime : took;
    m_window = onTheWay > SlowTransfer ? 1 : std::min(m_window + 1, TransfersAtOnce);
    const bool good = answer && answer->content == peer::PieceContent::Bytes
        && sha256(answer->bytes) == m_task.digests[static_cast<std::size_t>(done.search.piece)];
    if (good) {
        takePiece(done.search.piece, answer->bytes, false);
    } else if (answer && answer->content == peer::PieceContent::Redirect && answer->redirectVm != m_self) {
        done.via = answer->redirectVm;
        m_pace.nextAt -= m_pace.pieceTime; // The redirect used no bandwidth.
        m_transfers.push_back(std::move(done));
    } else if (!done.via.empty()) {
        done.via.clear(); // The source itself still has the piece.
        m_transfers.push_back(std::move(done));
    } else {
        done.search.answered = true;
        ++done.search.at;
        fetchFrom(std::move(done.search));
    }
    transferNext();
}

std::string PieceFetcher::vmOf(const Transfer &transfer)
{
    return transfer.via.empty() ? transfer.search.sources[transfer.search.at].vm : transfer.via;
}

void PieceFetcher::fetchNextFromOrigin()
{
    if (m_originBusy || m_originQueue.empty()) {
        return;
    }
    const int piece = m_originQueue.front();
    m_originQueue.pop_front();
    m_originBusy = true;
    fetchFromOrigin(piece);
}

void PieceFetcher::fetchFromOrigin(int piece)
{
    callOrigin(m_loop, m_client, m_task.origin, platform::makePieceRequest(m_task.model, m_task.version, piece),
               [this, round = m_round, piece](int status, std::string body) {
                   m_originBusy = false;
                   if (round != m_round) {
                       fetchNextFromOrigin();
                       return;
                   }
                   if (status == OkStatus && sha256(body) == m_task.digests[static_cast<std::size_t>(piece)]) {
                       takePiece(piece, std::move(body), true);
                       fetchNextFromOrigin();
                       return;
                   }
                   m_counts.corrupt += status == OkStatus ? 1 : 0;
                   logInfo(LogComponent::Side, "Fetching a piece from the origin failed.",
                           {{"version", std::to_string(m_task.version)},
                            {"piece", std::to_string(piece)},
                            {"status", std::to_string(status)}});
                   retryLater(piece);
                   fetchNextFromOrigin();
               });
}

void PieceFetcher::claim(int piece)
{
    m_fetching.insert(piece);
}

void PieceFetcher::settle(int piece, bool staged)
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
    m_notBefore[piece] = steadyMillis() + jittered(m_random, RetryTime);
}

void PieceFetcher::takePiece(int piece, std::string bytes, bool fromOrigin)
{
    ++(fromOrigin ? m_counts.fromOrigin : m_counts.fromPeers);
    m_taken(piece, std::move(bytes));
}

} // namespace ibislock::side
