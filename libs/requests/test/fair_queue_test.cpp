#include "ibislock/requests/fair_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ibislock::requests
{

namespace
{

QueuedRequest requestOf(std::uint64_t id, const std::string &workspace, Priority priority = Priority::Normal)
{
    return {.id = id, .workspace = workspace, .priority = priority, .cost = 10, .expiresAt = Millis(1000)};
}

TEST(FairQueueTest, ServesBusyWorkspacesByWeight)
{
    FairQueue queue{.options = {.capacity = 1000, .weights = {{"large", 3}}}};
    for (std::uint64_t i = 0; i < 400; ++i) {
        push(queue, requestOf(i, i % 2 == 0 ? "large" : "small"));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 100; ++i) {
        ++served[pop(queue)->workspace];
    }
    EXPECT_NEAR(served["large"], 75, 2);
}

TEST(FairQueueTest, AnIdleWorkspaceAccumulatesNoCredit)
{
    FairQueue queue{.options = {.capacity = 1000}};
    for (std::uint64_t i = 0; i < 200; ++i) {
        push(queue, requestOf(i, "busy"));
    }
    for (int i = 0; i < 100; ++i) {
        pop(queue);
    }
    for (std::uint64_t i = 0; i < 50; ++i) {
        push(queue, requestOf(1000 + i, "late"));
    }
    int late = 0;
    for (int i = 0; i < 20; ++i) {
        late += pop(queue)->workspace == "late" ? 1 : 0;
    }
    EXPECT_NEAR(late, 10, 1);
}

TEST(FairQueueTest, ShedsTheLowPriorityOfTheHeaviestWorkspaceFirst)
{
    FairQueue queue{.options = {.capacity = 4}};
    push(queue, requestOf(1, "heavy", Priority::High));
    push(queue, requestOf(2, "heavy", Priority::Low));
    push(queue, requestOf(3, "heavy"));
    EXPECT_FALSE(push(queue, requestOf(4, "light", Priority::Low)));
    EXPECT_EQ(push(queue, requestOf(5, "light"))->id, 2U);
    EXPECT_EQ(pop(queue)->id, 1U) << "the high priority is served first";
}

TEST(FairQueueTest, ShedsFromTheWorkspaceServedLastAtEqualBacklogs)
{
    for (const std::string &served : {std::string("a"), std::string("b")}) {
        FairQueue queue{.options = {.capacity = 2}};
        push(queue, requestOf(1, served));
        pop(queue);
        push(queue, requestOf(2, "a"));
        push(queue, requestOf(3, "b"));
        EXPECT_EQ(push(queue, requestOf(4, "c"))->workspace, served);
    }
}

TEST(FairQueueTest, RemovesExpiredAndCancelledRequests)
{
    FairQueue queue;
    QueuedRequest early = requestOf(1, "a");
    early.expiresAt = Millis(5);
    push(queue, early);
    push(queue, requestOf(2, "a"));
    ASSERT_EQ(takeExpired(queue, Millis(5)).size(), 1U);
    EXPECT_FALSE(remove(queue, 1));
    EXPECT_TRUE(remove(queue, 2));
    EXPECT_FALSE(pop(queue));
}

TEST(FairQueueTest, NoRequestIsLostOrReturnedTwice)
{
    rc::check([](const std::vector<std::uint8_t> &operations) {
        FairQueue queue{.options = {.capacity = 5}};
        std::set<std::uint64_t> queued;
        std::uint64_t next = 0;
        for (const std::uint8_t operation : operations) {
            if (operation % 3 == 0) {
                const auto popped = pop(queue);
                RC_ASSERT(popped.has_value() == !queued.empty());
                RC_ASSERT(!popped || queued.erase(popped->id) == 1);
                continue;
            }
            queued.insert(next);
            const auto shed = push(queue, requestOf(next++, std::string(1, static_cast<char>('a' + operation % 4))));
            RC_ASSERT(!shed || queued.erase(shed->id) == 1);
            RC_ASSERT(queue.size == queued.size() && queue.size <= 5);
        }
    });
}

} // namespace

} // namespace ibislock::requests
