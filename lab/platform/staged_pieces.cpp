#include "platform/staged_pieces.h"

namespace ibislock::lab
{

namespace
{

/// Reads that are sent at once may come in this much out of order.
constexpr Millis Disorder{5};

/// A verification has begun when so many of the first pieces were read; other VMs read pieces in no order.
constexpr int FirstPieces = 6;

} // namespace

std::string pieceBytes(const WeightsStandIn &weights, int piece)
{
    return weights.model + " version " + std::to_string(weights.version) + " piece " + std::to_string(piece);
}

LoadFaults loadFaults(const std::map<int, std::string> &staged, const BadPieces &bad, const WeightsStandIn &weights,
                      Millis now)
{
    LoadFaults faults;
    for (int piece = 0; piece < weights.pieces; ++piece) {
        const auto it = staged.find(piece);
        const auto since = bad.find(piece);
        if (it == staged.end()) {
            ++faults.missing;
        } else if (it->second != pieceBytes(weights, piece)) {
            ++faults.otherVersion;
        } else if (since != bad.end()) {
            ++(now - since->second > BadPieceAllowance ? faults.badForLong : faults.badInTime);
        }
    }
    return faults;
}

bool breaksRule(const LoadFaults &faults)
{
    return faults.missing + faults.otherVersion + faults.badForLong > 0;
}

VerificationWatch::Step VerificationWatch::read(int piece, bool whole, int pieces, Millis now)
{
    m_readAt[piece] = now;
    if (piece == 0) {
        m_active = whole;
        m_begun = false;
        m_begunAt = now - Disorder;
    }
    if (!m_active) {
        return Step::None;
    }
    const std::vector<int> done = readPieces();
    if (done.size() == static_cast<std::size_t>(pieces)) {
        m_active = false;
        return Step::Ends;
    }
    if (!m_begun && done.size() >= FirstPieces && done[FirstPieces - 1] == FirstPieces - 1) {
        m_begun = true;
        return Step::Begins;
    }
    return Step::None;
}

void VerificationWatch::reset()
{
    m_readAt.clear();
    m_active = false;
}

std::vector<int> VerificationWatch::readPieces() const
{
    std::vector<int> pieces;
    for (const auto &[piece, at] : m_readAt) {
        if (at >= m_begunAt) {
            pieces.push_back(piece);
        }
    }
    return pieces;
}

} // namespace ibislock::lab
