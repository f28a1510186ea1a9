#include "elastic_threads.h"

#include <future>
#include <gtest/gtest.h>
#include <pthread.h>

namespace ibislock::entry
{

namespace
{

/// No system has room for a stack of this size.
constexpr std::size_t ImpossibleStackBytes = 1ULL << 48U;

void setStackBytes(std::size_t bytes)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, bytes);
    pthread_setattr_default_np(&attributes);
    pthread_attr_destroy(&attributes);
}

// Guards against a daemon that ends when the system gives it no further thread.
TEST(ElasticThreadsTest, TasksWaitWhenTheSystemGivesNoThread)
{
    pthread_attr_t before;
    pthread_getattr_default_np(&before);
    ElasticThreads threads({.threadsMax = 4, .waitingMax = 4});
    std::promise<void> first;
    std::promise<void> second;
    setStackBytes(ImpossibleStackBytes);
    EXPECT_NO_THROW(threads.enqueue([&] { first.set_value(); }));
    EXPECT_TRUE(threads.hasBacklog());
    pthread_setattr_default_np(&before);
    pthread_attr_destroy(&before);
    threads.enqueue([&] { second.set_value(); });
    first.get_future().wait();
    second.get_future().wait();
    threads.shutdown();
}

} // namespace

} // namespace ibislock::entry
