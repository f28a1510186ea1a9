#include "platform/staged_pieces.h"

#include <gtest/gtest.h>

namespace ibislock::lab
{

namespace
{

const WeightsStandIn Weights{.version = 2, .pieces = 8};

std::map<int, std::string> stageOf(const WeightsStandIn &weights)
{
    std::map<int, std::string> staged;
    for (int piece = 0; piece < weights.pieces; ++piece) {
        staged[piece] = pieceBytes(weights, piece);
    }
    return staged;
}

} // namespace

TEST(StagedPiecesTest, JudgesALoadByTheRule)
{
    std::map<int, std::string> staged = stageOf(Weights);
    const BadPieces bad{{1, Millis{1000}}, {2, Millis{1001}}};
    const Millis inTime = Millis{1000} + BadPieceAllowance;
    EXPECT_FALSE(breaksRule(loadFaults(staged, bad, Weights, inTime)));
    EXPECT_EQ(loadFaults(staged, bad, Weights, inTime).badInTime, 2);
    const LoadFaults late = loadFaults(staged, bad, Weights, inTime + Millis{1});
    EXPECT_TRUE(breaksRule(late));
    EXPECT_EQ(late.badForLong, 1);
    EXPECT_EQ(late.badInTime, 1);
    staged.erase(3);
    EXPECT_EQ(loadFaults(staged, {}, Weights, inTime).missing, 1);
    EXPECT_TRUE(breaksRule(loadFaults(staged, {}, Weights, inTime)));
    EXPECT_EQ(loadFaults(stageOf({.version = 1, .pieces = 8}), {}, Weights, inTime).otherVersion, 8);
}

TEST(StagedPiecesTest, TellsAVerificationFromReadsOfOtherVms)
{
    using Step = VerificationWatch::Step;
    VerificationWatch watch;
    const auto read = [&](int piece, int at) {
        return watch.read(piece, true, Weights.pieces, Millis{at});
    };
    for (const int piece : {0, 7, 3, 6}) {
        EXPECT_EQ(read(piece, 1000), Step::None);
    }
    for (int piece = 0; piece < Weights.pieces; ++piece) {
        const Step expected = piece == 5 ? Step::Begins : piece == 7 ? Step::Ends : Step::None;
        EXPECT_EQ(read(piece, 2000 + piece), expected) << piece;
    }
    watch.reset();
    EXPECT_EQ(read(7, 2100), Step::None);
}

TEST(StagedPiecesTest, TellsAVerificationThatReadsAllPiecesAtOnce)
{
    VerificationWatch watch;
    auto last = VerificationWatch::Step::None;
    for (const int piece : {1, 0, 2, 4, 3, 5, 7, 6}) {
        last = watch.read(piece, true, Weights.pieces, Millis{1000});
    }
    EXPECT_EQ(last, VerificationWatch::Step::Ends);
}

TEST(StagedPiecesTest, ReadsOfAStageThatIsNotCompleteAreNoVerification)
{
    VerificationWatch watch;
    for (int piece = 0; piece < Weights.pieces; ++piece) {
        EXPECT_EQ(watch.read(piece, false, Weights.pieces, Millis{1000}), VerificationWatch::Step::None);
    }
}

} // namespace ibislock::lab
