// The schedule of an entry VM in virtual time: how old its listings get, whatever its relay does, and how often it has
// to read the store itself.

#include "ibislock/feed/listings_schedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>

namespace ibislock::feed
{

namespace
{

constexpr Millis DrainTime{2000};
constexpr Millis CallTime{40}; ///< Of a call to the store, or to a relay and back.
constexpr Millis CheckInterval{50}; ///< Of the time limits of held requests, at the relay.

/// The response of a source.
struct Response
{
    Millis arrivesAt{0};
    Millis asOf{0}; ///< When the listings in it were the present ones.
};

/// Returns the response to a request that was sent at a time and may be held; nothing if it is lost.
using Relay = std::function<std::optional<Response>(Millis sentAt, Millis hold)>;

/// Returns the response to a read that was started at a time; nothing if it is lost.
using Store = std::function<std::optional<Response>(Millis startedAt)>;

/// What an entry VM went through.
struct Result
{
    Millis greatestAge{0};
    int ownReads = 0;
};

/// Follows a relay, and reads the store beside it, with the functions under test.
Result follow(Millis length, const Relay &relay, const Store &store)
{
    Result out;
    Millis asOf{0};
    Millis requestAt{0};
    bool pauseDue = false; ///< The pause after the last response is still to be added to `requestAt`.
    std::optional<Response> update;
    Millis ownReadAt = -DrainTime;
    std::array<std::optional<Response>, 2> pages; ///< Of reads that take turns.
    std::size_t nextRead = 0;
    for (Millis now{0}; now < length; ++now) {
        if (update && now >= update->arrivesAt) {
            const bool fresh = now - update->asOf <= fractionOf(DrainTime, MaxAgeFraction);
            asOf = fresh ? std::max(asOf, update->asOf) : asOf;
            update.reset();
        }
        if (now >= requestAt && std::exchange(pauseDue, false)) {
            requestAt = now + requestPause(now - asOf, DrainTime);
        }
        if (now >= requestAt) {
            const Millis hold = relayHoldTime(now - asOf, DrainTime);
            update = relay(now, hold);
            const Millis timeout = now + hold + fractionOf(DrainTime, ResponseMarginFraction);
            if (update && update->arrivesAt > timeout) {
                update.reset();
            }
            requestAt = update ? update->arrivesAt : timeout;
            pauseDue = update.has_value();
        }
        for (std::optional<Response> &page : pages) {
            if (page && now >= page->arrivesAt) {
                asOf = std::max(asOf, page->asOf);
                page.reset();
            }
        }
        const bool due = timeUntilOwnRead(now - asOf, DrainTime, 0) == Millis{0}
            && now - ownReadAt >= ownReadInterval(now - asOf, DrainTime);
        if (due) {
            ++out.ownReads;
            ownReadAt = now;
            std::optional<Response> &page = pages[nextRead];
            nextRead = (nextRead + 1) % pages.size();
            page = store(now);
            if (page && page->arrivesAt > now + fractionOf(DrainTime, OwnReadTimeoutFraction)) {
                page.reset();
            }
        }
        out.greatestAge = std::max(out.greatestAge, now - asOf);
    }
    return out;
}

std::optional<Response> respondingStore(Millis startedAt)
{
    return Response{.arrivesAt = startedAt + CallTime, .asOf = startedAt};
}

std::optional<Response> deadRelay(Millis, Millis)
{
    return std::nullopt;
}

/// A relay whose reads are held to their limit, or whose listings are always as old as they may get.
Relay soundRelay(bool alwaysOldest)
{
    return [alwaysOldest](Millis sentAt, Millis hold) -> std::optional<Response> {
        const Millis longPoll = fractionOf(DrainTime, StoreLongPollFraction);
        const Millis respondedAt = sentAt + hold + (hold > Millis{0} ? CheckInterval : Millis{0});
        const Millis readAt = respondedAt - CallTime;
        return Response{.arrivesAt = respondedAt + CallTime / 2,
                        .asOf = alwaysOldest ? readAt - longPoll : readAt / longPoll * longPoll};
    };
}

TEST(ListingsScheduleTest, WithoutARelayTheListingsAreAsOldAsTheOwnReadAndItsCall)
{
    const Result result = follow(10 * DrainTime, deadRelay, respondingStore);
    EXPECT_LE(result.greatestAge, fractionOf(DrainTime, OwnReadFraction) + CallTime);
    EXPECT_LE(result.ownReads, 21);
}

TEST(ListingsScheduleTest, ALostOwnReadIsRepeatedInTime)
{
    int reads = 0;
    const Result result = follow(10 * DrainTime, deadRelay, [&](Millis startedAt) -> std::optional<Response> {
        return ++reads % 2 == 1 ? std::nullopt : respondingStore(startedAt);
    });
    EXPECT_LE(result.greatestAge, fractionOf(DrainTime, OwnReadFraction + OwnReadIntervalFraction) + CallTime);
}

TEST(ListingsScheduleTest, AReadThatTakesLongerThanTheIntervalIsAwaited)
{
    constexpr Millis SlowCall = DrainTime * 35 / 100;
    const Result result = follow(10 * DrainTime, deadRelay, [=](Millis startedAt) -> std::optional<Response> {
        return Response{.arrivesAt = startedAt + SlowCall, .asOf = startedAt};
    });
    EXPECT_LE(result.greatestAge, fractionOf(DrainTime, OwnReadFraction) + SlowCall);
}

TEST(ListingsScheduleTest, AStoreThatIsAwayIsReadFourTimesInADrainTimeAndLaterOnce)
{
    const auto awayStore = [](Millis) {
        return std::nullopt;
    };
    const int soon = follow(5 * DrainTime, deadRelay, awayStore).ownReads;
    EXPECT_LE(soon, 3 + 4 * 4);
    EXPECT_LE(follow(10 * DrainTime, deadRelay, awayStore).ownReads - soon, 5);
}

TEST(ListingsScheduleTest, BesideASoundRelayTheStoreIsNotRead)
{
    for (const bool alwaysOldest : {false, true}) {
        const Result result = follow(100 * DrainTime, soundRelay(alwaysOldest), respondingStore);
        EXPECT_EQ(result.ownReads, 0) << alwaysOldest;
        EXPECT_LE(result.greatestAge, fractionOf(DrainTime, OwnReadFraction - OwnReadSpreadFraction)) << alwaysOldest;
    }
}

RC_GTEST_PROP(ListingsScheduleProperty, WhateverARelayDoesListingsAreNeverTooOldToBeUsed, ())
{
    // Each response is lost, late or old.
    const auto responses = *rc::gen::container<std::vector<std::pair<int, int>>>(
        64, rc::gen::pair(rc::gen::inRange(0, 1200), rc::gen::inRange(0, 2400)));
    std::size_t next = 0;
    const Result result = follow(
        10 * DrainTime,
        [&](Millis sentAt, Millis) -> std::optional<Response> {
            const auto &[delay, age] = responses[next++ % responses.size()];
            return Response{.arrivesAt = sentAt + Millis{delay + 1}, .asOf = sentAt - Millis{age}};
        },
        respondingStore);
    RC_ASSERT(result.greatestAge <= fractionOf(DrainTime, OwnReadFraction) + CallTime);
}

} // namespace

} // namespace ibislock::feed
