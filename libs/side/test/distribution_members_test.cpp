#include "distribution_members.h"

#include <gtest/gtest.h>

namespace ibislock::side
{

namespace
{

void list(feed::ListingsCache &listings, const std::string &id, const std::string &address, std::int64_t startedAt,
          std::int64_t version)
{
    serving::TargetEntry entry{
        .id = id, .service = "s", .address = address, .domain = "a", .startedAt = startedAt, .models = {}};
    if (version > 0) {
        entry.models.push_back({.name = "m", .version = version});
    }
    listings.listings[id].entry = std::move(entry);
}

// VMs that still knew the listings of before a restart derived other owners than those that didn't.
TEST(DistributionMembersTest, AVmWhoseTargetIsListedTwiceCountsOnce)
{
    feed::ListingsCache listings;
    list(listings, "i-1", "10.0.0.1:80", 5, 2);
    list(listings, "i-2", "10.0.0.1:80", 9, 0);
    list(listings, "i-3", "10.0.0.2:80", 7, 2);
    const auto members = distributionMembers(listings, {.self = "10.0.0.3", .service = "s", .version = 2});
    ASSERT_EQ(members.size(), 2U);
    EXPECT_EQ(members[0].vm, "10.0.0.1");
    EXPECT_FALSE(members[0].hasVersion) << "the incarnation that had it is gone";
    EXPECT_TRUE(members[1].hasVersion);
}

TEST(DistributionMembersTest, OtherServicesAndTheVmItselfAreLeftOut)
{
    feed::ListingsCache listings;
    list(listings, "i-1", "10.0.0.1:80", 5, 2);
    list(listings, "i-2", "10.0.0.2:80", 5, 2);
    listings.listings["i-2"].entry->service = "other";
    EXPECT_TRUE(distributionMembers(listings, {.self = "10.0.0.1", .service = "s", .version = 2}).empty());
}

} // namespace

} // namespace ibislock::side
