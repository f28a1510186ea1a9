// The part of the fetcher that transfers pieces from VMs that hold them.

#include "ibislock/base/log.h"
#include "piece_fetcher.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// Concurrent transfers. Most of them wait at their senders or are redirected, which takes about 600 ms in all. With
/// fewer, this VM's link, on which a piece takes about 40 ms, would be idle in the meantime.
constexpr int TransfersAtOnce = 16;

/// A longer transfer went over a slow link: a piece normally takes about 40 ms, with few others queued before it.
constexpr Millis SlowTransfer{500};

/// Timeout of a transfer from a VM that holds the piece; a slow link carries a piece in 300 ms.
constexpr Millis HolderTime{1500};

} // namespace

void PieceFetcher::queueTransfer(Search search)
{
    if (m_delivered.contains(search.piece) || !m_transferring.insert(search.piece).second) {
        return;
    }
    m_fetching.insert(search.piece); // A search that was given up may have found it.
    m_waits.erase(search.piece);
    m_queuedTransfers.push_back({.search = std::move(search)});
    startTransfers();
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
    if (m_delivered.contains(next.search.piece)) {
        m_transferring.erase(next.search.piece);
        return; // The origin has delivered it in the meantime.
    }
    const Millis now = steadyMillis();
    ++m_activeTransfers;
    const std::string vm = vmOf(next);
    m_activeSources.insert(vm);
    const peer::PieceMessage request{
        .model = m_task.model, .version = m_task.version, .index = next.search.piece, .forDomain = isInOtherDomain(vm)};
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
        m_transferring.erase(done.search.piece);
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
        recordNotHeld(m_holdings, vmOf(done), done.search.piece);
        if (!m_delivered.contains(done.search.piece) && !isHeld(m_holdings, done.search.piece)) {
            recordMissing(m_turns, done.search.piece);
        }
        m_transferring.erase(done.search.piece);
        if (isSuperseded(done.search)) {
            retryLater(done.search.piece);
        } else {
            ++done.search.sourceIndex;
            requestFromSource(std::move(done.search));
        }
    }
    startTransfers();
}

std::string PieceFetcher::vmOf(const Transfer &transfer)
{
    return transfer.redirectVm.empty() ? transfer.search.sources[transfer.search.sourceIndex].vm : transfer.redirectVm;
}

} // namespace ibislock::side
