#include "ibislock/serving/admission.h"
#include "ibislock/serving/placement.h"
#include "ibislock/serving/retry_delay.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

constexpr std::int64_t FirstIncarnation = 1000;
constexpr std::int64_t SecondIncarnation = 2000;

TargetEntry listed(const std::string &id, std::int64_t startedAt = FirstIncarnation)
{
    return {.id = id, .service = "s", .address = "10.0.0.1:1", .domain = "d", .slots = 4, .startedAt = startedAt};
}

Placement placeAt(TargetTable &table, Millis now)
{
    Random random(1);
    return place(table, {.service = "s", .domain = "d", .now = now}, random);
}

TEST(TargetSignalsTest, ATargetThatSignalsDrainingGetsNoMoreRequests)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordDraining(*signalsOf(table, "a", FirstIncarnation, Millis{10}));
    EXPECT_EQ(placeAt(table, Millis{11}).target, nullptr);
    EXPECT_EQ(placeAt(table, Millis{11}).reason, PlacementFailure::Unavailable);
}

TEST(TargetSignalsTest, AListingReadEarlierDoesNotResetDraining)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordDraining(*signalsOf(table, "a", FirstIncarnation, Millis{10}));
    applyEntry(table, "a", listed("a"), Millis{20});
    replaceEntries(table, {listed("a")}, Millis{30});
    EXPECT_EQ(placeAt(table, Millis{31}).target, nullptr);
}

TEST(TargetSignalsTest, ADrainingTargetGetsNoRequestsWhenItsListingIsRemovedAndPublishedAgain)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordDraining(*signalsOf(table, "a", FirstIncarnation, Millis{10}));
    applyEntry(table, "a", std::nullopt, Millis{20});
    ASSERT_TRUE(table.targets.empty());
    applyEntry(table, "a", listed("a"), Millis{2000});
    EXPECT_EQ(placeAt(table, Millis{2001}).target, nullptr);
}

TEST(TargetSignalsTest, ASignalReceivedAfterTheListingWasRemovedIsApplied)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    applyEntry(table, "a", std::nullopt, Millis{20});
    recordDraining(*signalsOf(table, "a", FirstIncarnation, Millis{30}));
    applyEntry(table, "a", listed("a"), Millis{40});
    EXPECT_EQ(placeAt(table, Millis{41}).target, nullptr);
}

TEST(TargetSignalsTest, ANewIncarnationUnderTheSameIdGetsRequests)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordDraining(*signalsOf(table, "a", FirstIncarnation, Millis{10}));
    applyEntry(table, "a", listed("a", SecondIncarnation), Millis{20});
    EXPECT_NE(placeAt(table, Millis{21}).target, nullptr);
    EXPECT_EQ(signalsOf(table, "a", FirstIncarnation, Millis{22}), nullptr);
}

TEST(TargetSignalsTest, RetainedSignalsAreRemovedAfterTheirLifetime)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordDraining(*signalsOf(table, "a", FirstIncarnation, Millis{10}));
    applyEntry(table, "a", std::nullopt, Millis{20});
    expireListings(table, Millis{20} + RetainedTargetLifetime);
    EXPECT_EQ(table.retainedTargets.size(), 1U);
    expireListings(table, Millis{21} + RetainedTargetLifetime);
    EXPECT_TRUE(table.retainedTargets.empty());
}

// One of two targets is overloaded and asks for a backoff of 2 s.
TEST(TargetSignalsTest, RequestsGoToOtherTargetsUntilTheBackoffEnds)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    applyEntry(table, "b", listed("b"), Millis{0});
    recordBackoff(*signalsOf(table, "a", FirstIncarnation, Millis{0}), Millis{2000}, Millis{0});
    int toBackingOff = 0;
    for (int n = 0; n < 50; ++n) {
        toBackingOff += placeAt(table, Millis{n * 40}).target->entry.id == "a" ? 1 : 0;
    }
    EXPECT_EQ(toBackingOff, 0);
    EXPECT_TRUE(acceptsRequests(table.targets.at("a").signals, Millis{2000}));
}

TEST(TargetSignalsTest, AShorterBackoffDoesNotEndALongerOne)
{
    TargetSignals signals;
    recordBackoff(signals, Millis{5000}, Millis{0});
    recordBackoff(signals, Millis{100}, Millis{10});
    EXPECT_EQ(signals.backoffUntil, Millis{5000});
}

TEST(TargetSignalsTest, BackoffIsLimitedToAnHour)
{
    TargetSignals signals;
    recordBackoff(signals, Millis{std::int64_t{1'000'000'000'000}}, Millis{0});
    EXPECT_EQ(signals.backoffUntil, MaxBackoff);
}

// All targets of a service ask for a backoff. Requests that can't be served are refused at once, with the time at which
// the first target accepts requests again.
TEST(TargetSignalsTest, WhenAllTargetsBackOffTheRetryDelayCoversTheShortestBackoff)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    applyEntry(table, "b", listed("b"), Millis{0});
    recordBackoff(*signalsOf(table, "a", FirstIncarnation, Millis{0}), Millis{2000}, Millis{0});
    recordBackoff(*signalsOf(table, "b", FirstIncarnation, Millis{0}), Millis{1500}, Millis{0});
    const Placement placement = placeAt(table, Millis{500});
    EXPECT_EQ(placement.reason, PlacementFailure::BackingOff);
    EXPECT_EQ(placement.backoffUntil, Millis{1500});
    const AdmissionRequest request{.receivedAt = Millis{500}, .latencyObjective = Millis{300}, .now = Millis{500}};
    EXPECT_EQ(admit(request, placement), AdmissionDecision::RefuseBackingOff);
    Random random(1);
    EXPECT_GT(suggestedRetryDelay(RefusalCause::Full, random, placement.backoffUntil - request.now), Millis{1000});
}

TEST(TargetSignalsTest, ARequestWaitsForABackoffThatEndsSoon)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordBackoff(*signalsOf(table, "a", FirstIncarnation, Millis{0}), Millis{520}, Millis{0});
    const AdmissionRequest request{.receivedAt = Millis{500}, .latencyObjective = Millis{300}, .now = Millis{500}};
    EXPECT_EQ(admit(request, placeAt(table, Millis{500})), AdmissionDecision::Wait);
}

/// What a response to a request that was sent at a time says of the limit of a target, to one of eight entry VMs.
LimitSignal limitSignal(std::optional<double> perSecond, Millis sentAt)
{
    return {.perSecond = perSecond, .sentAt = sentAt, .entryVms = 8};
}

TEST(TargetSignalsTest, RequestsGoToOtherTargetsWhileALimitLeavesNoTurn)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    applyEntry(table, "b", listed("b"), Millis{0});
    Random random(1);
    EXPECT_EQ(
        recordLimit(*signalsOf(table, "a", FirstIncarnation, Millis{0}), limitSignal(1, Millis{0}), random, Millis{0}),
        LimitChange::Named);
    int toLimited = 0;
    for (Millis now{0}; now < Millis{64000}; now += Millis{20}) {
        const Placement placement = placeAt(table, now);
        ASSERT_NE(placement.target, nullptr);
        toLimited += placement.target->entry.id == "a" ? 1 : 0;
        recordAttempt(*placement.target, now, 0);
        placement.target->inFlight = 0;
    }
    EXPECT_LE(toLimited, 8); // Its share of one request a second.
    EXPECT_GT(toLimited, 0);
}

TEST(TargetSignalsTest, WhenAllTargetsNameLimitsTheRetryDelayCoversTheTurnsOfAllEntryVms)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    Random random(1);
    recordLimit(*signalsOf(table, "a", FirstIncarnation, Millis{0}), limitSignal(1, Millis{0}), random, Millis{0});
    const Placement placement = placeAt(table, Millis{0});
    EXPECT_EQ(placement.reason, PlacementFailure::BackingOff);
    EXPECT_EQ(placement.withoutTurn, 1);
    EXPECT_EQ(placement.backoffUntil, acceptsRequestsFrom(table.targets.at("a").signals, Millis{0}));
    EXPECT_LE(placement.suggestedPause, Millis{2000});
}

// A response whose request was sent before this VM learned of the limit may have been sent before the target named it.
TEST(TargetSignalsTest, OnlyAResponseToALaterRequestEndsALimit)
{
    TargetSignals signals;
    Random random(1);
    recordLimit(signals, limitSignal(1, Millis{0}), random, Millis{100});
    EXPECT_EQ(recordLimit(signals, limitSignal({}, Millis{90}), random, Millis{110}), LimitChange::None);
    EXPECT_TRUE(signals.limit);
    EXPECT_EQ(recordLimit(signals, limitSignal(2, Millis{90}), random, Millis{120}), LimitChange::Changed);
    EXPECT_EQ(recordLimit(signals, limitSignal({}, Millis{130}), random, Millis{140}), LimitChange::Ended);
    EXPECT_FALSE(signals.limit);
}

TEST(TargetSignalsTest, ALimitHoldsForOneIncarnationAlsoIfItsListingIsPublishedAgain)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    Random random(1);
    recordLimit(*signalsOf(table, "a", FirstIncarnation, Millis{0}), limitSignal(1, Millis{0}), random, Millis{0});
    applyEntry(table, "a", std::nullopt, Millis{20});
    applyEntry(table, "a", listed("a"), Millis{40});
    EXPECT_TRUE(table.targets.at("a").signals.limit);
    applyEntry(table, "a", listed("a", SecondIncarnation), Millis{60});
    EXPECT_FALSE(table.targets.at("a").signals.limit);
}

} // namespace

} // namespace ibislock::serving
