#include "ibislock/weights/chunk_store.h"
#include "ibislock/weights/manifest.h"
#include "ibislock/weights/rendezvous.h"
#include "ibislock/weights/rollout.h"
#include "ibislock/weights/token_bucket.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ibislock::weights
{

namespace
{

TEST(ManifestTest, RoundTripsAndIdentifiesContent)
{
    const Manifest manifest = makeManifest("frost", "1", "abcdefgh", 3);
    EXPECT_EQ(manifest.chunks.size(), 3U);
    EXPECT_EQ(chunkSize(manifest, 2), 2U);
    const auto read = manifestFromJson(manifestToJson(manifest));
    ASSERT_TRUE(read) << read.error().message;
    EXPECT_EQ(*read, manifest);
    EXPECT_NE(rootDigest(manifest), rootDigest(makeManifest("frost", "1", "abcdefgi", 3)));
}

TEST(ManifestTest, RejectsACorruptChunk)
{
    const Manifest manifest = makeManifest("frost", "1", "abcdefgh", 3);
    EXPECT_TRUE(verifyChunk(manifest, 0, "abc"));
    EXPECT_FALSE(verifyChunk(manifest, 0, "abd"));
    EXPECT_FALSE(verifyChunk(manifest, 0, "ab"));
    EXPECT_FALSE(verifyChunk(manifest, 3, ""));
}

TEST(ChunkStoreTest, EvictsTheOldestChunkThatIsNotPinned)
{
    const Manifest manifest = makeManifest("frost", "1", "aabbcc", 2);
    ChunkStore store{.maxBytes = 4};
    pin(store, makeManifest("frost", "1", "aa", 2));
    const auto bytes = [](const char *text) {
        return std::make_shared<const std::string>(text);
    };
    EXPECT_TRUE(put(store, manifest.chunks[0], bytes("aa")));
    EXPECT_TRUE(put(store, manifest.chunks[1], bytes("bb")));
    EXPECT_TRUE(put(store, manifest.chunks[2], bytes("cc")));
    EXPECT_NE(get(store, manifest.chunks[0]), nullptr);
    EXPECT_EQ(get(store, manifest.chunks[1]), nullptr);
    EXPECT_EQ(store.usedBytes, 4U);
}

TEST(RendezvousTest, KeepsTheOrderOfTheOthersWhenOneIsRemoved)
{
    EXPECT_TRUE(rc::check([](const std::string &key) {
        const std::vector<std::string> all{"a", "b", "c", "d", "e"};
        auto order = rendezvousOrder(key, all);
        std::erase(order, "c");
        RC_ASSERT(rendezvousOrder(key, std::vector<std::string>{"a", "b", "d", "e"}) == order);
    }));
}

TEST(TokenBucketTest, NeverExceedsItsRate)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint16_t> &sizes) {
        TokenBucket bucket = makeBucket({.bytesPerSecond = 1000, .burstBytes = 500}, Millis(0));
        std::uint64_t total = 0;
        for (const std::uint16_t size : sizes) {
            const Millis wait = reserve(bucket, size, Millis(0));
            total += size;
            RC_ASSERT(static_cast<double>(total) <= 500 + static_cast<double>(wait.count()) + 1e-9);
        }
    }));
}

TEST(RolloutTest, KeepsTheMinimumFractionServing)
{
    std::vector<RolloutMember> members;
    for (int i = 0; i < 10; ++i) {
        members.push_back({.vm = std::to_string(i), .isLive = true});
    }
    std::size_t draining = 0;
    for (const RolloutMember &member : members) {
        draining += mayDrain(members, member.vm, {.minServingFraction = 0.7}) ? 1 : 0;
    }
    EXPECT_EQ(draining, 3U);
}

TEST(RolloutTest, AStalledVmDoesNotBlockTheOthers)
{
    std::vector<RolloutMember> members;
    for (int i = 0; i < 10; ++i) {
        members.push_back({.vm = std::to_string(i), .isLive = true, .isServing = true});
    }
    members[0].isStalled = true;
    const RolloutOptions options{.minServingFraction = 0.7};
    EXPECT_TRUE(mayDrain(members, "3", options)) << "a stalled VM that still serves must not use up the budget";
    members[0].isServing = false;
    EXPECT_FALSE(mayDrain(members, "3", options)) << "a stalled VM that doesn't serve must use up a part of the budget";
    EXPECT_TRUE(mayDrain(members, "2", options));
    for (int i = 0; i < 9; ++i) {
        members[i].isStalled = true;
        members[i].isServing = false;
    }
    EXPECT_TRUE(mayDrain(members, "9", options)) << "the last VM must not wait forever";
}

TEST(RolloutTest, ADeadVmDoesNotBlockTheOthers)
{
    const std::vector<RolloutMember> members{{.vm = "a"}, {.vm = "b", .isLive = true}};
    EXPECT_TRUE(mayDrain(members, "b", {.minServingFraction = 0.9}));
}

} // namespace

} // namespace ibislock::weights
