#include "ibislock/weights/piece_sources.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace ibislock::weights
{

namespace
{

std::vector<DistributionMember> members(int domains, int each)
{
    std::vector<DistributionMember> out;
    for (int d = 0; d < domains; ++d) {
        for (int n = 0; n < each; ++n) {
            out.push_back(
                {.vm = "10." + std::to_string(d) + ".0." + std::to_string(n), .domain = "d" + std::to_string(d)});
        }
    }
    return out;
}

TEST(PieceSourcesTest, OneVmFetchesFromTheOriginAndOnePerDomainFromOutside)
{
    const auto all = members(3, 5);
    for (int piece = 0; piece < 64; ++piece) {
        int fromOrigin = 0;
        std::map<std::string, int> fromOutside;
        for (const DistributionMember &member : all) {
            const PieceSource first = pieceSources(piece, member.vm, member.domain, all).front();
            if (first.vm.empty()) {
                ++fromOrigin;
                continue;
            }
            const bool inside = first.vm.substr(0, 5) == member.vm.substr(0, 5);
            fromOutside[member.domain] += inside ? 0 : 1;
        }
        EXPECT_EQ(fromOrigin, 1);
        for (const auto &[domain, n] : fromOutside) {
            EXPECT_LE(n, 1);
        }
    }
}

TEST(PieceSourcesTest, ADomainHasOneSubstituteForAnUnreachableOwner)
{
    const auto all = members(3, 5);
    for (int piece = 0; piece < 64; ++piece) {
        std::map<std::string, std::set<std::string>> substitutes;
        std::map<std::string, int> withoutOne;
        for (const DistributionMember &member : all) {
            int count = 0;
            for (const PieceSource &source : pieceSources(piece, member.vm, member.domain, all)) {
                if (source.isSubstitute) {
                    ++count;
                    substitutes[member.domain].insert(source.vm);
                }
            }
            EXPECT_LE(count, 1);
            withoutOne[member.domain] += count == 0 ? 1 : 0;
        }
        for (const auto &[domain, vms] : substitutes) {
            EXPECT_EQ(vms.size(), 1U) << "with several substitutes, VMs could wait for each other in a cycle";
            EXPECT_EQ(withoutOne[domain], 2) << "only the owner and its substitute have no substitute";
        }
    }
}

TEST(PieceSourcesTest, HoldersInTheOwnDomainComeFirstAndShareTheLoad)
{
    auto all = members(2, 4);
    for (DistributionMember &member : all) {
        member.hasVersion = member.vm != "10.0.0.0";
    }
    std::set<std::string> first;
    for (int piece = 0; piece < 64; ++piece) {
        first.insert(pieceSources(piece, "10.0.0.0", "d0", all).front().vm);
    }
    EXPECT_EQ(first, (std::set<std::string>{"10.0.0.1", "10.0.0.2", "10.0.0.3"}));
}

TEST(PieceSourcesTest, PiecesAreOwnedEvenlyWithinADomain)
{
    // An owner of twice as many pieces as the others would make the whole domain wait twice as long.
    const auto all = members(3, 9);
    std::map<std::string, int> asked;
    for (const DistributionMember &member : all) {
        for (int piece = 0; piece < 64; ++piece) {
            ++asked[pieceSources(piece, member.vm, member.domain, all).front().vm];
        }
    }
    for (const DistributionMember &member : all) {
        EXPECT_LE(asked[member.vm], (64 / 9 + 2) * 8 + 3 * 3) << member.vm;
    }
}

TEST(PieceSourcesTest, RolloutPositionsAreDistinctAndDomainsAlternate)
{
    const auto all = members(3, 4);
    std::map<double, std::string> turns;
    for (const DistributionMember &member : all) {
        turns[rolloutPosition(member.vm, member.domain, all)] = member.domain;
    }
    ASSERT_EQ(turns.size(), all.size());
    EXPECT_EQ(turns.begin()->first, 0);
    std::string last;
    for (const auto &[turn, domain] : turns) {
        EXPECT_LT(turn, 1);
        EXPECT_NE(domain, last);
        last = domain;
    }
}

TEST(PieceSourcesTest, PiecesThatOthersWaitForArePlannedFirst)
{
    const auto all = members(3, 5);
    for (const DistributionMember &member : all) {
        int last = 0;
        for (const PiecePlan &plan : planPieces(64, member.vm, member.domain, all)) {
            const std::string &vm = plan.sources.front().vm;
            const int rank = vm.empty() ? 0 : (vm.substr(0, 5) == member.vm.substr(0, 5) ? 2 : 1);
            EXPECT_GE(rank, last);
            last = rank;
        }
    }
}

TEST(PieceSourcesTest, ASingleVmFetchesFromTheOrigin)
{
    const auto sources = pieceSources(0, "10.0.0.1", "d", {});
    ASSERT_EQ(sources.size(), 1U);
    EXPECT_TRUE(sources.front().vm.empty());
}

TEST(PieceSourcesTest, TheOriginIsAlwaysTheLastSource)
{
    const auto all = members(3, 5);
    for (int piece = 0; piece < 64; ++piece) {
        EXPECT_TRUE(pieceSources(piece, all[4].vm, all[4].domain, all).back().vm.empty());
    }
}

} // namespace

} // namespace ibislock::weights
