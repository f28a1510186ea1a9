// What an engine stand-in knows of its stage beyond the bytes: since when pieces are bad, which were read, and whether
// a load that is accepted now may be used.

#pragma once

#include "ibislock/base/clock.h"

#include <map>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// A version of weights: its pieces are made from their numbers.
struct WeightsStandIn
{
    std::string model = "m";
    std::int64_t version = 1;
    int pieces = 8;
};

/// The bytes of a piece.
std::string pieceBytes(const WeightsStandIn &weights, int piece);

/// How long a piece may have been bad when an engine takes it.
constexpr Millis BadPieceAllowance{3000};

/// Pieces that turned bad in the stage, by the time when they did; a write ends that.
using BadPieces = std::map<int, Millis>;

/// The faults of a load at the moment at which the engine accepts the order.
struct LoadFaults
{
    int missing = 0;
    int otherVersion = 0;
    int badForLong = 0; ///< For more than `BadPieceAllowance`.
    int badInTime = 0; ///< For less; such a load may be used.
};

/// Judges a load.
LoadFaults loadFaults(const std::map<int, std::string> &staged, const BadPieces &bad, const WeightsStandIn &weights,
                      Millis now);

/// Tells whether weights of a load must not be used.
bool breaksRule(const LoadFaults &faults);

/// A verification as an engine sees it: reads of all pieces, from the first one on, while all are staged.
class VerificationWatch
{
public:
    /// What a read is in a verification.
    enum class Step {
        None,
        Begins, ///< The first pieces were read, so that it is not the request of another VM.
        Ends, ///< All pieces were read.
    };

    /// Notes a read.
    /// @param whole whether all pieces are staged and good.
    Step read(int piece, bool whole, int pieces, Millis now);

    /// Ends the verification under way, as pieces were written.
    void reset();

    /// Returns the pieces that were read since the verification began.
    std::vector<int> readPieces() const;

private:
    std::map<int, Millis> m_readAt;
    Millis m_begunAt{0};
    bool m_active = false;
    bool m_begun = false;
};

} // namespace ibislock::lab
