#include "ibislock/weights/piece_holdings.h"

#include <gtest/gtest.h>

namespace ibislock::weights
{

namespace
{

const std::map<std::string, std::string> Domains{{"1", "a"}, {"2", "a"}, {"3", "b"}, {"4", "b"}, {"5", "b"}};

HolderChoice choiceOf(std::string_view self, std::string_view domain, bool isDomainOwner)
{
    return {.self = self, .domain = domain, .domains = Domains, .isDomainOwner = isDomainOwner};
}

TEST(PieceHoldingsTest, APieceIsTakenFromAVmOfTheOwnDomainIfOneHoldsIt)
{
    PieceHoldings holdings;
    recordHoldings(holdings, "2", {false, true});
    recordHoldings(holdings, "3", {true, true});
    EXPECT_EQ(holdersOf(holdings, 1, choiceOf("1", "a", true)), std::vector<std::string>{"2"});
    EXPECT_EQ(holdersOf(holdings, 1, choiceOf("4", "b", false)), std::vector<std::string>{"3"});
}

// One copy for each VM instead of one for each domain would fill the links between regions.
TEST(PieceHoldingsTest, OnlyTheOwnerOfADomainTakesAPieceFromAnotherDomain)
{
    PieceHoldings holdings;
    recordHoldings(holdings, "3", {true});
    EXPECT_TRUE(holdersOf(holdings, 0, choiceOf("1", "a", false)).empty());
    EXPECT_EQ(holdersOf(holdings, 0, choiceOf("1", "a", true)), std::vector<std::string>{"3"});
}

TEST(PieceHoldingsTest, AVmThatLacksAPieceAfterAllIsNotTriedAgain)
{
    PieceHoldings holdings;
    recordHoldings(holdings, "2", {true});
    recordNotHeld(holdings, "2", 0);
    EXPECT_FALSE(isHeld(holdings, 0));
    EXPECT_TRUE(holdersOf(holdings, 0, choiceOf("1", "a", true)).empty());
}

TEST(PieceHoldingsTest, VmsThatDoNotTakePartAreNotTried)
{
    PieceHoldings holdings;
    recordHoldings(holdings, "9", {true});
    EXPECT_TRUE(holdersOf(holdings, 0, choiceOf("1", "a", true)).empty());
}

TEST(PieceHoldingsTest, HeldPiecesAreEncodedAsBits)
{
    std::vector<bool> held(11);
    held[0] = held[9] = true;
    EXPECT_EQ(encodeHeld(held), std::string("\x01\x02", 2));
    EXPECT_EQ(decodeHeld(encodeHeld(held), held.size()), held);
}

TEST(PieceHoldingsTest, BitsOfAnotherNumberOfPiecesAreIgnored)
{
    EXPECT_TRUE(decodeHeld("\x01", 9).empty());
    EXPECT_TRUE(decodeHeld("", 8).empty());
}

} // namespace

} // namespace ibislock::weights
