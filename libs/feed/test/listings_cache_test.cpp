#include "ibislock/feed/listings_cache.h"
#include "ibislock/feed/relay_order.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace ibislock::feed
{

namespace
{

TopicPosition at(std::int64_t offset, std::int64_t era = 0)
{
    return {.era = era, .offset = offset};
}

peer::ListingChange listed(const std::string &id, std::int64_t offset, std::int64_t version = 1)
{
    return {.id = id, .entry = serving::TargetEntry{.id = id, .models = {{"m", version}}}, .position = at(offset)};
}

/// The listing of an incarnation, and the number of its write.
peer::ListingChange written(std::int64_t offset, std::int64_t startedAt, std::int64_t writeNumber,
                            bool draining = false)
{
    return {.id = "a",
            .entry = serving::TargetEntry{.id = "a", .draining = draining, .startedAt = startedAt},
            .position = at(offset),
            .writeNumber = writeNumber};
}

peer::ListingChange removed(const std::string &id, std::int64_t offset)
{
    return {.id = id, .entry = {}, .position = at(offset)};
}

peer::ListingChange inEra(peer::ListingChange change, std::int64_t era)
{
    change.position.era = era;
    return change;
}

TEST(ListingsCacheTest, AHeartbeatChangesNothing)
{
    ListingsCache cache;
    replaceListings(cache, {listed("a", 3)}, at(4), Millis{0});
    EXPECT_FALSE(applyTopicRecord(cache, listed("a", 9), Millis{10}));
    EXPECT_TRUE(changesFrom(cache, at(4)).empty());
    EXPECT_TRUE(applyTopicRecord(cache, listed("a", 10, 2), Millis{20}));
    EXPECT_EQ(changesFrom(cache, at(4)).size(), 1U);
}

TEST(ListingsCacheTest, AnOlderListingIsIgnored)
{
    ListingsCache cache;
    replaceListings(cache, {listed("a", 8, 2)}, at(9), Millis{0});
    EXPECT_FALSE(applyListing(cache, listed("a", 5, 1), Millis{0}));
    EXPECT_EQ(cache.listings.at("a").entry->models.front().version, 2);
}

// A heartbeat that was under way when its target said that it leaves made the target usable again.
TEST(ListingsCacheTest, AnEarlierWriteThatIsAppendedLateIsIgnored)
{
    ListingsCache cache;
    replaceListings(cache, {written(1, 5, 20)}, at(2), Millis{0});
    EXPECT_TRUE(applyTopicRecord(cache, written(2, 5, 22, true), Millis{0}));
    EXPECT_FALSE(applyTopicRecord(cache, written(3, 5, 21), Millis{0}));
    EXPECT_FALSE(applyListing(cache, written(3, 5, 21), Millis{0})) << "forwarded by a VM that didn't know better";
    EXPECT_TRUE(replaceListings(cache, {written(3, 5, 21)}, at(4), Millis{0}).empty()) << "in a snapshot";
    EXPECT_TRUE(cache.listings.at("a").entry->draining);
}

TEST(ListingsCacheTest, AnEarlierWriteThanTheLastHeartbeatIsIgnored)
{
    ListingsCache cache;
    replaceListings(cache, {written(1, 5, 20, true)}, at(2), Millis{0});
    EXPECT_FALSE(applyTopicRecord(cache, written(2, 5, 23, true), Millis{0}));
    EXPECT_FALSE(applyTopicRecord(cache, written(3, 5, 22), Millis{0}));
    EXPECT_EQ(changesFrom(cache, at(0)).front().writeNumber, 23);
}

TEST(ListingsCacheTest, AnEarlierWriteDoesNotListARemovedTargetAgain)
{
    ListingsCache cache;
    replaceListings(cache, {written(1, 5, 20)}, at(2), Millis{0});
    EXPECT_TRUE(applyTopicRecord(cache, removed("a", 2), Millis{0}));
    EXPECT_FALSE(applyTopicRecord(cache, written(3, 5, 19), Millis{0}));
    EXPECT_FALSE(cache.listings.at("a").entry);
    // One that expired during an outage of the store is listed again.
    EXPECT_TRUE(applyTopicRecord(cache, written(4, 5, 21), Millis{0}));
}

TEST(ListingsCacheTest, WritesOfAnotherIncarnationAreOrderedByTheirOffsets)
{
    ListingsCache cache;
    replaceListings(cache, {written(1, 5, 20, true)}, at(2), Millis{0});
    EXPECT_TRUE(applyTopicRecord(cache, written(2, 9, 1), Millis{0})) << "born anew";
    EXPECT_FALSE(cache.listings.at("a").entry->draining);
    EXPECT_TRUE(applyTopicRecord(cache, written(3, 0, 7, true), Millis{0})) << "of an unknown incarnation";
    EXPECT_TRUE(applyTopicRecord(cache, written(4, 0, 6), Millis{0}));
}

// A write of a crashed incarnation that was appended late made a leaving target usable, as if it had started again.
TEST(ListingsCacheTest, AWriteOfAnEarlierIncarnationDoesNotListATargetThatLeavesAgain)
{
    ListingsCache cache;
    replaceListings(cache, {written(1, 5, 20)}, at(2), Millis{0});
    EXPECT_TRUE(applyTopicRecord(cache, written(2, 9, 1, true), Millis{0}));
    EXPECT_FALSE(applyTopicRecord(cache, written(3, 5, 21), Millis{0}));
    EXPECT_FALSE(applyListing(cache, written(3, 5, 21), Millis{0})) << "forwarded by a VM that didn't know better";
    EXPECT_TRUE(cache.listings.at("a").entry->draining);
    EXPECT_TRUE(applyTopicRecord(cache, removed("a", 4), Millis{0}));
    EXPECT_FALSE(applyTopicRecord(cache, written(5, 5, 22), Millis{0})) << "behind the removal";
    EXPECT_TRUE(applyTopicRecord(cache, written(6, 10, 1), Millis{0})) << "started again";
}

// An entry of another program, for a service of its own, doesn't hide what the target writes.
TEST(ListingsCacheTest, AnEntryOfAnotherServiceDoesNotHideAnEarlierIncarnation)
{
    ListingsCache cache;
    peer::ListingChange foreign = written(2, 9, 1, true);
    foreign.entry->service = "other";
    replaceListings(cache, {written(1, 5, 20)}, at(2), Millis{0});
    EXPECT_TRUE(applyTopicRecord(cache, foreign, Millis{0}));
    EXPECT_TRUE(applyTopicRecord(cache, written(3, 5, 21), Millis{0}));
    EXPECT_FALSE(cache.listings.at("a").entry->draining);
}

TEST(ListingsCacheTest, AnEntryWithoutItsStartDoesNotHideEarlierWrites)
{
    ListingsCache cache;
    replaceListings(cache, {written(1, 5, 20, true)}, at(2), Millis{0});
    applyTopicRecord(cache, written(2, 0, 3), Millis{0});
    EXPECT_FALSE(applyTopicRecord(cache, written(3, 5, 19), Millis{0})) << "written before 20";
    EXPECT_TRUE(applyTopicRecord(cache, written(4, 5, 21, true), Millis{0}));
    EXPECT_TRUE(cache.listings.at("a").entry->draining);
}

// A relay of an earlier release forwards no numbers: what it told of leaving targets was taken for earlier writes.
TEST(ListingsCacheTest, AChangeWithoutANumberIsOrderedByItsOffset)
{
    ListingsCache cache;
    replaceListings(cache, {written(1, 5, 20)}, at(2), Millis{0});
    EXPECT_TRUE(applyListing(cache, written(2, 5, 0, true), Millis{0}));
    EXPECT_TRUE(cache.listings.at("a").entry->draining);
    EXPECT_FALSE(applyTopicRecord(cache, written(3, 5, 19), Millis{0})) << "the number that was known still counts";
}

TEST(ListingsCacheTest, ARecreatedTopicMayHoldEarlierWrites)
{
    ListingsCache cache;
    replaceListings(cache, {written(100, 5, 20, true)}, at(101), Millis{0});
    EXPECT_EQ(replaceListings(cache, {written(0, 5, 3)}, at(1), Millis{0}).size(), 1U);
    EXPECT_FALSE(cache.listings.at("a").entry->draining);
}

TEST(ListingsCacheTest, ListingsMissingFromASnapshotAreRemoved)
{
    ListingsCache cache;
    replaceListings(cache, {listed("a", 1), listed("b", 2)}, at(3), Millis{0});
    const auto changes = replaceListings(cache, {listed("b", 2)}, at(9), Millis{0});
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().id, "a");
    EXPECT_FALSE(changes.front().entry);
    EXPECT_FALSE(covers(cache, at(3)));
}

TEST(ListingsCacheTest, ASnapshotOfARecreatedTopicReplacesAll)
{
    ListingsCache cache;
    replaceListings(cache, {listed("a", 100, 5), listed("b", 101)}, at(102), Millis{0});
    const auto changes = replaceListings(cache, {listed("a", 0, 6)}, at(1), Millis{0});
    EXPECT_EQ(changes.size(), 2U);
    EXPECT_EQ(cache.end, at(1));
    EXPECT_EQ(cache.listings.at("a").entry->models.front().version, 6);
    EXPECT_FALSE(covers(cache, at(0)));
}

// What a copy of the store holds of a target may be from before it said that it leaves.
TEST(ListingsCacheTest, ALeavingTargetStaysSoWhenTheStoreIsRestored)
{
    ListingsCache cache;
    replaceListings(cache, {written(100, 5, 20, true)}, at(101, 1), Millis{0});
    EXPECT_TRUE(replaceListings(cache, {inEra(written(60, 5, 18), 2)}, at(61, 2), Millis{0}).empty());
    EXPECT_TRUE(cache.listings.at("a").entry->draining);
    EXPECT_EQ(cache.end, at(61, 2));
    EXPECT_FALSE(covers(cache, at(101, 1))) << "VMs of the earlier era get all listings";
    EXPECT_FALSE(applyTopicRecord(cache, inEra(written(61, 5, 19), 2), Millis{0})) << "a write that was under way";
    EXPECT_FALSE(applyTopicRecord(cache, inEra(written(62, 5, 21, true), 2), Millis{0}));
    EXPECT_TRUE(applyTopicRecord(cache, inEra(written(63, 9, 1), 2), Millis{0})) << "born anew";
}

TEST(ListingsCacheTest, ALeavingTargetOfAnUnknownIncarnationStaysSoUntilItWritesAgain)
{
    ListingsCache cache;
    replaceListings(cache, {written(100, 0, 0, true)}, at(101, 1), Millis{0});
    EXPECT_TRUE(replaceListings(cache, {inEra(written(60, 0, 0), 2)}, at(61, 2), Millis{0}).empty());
    EXPECT_TRUE(cache.listings.at("a").entry->draining);
    EXPECT_TRUE(applyTopicRecord(cache, inEra(written(61, 0, 0), 2), Millis{0}));
    EXPECT_FALSE(cache.listings.at("a").entry->draining);
}

TEST(ListingsCacheTest, ATargetThatHasLeftDoesNotReturnWhenTheStoreIsRestored)
{
    ListingsCache cache;
    replaceListings(cache, {written(99, 5, 20)}, at(100, 1), Millis{0});
    applyTopicRecord(cache, inEra(removed("a", 100), 1), Millis{0});
    EXPECT_TRUE(replaceListings(cache, {inEra(written(60, 5, 18), 2)}, at(61, 2), Millis{0}).empty());
    EXPECT_FALSE(cache.listings.at("a").entry);
    EXPECT_TRUE(applyTopicRecord(cache, inEra(written(61, 5, 21), 2), Millis{0})) << "it is there after all";
}

TEST(ListingsCacheTest, AnEarlierIncarnationDoesNotReturnWhenTheStoreIsRestored)
{
    ListingsCache cache;
    replaceListings(cache, {written(100, 900, 3)}, at(101, 1), Millis{0});
    EXPECT_TRUE(replaceListings(cache, {inEra(written(60, 500, 70), 2)}, at(61, 2), Millis{0}).empty());
    EXPECT_EQ(cache.listings.at("a").entry->startedAt, 900);
}

TEST(ListingsCacheTest, AListingThatARestoredStoreLacksIsRemovedUntilItIsWrittenAgain)
{
    ListingsCache cache;
    replaceListings(cache, {written(100, 5, 20)}, at(101, 1), Millis{0});
    ASSERT_EQ(replaceListings(cache, {}, at(50, 2), Millis{0}).size(), 1U);
    EXPECT_FALSE(cache.listings.at("a").entry);
    EXPECT_TRUE(applyTopicRecord(cache, inEra(written(50, 5, 20), 2), Millis{0})) << "with the same number";
}

TEST(ListingsCacheTest, TombstonesArePrunedAndEarlierOffsetsNoLongerCovered)
{
    ListingsCache cache;
    replaceListings(cache, {listed("a", 1), listed("b", 2)}, at(3), Millis{0});
    applyTopicRecord(cache, removed("a", 5), Millis{0});
    EXPECT_TRUE(covers(cache, at(3)));
    pruneTombstones(cache, TombstoneLifetime);
    EXPECT_EQ(cache.listings.size(), 1U);
    EXPECT_FALSE(covers(cache, at(5)));
    EXPECT_TRUE(covers(cache, at(6)));
}

TEST(ListingsCacheTest, AListingRemovedAndAddedAgainUnseenIsForwarded)
{
    ListingsCache relay;
    ListingsCache follower;
    replaceListings(relay, {listed("a", 1)}, at(2), Millis{0});
    replaceListings(follower, {listed("a", 1)}, at(2), Millis{0});
    applyTopicRecord(relay, removed("a", 2), Millis{0});
    applyTopicRecord(relay, listed("a", 3), Millis{0});
    for (const peer::ListingChange &change : changesFrom(relay, at(2))) {
        applyListing(follower, change, Millis{0});
    }
    EXPECT_EQ(changesFrom(follower, at(3)).size(), 1U);
}

peer::ListingChange cold(std::int64_t offset, Millis coldLeft)
{
    peer::ListingChange out = listed("a", offset);
    out.entry->coldLeft = coldLeft;
    return out;
}

// Heartbeats change nothing else, and VMs that weren't told took a target that got no requests for a warm one.
TEST(ListingsCacheTest, AHeartbeatOfAColdTargetIsForwardedUnlessItsColdTimePasses)
{
    ListingsCache cache;
    replaceListings(cache, {cold(3, Millis{9000})}, at(4), Millis{0});
    EXPECT_FALSE(applyTopicRecord(cache, cold(5, Millis{7850}), Millis{1200}));
    EXPECT_TRUE(applyTopicRecord(cache, cold(6, Millis{7850}), Millis{2400}));
    EXPECT_TRUE(applyTopicRecord(cache, cold(7, Millis{7850}), Millis{3600}));
    EXPECT_TRUE(applyTopicRecord(cache, cold(8, Millis{0}), Millis{4800}));
    EXPECT_FALSE(applyTopicRecord(cache, cold(9, Millis{0}), Millis{6000}));
    EXPECT_EQ(changesFrom(cache, at(8)).size(), 1U);
}

TEST(ListingsCacheTest, TheColdTimeOfAForwardedListingIsShortenedByItsAge)
{
    ListingsCache cache;
    replaceListings(cache, {cold(3, Millis{9000}), listed("b", 3)}, at(4), Millis{1000});
    auto changes = allListings(cache);
    shortenColdTimes(changes, cache, Millis{3000});
    EXPECT_EQ(changes[0].entry->coldLeft, Millis{7000});
    EXPECT_EQ(changes[1].entry->coldLeft, Millis{0});
    changes = allListings(cache);
    shortenColdTimes(changes, cache, Millis{20000});
    EXPECT_EQ(changes[0].entry->coldLeft, Millis{1}) << "only the target itself says that it is warm";
}

/// Returns the versions in a cache by the id of their listing, without offsets.
std::map<std::string, std::int64_t> versionsOf(const ListingsCache &cache)
{
    std::map<std::string, std::int64_t> out;
    for (const peer::ListingChange &listing : allListings(cache)) {
        out[listing.id] = listing.entry->models.front().version;
    }
    return out;
}

/// Applies the response of a relay to the cache of a VM that follows it.
void follow(ListingsCache &self, const ListingsCache &relay)
{
    if (relay.end < self.end) {
        return;
    }
    if (!covers(relay, self.end)) {
        replaceListings(self, allListings(relay), relay.end, Millis{0});
    } else {
        for (const peer::ListingChange &change : changesFrom(relay, self.end)) {
            applyListing(self, change, Millis{0});
        }
        self.end = relay.end;
    }
}

// Writers change listings at random; VMs read the topic, update from each other, prune tombstones and restart in any
// order. A VM that knows the topic up to an offset, over any path, knows exactly what the topic held there.
RC_GTEST_PROP(ListingsCacheProperty, OverAnyPathAVmKnowsTheContentOfTheTopicAtItsEnd, ())
{
    std::vector<peer::ListingChange> topic;
    std::vector<std::map<std::string, std::int64_t>> contentAt{{}};
    std::vector<ListingsCache> vms(4);
    const auto read = [&](ListingsCache &vm) {
        const auto end = static_cast<std::int64_t>(topic.size());
        if (!vm.coveredFrom.isKnown()) {
            std::map<std::string, peer::ListingChange> newest;
            for (const peer::ListingChange &change : topic) {
                newest[change.id] = change;
            }
            std::vector<peer::ListingChange> listings;
            for (const auto &[id, change] : newest) {
                if (change.entry) {
                    listings.push_back(change);
                }
            }
            replaceListings(vm, listings, at(end), Millis{0});
            return;
        }
        for (auto offset = vm.end.offset; offset < end; ++offset) {
            applyTopicRecord(vm, topic[static_cast<std::size_t>(offset)], Millis{0});
        }
        vm.end = at(end);
    };
    const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1 << 20));
    for (const int step : steps) {
        ListingsCache &vm = vms[static_cast<std::size_t>(step / 16) % vms.size()];
        ListingsCache &other = vms[static_cast<std::size_t>(step / 64) % vms.size()];
        const auto offset = static_cast<std::int64_t>(topic.size());
        const std::string id(1, static_cast<char>('a' + step / 256 % 3));
        switch (step % 8) {
        case 0:
        case 1:
        case 2:
            topic.push_back(listed(id, offset, step / 1024 % 4));
            contentAt.push_back(contentAt.back());
            contentAt.back()[id] = step / 1024 % 4;
            break;
        case 3:
            topic.push_back(removed(id, offset));
            contentAt.push_back(contentAt.back());
            contentAt.back().erase(id);
            break;
        case 4:
            read(vm);
            break;
        case 5:
        case 6:
            if (vm.coveredFrom.isKnown() && other.coveredFrom.isKnown()) {
                follow(vm, other);
            }
            break;
        default:
            step % 16 == 7 ? pruneTombstones(vm, TombstoneLifetime) : void(vm = {});
        }
        for (const ListingsCache &each : vms) {
            if (each.end.isKnown()) {
                RC_ASSERT(versionsOf(each) == contentAt[static_cast<std::size_t>(each.end.offset)]);
            }
        }
    }
}

std::vector<std::string> domainOf(int vms)
{
    std::vector<std::string> out;
    for (int n = 0; n < vms; ++n) {
        out.push_back("10.0.0." + std::to_string(n));
    }
    return out;
}

TEST(RelayOrderTest, FewVmsReadTheStoreAndServeAllOthers)
{
    for (const int count : {1, 5, 31, 32, 33, 55}) {
        const auto vms = domainOf(count);
        std::set<std::string> readers;
        for (const std::string &vm : vms) {
            if (relaysFor(vm, vms).empty()) {
                readers.insert(vm);
            }
        }
        EXPECT_EQ(readers.size(), 1 + (static_cast<std::size_t>(count) - 1) / VmsPerRelay);
        for (const std::string &vm : vms) {
            const auto relays = relaysFor(vm, vms);
            for (std::size_t n = 0; n < relays.size(); ++n) {
                EXPECT_EQ(readers.contains(relays[n]), n < readers.size());
                EXPECT_NE(relays[n], vm);
            }
        }
        EXPECT_TRUE(readers.contains(relaysFor("10.9.9.9", vms).front()));
    }
}

TEST(RelayOrderTest, RequestingVmsSpreadOverTheRelays)
{
    const auto vms = domainOf(55);
    std::map<std::string, int> requestCounts;
    for (int n = 0; n < 60; ++n) {
        ++requestCounts[relaysFor("10.9.0." + std::to_string(n), vms).front()];
    }
    ASSERT_EQ(requestCounts.size(), 2U);
    for (const auto &[relay, count] : requestCounts) {
        EXPECT_GT(count, 18) << relay;
    }
}

TEST(RelayOrderTest, OnlyRelaysAndTheirBackupServeOthers)
{
    const auto vms = domainOf(40);
    std::set<std::string> serving;
    for (const std::string &vm : vms) {
        const auto relays = relaysFor(vm, vms);
        serving.insert(relays.begin(), relays.end());
    }
    EXPECT_EQ(serving.size(), 3U);
    for (const std::string &vm : vms) {
        EXPECT_EQ(isRelayOrBackup(vm, vms), serving.contains(vm));
    }
}

TEST(RelayOrderTest, ADomainWithoutDaemonsReadsTheStore)
{
    EXPECT_TRUE(relaysFor("10.9.9.9", {}).empty());
}

} // namespace

} // namespace ibislock::feed
