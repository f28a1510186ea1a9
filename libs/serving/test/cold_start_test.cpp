#include "ibislock/serving/attempt.h"
#include "ibislock/serving/placement.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

constexpr ColdStartTerms Terms{.duration = Millis{10000}, .perSecond = 17, .overshoot = 1.5, .slack = 5};

TargetEntry entryOf(const std::string &id, std::int64_t startedAt, Millis coldLeft = Millis{0})
{
    return {.id = id,
            .service = "s",
            .address = "10.0.0.1:80",
            .domain = "a",
            .slots = 4,
            .startedAt = startedAt,
            .coldLeft = coldLeft};
}

class ColdTargetTest : public testing::Test
{
protected:
    ColdTargetTest()
    {
        applyColdTerms(m_table, {{"s", Terms}});
    }

    void list(std::int64_t startedAt, Millis now, Millis coldLeft = Millis{0})
    {
        applyEntry(m_table, "i-1", entryOf("i-1", startedAt, coldLeft), now);
    }

    void report(std::int64_t startedAt, Millis now, Millis runningFor = Millis{60000})
    {
        recordEngineReport(cold(), {.startedAt = startedAt, .runningFor = runningFor}, now);
    }

    ColdTarget &cold()
    {
        return *m_table.targets.at("i-1").cold;
    }

    ColdPhase phase(Millis now)
    {
        return phaseOf(cold(), now);
    }

    TargetTable m_table;
};

// At the start of a deployment all incarnations are new, and a limit would refuse most requests.
TEST_F(ColdTargetTest, TheFirstKnownIncarnationIsColdOnlyIfItsListingSaysSo)
{
    list(1, Millis{100});
    EXPECT_EQ(phase(Millis{100}), ColdPhase::Warm);
    list(1, Millis{200}, Millis{3000});
    EXPECT_EQ(phase(Millis{3199}), ColdPhase::Cold);
    EXPECT_EQ(phase(Millis{3200}), ColdPhase::Warm);
}

// A listing may be written before the target measures how cold it is.
TEST_F(ColdTargetTest, AnIncarnationThatReplacesAKnownOneIsCold)
{
    list(1, Millis{100});
    list(2, Millis{200});
    EXPECT_EQ(phase(Millis{10199}), ColdPhase::Cold);
    EXPECT_EQ(phase(Millis{10200}), ColdPhase::Warm);
}

TEST_F(ColdTargetTest, ATargetThatSaysThatItHasWarmedIsWarm)
{
    list(1, Millis{100});
    list(2, Millis{200}, Millis{9000});
    list(2, Millis{5000}, Millis{0});
    EXPECT_EQ(phase(Millis{5000}), ColdPhase::Warm);
}

// The listing of an incarnation that crashed is still there when its successor reports.
TEST_F(ColdTargetTest, AReportNamesAnIncarnationBeforeItsListing)
{
    list(1, Millis{100});
    report(1, Millis{200});
    report(2, Millis{500}, Millis{400});
    EXPECT_EQ(phase(Millis{500}), ColdPhase::Cold);
    list(1, Millis{600}); // Written before.
    EXPECT_EQ(phase(Millis{600}), ColdPhase::Cold);
    for (Millis now{700}; now <= Millis{10100}; now += Millis{200}) {
        report(2, now);
    }
    EXPECT_EQ(phase(Millis{10100}), ColdPhase::Warm);
}

// A VM that has just started learns of a restart long ago only now.
TEST_F(ColdTargetTest, AnIncarnationThatHasRunForLongIsWarm)
{
    list(1, Millis{100});
    report(2, Millis{200}, Millis{20000});
    EXPECT_EQ(phase(Millis{200}), ColdPhase::Warm);
}

// A report of the last incarnation that was long under way showed a restarted target as warm.
TEST_F(ColdTargetTest, AReportOfTheIncarnationBeforeDoesNotMakeATargetWarm)
{
    list(1, Millis{100});
    list(2, Millis{200});
    report(1, Millis{300});
    EXPECT_EQ(phase(Millis{300}), ColdPhase::Cold);
    report(2, Millis{600}, Millis{500});
    EXPECT_EQ(phase(Millis{600}), ColdPhase::Cold);
}

TEST_F(ColdTargetTest, ATargetWhoseReportsEndMayHaveRestarted)
{
    list(1, Millis{100});
    report(1, Millis{200});
    EXPECT_EQ(phase(Millis{900}), ColdPhase::Warm);
    EXPECT_EQ(phase(Millis{950}), ColdPhase::Unproven);
    report(1, Millis{1100});
    EXPECT_EQ(phase(Millis{1100}), ColdPhase::Warm);
}

// A domain that was isolated may be cold without a restart; its listings say so some seconds later.
TEST_F(ColdTargetTest, ATargetIsColdForAMomentAfterALongSilence)
{
    list(1, Millis{100});
    report(1, Millis{200});
    for (Millis now{4700}; now < Millis{8000}; now += Millis{300}) {
        report(1, now);
        EXPECT_EQ(phase(now), now < Millis{7700} ? ColdPhase::Cold : ColdPhase::Warm) << now.count();
    }
}

TEST_F(ColdTargetTest, AResetIsADoubtThatALaterReportEnds)
{
    list(1, Millis{100});
    report(1, Millis{200});
    recordConnectionLoss(cold(), true, Millis{300});
    EXPECT_EQ(phase(Millis{300}), ColdPhase::Unproven);
    report(1, Millis{350}); // It may have been sent before the reset.
    EXPECT_EQ(phase(Millis{350}), ColdPhase::Unproven);
    report(1, Millis{700});
    EXPECT_EQ(phase(Millis{700}), ColdPhase::Warm);
}

// On a saturated link each connection takes too long, and nothing of it is due to a restart.
TEST_F(ColdTargetTest, AConnectionThatTakesTooLongIsNoDoubtOfATargetThatReports)
{
    list(1, Millis{100});
    report(1, Millis{200});
    recordConnectionLoss(cold(), false, Millis{300});
    EXPECT_EQ(phase(Millis{300}), ColdPhase::Warm);
}

TEST_F(ColdTargetTest, APlainTargetIsColdFromItsFirstResponseAfterADoubt)
{
    list(1, Millis{100});
    recordConnectionLoss(cold(), false, Millis{300});
    EXPECT_EQ(phase(Millis{60000}), ColdPhase::Unproven);
    recordHeard(cold(), Millis{900}, Millis{1000});
    EXPECT_EQ(phase(Millis{10999}), ColdPhase::Cold);
    EXPECT_EQ(phase(Millis{11000}), ColdPhase::Warm);
}

TEST_F(ColdTargetTest, AResponseThatGoesOnShowsThatTheIncarnationIsUnchanged)
{
    list(1, Millis{100});
    recordConnectionLoss(cold(), true, Millis{300});
    recordHeard(cold(), Millis{200}, Millis{800});
    EXPECT_EQ(phase(Millis{800}), ColdPhase::Warm);
}

// Plain targets that got no request after a doubt would never be used again.
TEST_F(ColdTargetTest, APlainTargetThatStaysListedHasNotRestarted)
{
    list(1, Millis{100});
    recordConnectionLoss(cold(), true, Millis{300});
    recordListingsConfirmed(cold(), Millis{6299});
    EXPECT_EQ(phase(Millis{6299}), ColdPhase::Unproven);
    recordListingsConfirmed(cold(), Millis{6300});
    EXPECT_EQ(phase(Millis{6300}), ColdPhase::Warm);
}

// A target that was unlisted while it was unreachable was taken for one that this VM had never known.
TEST_F(ColdTargetTest, ATargetThatWasUnlistedIsKnown)
{
    list(1, Millis{100});
    applyEntry(m_table, "i-1", std::nullopt, Millis{4000});
    list(1, Millis{5000});
    EXPECT_EQ(phase(Millis{5000}), ColdPhase::Unproven);
    applyEntry(m_table, "i-1", std::nullopt, Millis{5100});
    list(2, Millis{5200});
    EXPECT_EQ(phase(Millis{5200}), ColdPhase::Cold);
}

TEST_F(ColdTargetTest, TargetsOfADomainMayBeColdAfterItsEvacuation)
{
    list(1, Millis{100});
    recordDomainPossiblyCold(m_table, "b", Millis{200});
    EXPECT_EQ(phase(Millis{200}), ColdPhase::Warm);
    recordDomainPossiblyCold(m_table, "a", Millis{200});
    report(1, Millis{300});
    EXPECT_EQ(phase(Millis{300}), ColdPhase::Cold);
}

// Listings that were read before the desired state made all targets warm.
TEST_F(ColdTargetTest, AListingThatPrecedesTheTermsOfItsServiceCounts)
{
    applyColdTerms(m_table, {});
    list(1, Millis{100}, Millis{9000});
    applyColdTerms(m_table, {{"s", Terms}});
    EXPECT_EQ(phase(Millis{9099}), ColdPhase::Cold);
    EXPECT_EQ(phase(Millis{9100}), ColdPhase::Warm);
}

TEST_F(ColdTargetTest, TargetsOfAServiceWithoutALimitAreNotAffected)
{
    applyColdTerms(m_table, {});
    list(1, Millis{100});
    list(2, Millis{200}, Millis{9000});
    Target &target = m_table.targets.at("i-1");
    EXPECT_FALSE(target.cold);
    Random random(1);
    EXPECT_EQ(place(m_table, {.service = "s", .domain = "a", .now = Millis{200}}, random).target, &target);
}

// All entry VMs learn at the same moment that a target is there again.
TEST_F(ColdTargetTest, PlacementLeavesOutAColdTargetUntilThisVmHasATurn)
{
    applyColdEntryVms(m_table, 40);
    list(1, Millis{100});
    list(2, Millis{200});
    Random random(1);
    const PlacementRequest request{.service = "s", .domain = "a", .now = Millis{200}};
    const Placement none = place(m_table, request, random);
    EXPECT_EQ(none.target, nullptr);
    EXPECT_EQ(none.reason, PlacementFailure::BackingOff);
    EXPECT_EQ(none.coldWithoutTurn, 1);
    EXPECT_LE(none.suggestedPause, Millis{100});
    PlacementRequest later = request;
    later.now = none.backoffUntil;
    const Placement turn = place(m_table, later, random);
    ASSERT_NE(turn.target, nullptr);
    recordAttempt(*turn.target, later.now, 0);
    EXPECT_EQ(place(m_table, later, random).target, nullptr);
}

TEST_F(ColdTargetTest, WarmTargetsArePreferred)
{
    list(1, Millis{100});
    list(2, Millis{200});
    TargetEntry other = entryOf("i-2", 1);
    other.address = "10.0.0.2:80";
    other.domain = "b";
    applyEntry(m_table, "i-2", other, Millis{200});
    Random random(1);
    PlacementRequest request{.service = "s", .domain = "a", .now = Millis{200}};
    static_cast<void>(place(m_table, request, random));
    request.now = nextColdTurn(cold(), request.now);
    EXPECT_EQ(place(m_table, request, random).target, &m_table.targets.at("i-2"));
}

// Each VM of a deployment that lost power believes at first that it is alone.
TEST_F(ColdTargetTest, FewSharersAreBelievedOnlyAfterAWhile)
{
    applyColdEntryVms(m_table, AssumedSharers);
    list(1, Millis{100});
    recordSharers(cold(), 1, Millis{200});
    EXPECT_EQ(sharersOf(cold(), Millis{300}), AssumedSharers);
    recordSharers(cold(), 25, Millis{1000});
    EXPECT_EQ(sharersOf(cold(), Millis{6200}), 25);
    recordSharers(cold(), 13, Millis{59000}); // A domain that is isolated has not forgotten the others.
    EXPECT_EQ(sharersOf(cold(), Millis{59000}), 25);
}

} // namespace

} // namespace ibislock::serving
