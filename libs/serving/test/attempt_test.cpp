#include "ibislock/serving/attempt.h"
#include "ibislock/serving/placement.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

constexpr Millis Now{10000};
constexpr std::int64_t FirstStart = 100;
constexpr std::int64_t SecondStart = 200;

/// What is known of the target of an attempt that was sent for version 2.
struct KnownTarget
{
    bool listed = true;
    std::int64_t startedAt = FirstStart;
    std::string address = "10.0.0.1:1";
    std::int64_t listedVersion = 2;
    std::int64_t reportedVersion = 0; ///< 0 without a load report.
    Millis reportAge{0};
};

struct RetiredWeightsCase
{
    std::string name;
    KnownTarget target;
    std::int64_t required = 3;
    bool responseStarted = false;
    bool expected = true;
};

class RetiredWeightsTest : public testing::TestWithParam<RetiredWeightsCase>
{
};

TargetEntry entryOf(std::int64_t startedAt, std::int64_t version, const std::string &address = "10.0.0.1:1")
{
    return {.id = "a",
            .service = "s",
            .address = address,
            .domain = "d",
            .slots = 16,
            .startedAt = startedAt,
            .models = {{"m", version}}};
}

TEST_P(RetiredWeightsTest, DecidesByTheAttemptAndTheIncarnationThatItWasSentTo)
{
    const RetiredWeightsCase &item = GetParam();
    TargetTable table;
    applyEntry(table, "a", entryOf(FirstStart, 2), Millis{0});
    Attempt attempt = startAttempt(table.targets.at("a"), /*engine=*/true, Millis{0});
    attempt.responseStarted = item.responseStarted;
    if (item.target.listed) {
        applyEntry(table, "a", entryOf(item.target.startedAt, item.target.listedVersion, item.target.address),
                   Millis{1});
    } else {
        applyEntry(table, "a", std::nullopt, Millis{1});
    }
    if (item.target.reportedVersion > 0) {
        const Millis at = Now - item.target.reportAge;
        applyLoad(table, "a", {.version = item.target.reportedVersion, .receivedAt = at}, at);
    }
    EXPECT_EQ(mayStartOnRetiredWeights(attempt, table, item.required, Now), item.expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, RetiredWeightsTest,
    testing::Values(
        RetiredWeightsCase{.name = "SameWeights", .target = {}},
        RetiredWeightsCase{.name = "NothingIsRetired", .target = {}, .required = 0, .expected = false},
        RetiredWeightsCase{.name = "OnlyOlderWeightsAreRetired", .target = {}, .required = 2, .expected = false},
        RetiredWeightsCase{.name = "ResponseHasStarted", .target = {}, .responseStarted = true, .expected = false},
        RetiredWeightsCase{.name = "NotListed", .target = {.listed = false}},
        RetiredWeightsCase{.name = "NotListedAndOnlyOlderWeightsAreRetired",
                           .target = {.listed = false},
                           .required = 2,
                           .expected = false},
        RetiredWeightsCase{.name = "ReportsNewWeights", .target = {.reportedVersion = 3}, .expected = false},
        RetiredWeightsCase{.name = "ListsNewWeights", .target = {.listedVersion = 3}, .expected = false},
        RetiredWeightsCase{.name = "ListsNewWeightsButReportsOldOnes",
                           .target = {.listedVersion = 3, .reportedVersion = 2}},
        RetiredWeightsCase{.name = "ReportOfNewWeightsHasExpired",
                           .target = {.reportedVersion = 3, .reportAge = LoadReportLifetime}},
        RetiredWeightsCase{.name = "AnotherIncarnationListsNewWeights",
                           .target = {.startedAt = SecondStart, .listedVersion = 3}},
        RetiredWeightsCase{.name = "ListsNewWeightsAtAnotherAddress",
                           .target = {.address = "10.0.0.2:1", .listedVersion = 3}},
        RetiredWeightsCase{.name = "AnotherIncarnationReportsNewWeights",
                           .target = {.startedAt = SecondStart, .listedVersion = 3, .reportedVersion = 3}}),
    [](const auto &item) { return item.param.name; });

TEST(AttemptTest, ATargetWithoutWeightsHasNoneToRetire)
{
    TargetTable table;
    applyEntry(table, "a", entryOf(FirstStart, 2), Millis{0});
    const Attempt attempt = startAttempt(table.targets.at("a"), /*engine=*/false, Millis{0});
    EXPECT_FALSE(mayStartOnRetiredWeights(attempt, table, 3, Now));
}

/// Sends a number of attempts to the listed target.
std::vector<Attempt> sendAttempts(TargetTable &table, int count)
{
    std::vector<Attempt> out;
    for (int n = 0; n < count; ++n) {
        recordAttempt(table.targets.at("a"), Now, 0);
        out.push_back(startAttempt(table.targets.at("a"), /*engine=*/true, Now));
    }
    return out;
}

void endAttempts(TargetTable &table, const std::vector<Attempt> &attempts, bool success)
{
    for (const Attempt &attempt : attempts) {
        endAttempt(table, attempt, success, Now);
    }
}

TEST(AttemptTest, FailuresOfACrashedIncarnationDontEjectItsSuccessor)
{
    TargetTable table;
    applyEntry(table, "a", entryOf(FirstStart, 2), Now);
    const std::vector<Attempt> attempts = sendAttempts(table, EjectionFailureThreshold);
    applyEntry(table, "a", entryOf(SecondStart, 2), Now);
    endAttempts(table, attempts, /*success=*/false);
    EXPECT_EQ(table.targets.at("a").health.consecutiveFailures, 0);
    EXPECT_EQ(table.targets.at("a").health.ejectedUntil, Millis{0});
}

TEST(AttemptTest, AttemptsAtACrashedIncarnationAreNotInFlightAtItsSuccessor)
{
    TargetTable table;
    applyEntry(table, "a", entryOf(FirstStart, 2), Now);
    const std::vector<Attempt> earlier = sendAttempts(table, 4);
    applyEntry(table, "a", entryOf(SecondStart, 2), Now);
    EXPECT_EQ(table.targets.at("a").inFlight, 0);
    sendAttempts(table, 3);
    endAttempts(table, earlier, /*success=*/true);
    EXPECT_EQ(table.targets.at("a").inFlight, 3);
}

TEST(AttemptTest, AttemptsAtATargetThatIsListedAgainAreStillInFlight)
{
    TargetTable table;
    applyEntry(table, "a", entryOf(FirstStart, 2), Now);
    const std::vector<Attempt> attempts = sendAttempts(table, 4);
    applyEntry(table, "a", std::nullopt, Now);
    endAttempt(table, attempts.front(), /*success=*/true, Now);
    applyEntry(table, "a", entryOf(FirstStart, 2), Now);
    EXPECT_EQ(table.targets.at("a").inFlight, 3);
    sendAttempts(table, 2);
    endAttempt(table, attempts.back(), /*success=*/true, Now);
    EXPECT_EQ(table.targets.at("a").inFlight, 4);
}

/// What changes between the choice of the target "a" in domain "d" and the end of its connecting.
struct ObstacleCase
{
    std::string name;
    std::optional<TargetEntry> listing;
    std::optional<TargetEntry> otherListing;
    std::vector<std::string> regions;
    std::set<std::string, std::less<>> evacuated;
    SendObstacle expected = SendObstacle::None;
};

class SendObstacleTest : public testing::TestWithParam<ObstacleCase>
{
protected:
    static TargetEntry listed(const std::string &domain, std::int64_t startedAt = FirstStart,
                              const std::string &address = "10.0.0.1:1")
    {
        TargetEntry out = entryOf(startedAt, 2, address);
        out.domain = domain;
        return out;
    }

public:
    static std::vector<ObstacleCase> cases()
    {
        const TargetEntry same = listed("d");
        TargetEntry draining = same;
        draining.draining = true;
        return {
            {.name = "Nothing", .listing = same},
            {.name = "PermittedRegion", .listing = same, .regions = {"north"}},
            {.name = "OtherRegion", .listing = same, .regions = {"south"}, .expected = SendObstacle::Residency},
            {.name = "UnknownRegion",
             .listing = listed("x"),
             .regions = {"north"},
             .expected = SendObstacle::Residency},
            {.name = "Evacuated", .listing = same, .evacuated = {"d"}, .expected = SendObstacle::Evacuated},
            {.name = "OtherEvacuated", .listing = same, .evacuated = {"e"}},
            {.name = "Moved", .listing = listed("e"), .regions = {"north"}, .expected = SendObstacle::Residency},
            {.name = "MovedUnrestricted", .listing = listed("e")},
            {.name = "AddressReused",
             .listing = same,
             .otherListing = listed("e"),
             .regions = {"north"},
             .expected = SendObstacle::Residency},
            {.name = "Draining", .listing = draining, .expected = SendObstacle::Draining},
            {.name = "Unlisted", .listing = std::nullopt, .expected = SendObstacle::Unlisted},
            {.name = "StartedAgain", .listing = listed("d", SecondStart), .expected = SendObstacle::Unlisted},
            {.name = "OtherAddress",
             .listing = listed("d", FirstStart, "10.0.0.2:1"),
             .expected = SendObstacle::Unlisted},
        };
    }
};

TEST_P(SendObstacleTest, ARequestIsSentOnlyIfItsTargetIsStillPermitted)
{
    const ObstacleCase &item = GetParam();
    TargetTable table;
    applyEntry(table, "a", listed("d"), Millis{0});
    const Attempt attempt = startAttempt(table.targets.at("a"), /*engine=*/false, Millis{0});
    applyEntry(table, "a", item.listing, Millis{1});
    if (item.otherListing) {
        applyEntry(table, "b", item.otherListing, Millis{1});
    }
    const Residency residency{.routeRegions = item.regions, .workspaceRegions = {}};
    const DomainRegions regions{{"d", "north"}, {"e", "south"}};
    EXPECT_EQ(obstacleOf(table, attempt, {.residency = &residency, .regions = &regions, .evacuated = &item.evacuated}),
              item.expected);
}

INSTANTIATE_TEST_SUITE_P(Cases, SendObstacleTest, testing::ValuesIn(SendObstacleTest::cases()),
                         [](const auto &item) { return item.param.name; });

} // namespace

} // namespace ibislock::serving
