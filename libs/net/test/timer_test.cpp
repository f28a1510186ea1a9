#include "ibislock/net/timer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <thread>

namespace ibislock::net
{

namespace
{

constexpr Millis Short{5};

/// Sleeps until a timer that was started with `Short` has expired.
void letItBecomeDue()
{
    std::this_thread::sleep_for(2 * Short);
}

TEST(TimerTest, CallsItsHandlerOnce)
{
    asio::io_context loop;
    Timer timer(loop);
    int calls = 0;
    timer.start(Short, [&] { ++calls; });
    loop.run();
    EXPECT_EQ(calls, 1);
}

/// Runs a handler before that of an expired timer, whose handler is already queued by then.
template <typename Change>
void changeWhileQueued(asio::io_context &loop, Change change)
{
    asio::steady_timer first(loop, asio::steady_timer::time_point{});
    first.async_wait([&](const asio::error_code &) { change(); });
    letItBecomeDue();
    loop.run();
}

TEST(TimerTest, QueuedHandlerDoesNotRunAfterCancel)
{
    asio::io_context loop;
    Timer timer(loop);
    bool ran = false;
    timer.start(Short, [&] { ran = true; });
    changeWhileQueued(loop, [&] { timer.cancel(); });
    EXPECT_FALSE(ran);
}

TEST(TimerTest, QueuedHandlerDoesNotRunAfterRestart)
{
    asio::io_context loop;
    Timer timer(loop);
    std::string ran;
    timer.start(Short, [&] { ran += "old"; });
    changeWhileQueued(loop, [&] { timer.start(Short, [&] { ran += "new"; }); });
    EXPECT_EQ(ran, "new");
}

TEST(TimerTest, QueuedHandlerDoesNotRunAfterDestruction)
{
    asio::io_context loop;
    std::optional<Timer> timer(std::in_place, loop);
    bool ran = false;
    timer->start(Short, [&] { ran = true; });
    changeWhileQueued(loop, [&] { timer.reset(); });
    EXPECT_FALSE(ran);
}

TEST(TimerTest, HandlerMayRestartAndDestroyItsTimer)
{
    asio::io_context loop;
    std::optional<Timer> timer(std::in_place, loop);
    int calls = 0;
    timer->start(Short, [&] {
        ++calls;
        timer->start(Short, [&] {
            ++calls;
            timer.reset();
        });
    });
    loop.run();
    EXPECT_EQ(calls, 2);
}

/// A step of the property test.
enum class Step { Start, Cancel, StandStill, RunSome };

RC_GTEST_PROP(TimerProperty, OnlyTheLastStartedHandlerRunsAndAtMostOnce, ())
{
    asio::io_context loop;
    Timer timer(loop);
    int current = 0; // Number of the handler that may run; 0 for none.
    int started = 0;
    const auto steps = *rc::gen::container<std::vector<Step>>(
        rc::gen::element(Step::Start, Step::Cancel, Step::StandStill, Step::RunSome));
    for (const Step step : steps) {
        switch (step) {
        case Step::Start:
            current = ++started;
            timer.start(Millis{started % 2}, [&current, own = started] {
                RC_ASSERT(own == current);
                current = 0;
            });
            break;
        case Step::Cancel:
            current = 0;
            timer.cancel();
            break;
        case Step::StandStill:
            std::this_thread::sleep_for(Millis{2});
            break;
        case Step::RunSome:
            loop.poll_one();
            loop.restart();
            break;
        }
    }
    loop.run();
    RC_ASSERT(current == 0);
}

} // namespace

} // namespace ibislock::net
