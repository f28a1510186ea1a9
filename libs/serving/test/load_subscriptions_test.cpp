#include "ibislock/serving/load_subscriptions.h"

#include <gtest/gtest.h>
#include <map>

namespace ibislock::serving
{

namespace
{

std::vector<SubscriptionCandidate> enginesOf(int count, int domains)
{
    std::vector<SubscriptionCandidate> out;
    for (int n = 0; n < count; ++n) {
        out.push_back({.id = "i-" + std::to_string(n), .domain = std::string(1, static_cast<char>('a' + n % domains))});
    }
    return out;
}

/// Expected numbers of subscriptions of an entry VM in domain "a" to engines of its own and of other domains.
struct SubscriptionCase
{
    std::string name;
    int engines = 0;
    int domains = 0;
    std::size_t own = 0;
    std::size_t other = 0;
};

class LoadSubscriptionCountTest : public testing::TestWithParam<SubscriptionCase>
{
};

TEST_P(LoadSubscriptionCountTest, SubscribesToTheExpectedNumbers)
{
    const auto engines = enginesOf(GetParam().engines, GetParam().domains);
    const auto subscribed = chooseLoadSubscriptions("entry-1", "a", engines);
    std::size_t own = 0;
    for (const SubscriptionCandidate &engine : engines) {
        own += engine.domain == "a" && subscribed.contains(engine.id) ? 1 : 0;
    }
    EXPECT_EQ(own, GetParam().own);
    EXPECT_EQ(subscribed.size() - own, GetParam().other);
}

INSTANTIATE_TEST_SUITE_P(Cases, LoadSubscriptionCountTest,
                         testing::Values(SubscriptionCase{"None", 0, 1, 0, 0},
                                         SubscriptionCase{"AllOfASmallSite", 27, 3, 9, 18},
                                         SubscriptionCase{"OneDomain", 60, 1, 36, 0},
                                         SubscriptionCase{"FewOfTheOwn", 100, 20, 5, 31},
                                         SubscriptionCase{"ALargeSite", 300, 3, 24, 12}),
                         [](const auto &item) { return item.param.name; });

TEST(LoadSubscriptionsTest, EachEngineOfALargeSiteHasSeveralSubscribers)
{
    const auto engines = enginesOf(150, 3);
    std::map<std::string, int> subscribers;
    for (int entry = 0; entry < 99; ++entry) {
        const std::string domain(1, static_cast<char>('a' + entry % 3));
        for (const std::string &id : chooseLoadSubscriptions("entry-" + std::to_string(entry), domain, engines)) {
            ++subscribers[id];
        }
    }
    ASSERT_EQ(subscribers.size(), engines.size());
    for (const auto &[id, count] : subscribers) {
        EXPECT_GE(count, 8) << id; // 24 on average.
        EXPECT_LE(count, 48) << id;
    }
}

TEST(LoadSubscriptionsTest, RemovingOneEngineChangesAtMostOneSubscription)
{
    auto engines = enginesOf(150, 3);
    const auto before = chooseLoadSubscriptions("entry-1", "a", engines);
    engines.erase(engines.begin() + 3);
    const auto after = chooseLoadSubscriptions("entry-1", "a", engines);
    std::size_t kept = 0;
    for (const std::string &id : before) {
        kept += after.contains(id) ? 1 : 0;
    }
    EXPECT_GE(kept + 1, before.size());
}

} // namespace

} // namespace ibislock::serving
