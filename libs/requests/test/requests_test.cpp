#include "ibislock/requests/response_check.h"
#include "ibislock/requests/routing.h"

#include <gtest/gtest.h>

namespace ibislock::requests
{

namespace
{

Request requestOf()
{
    return {.id = "id", .entryIncarnation = 7, .workspace = "dala", .manifest = sha256("v1")};
}

ResponseEnd endOf(std::uint32_t parts, std::uint64_t bytes)
{
    return {.id = "id",
            .entryIncarnation = 7,
            .workspace = "dala",
            .manifest = sha256("v1"),
            .outcome = Outcome::Answered,
            .parts = parts,
            .bytes = bytes};
}

TEST(ResponseCheckTest, AcceptsACompleteResponse)
{
    ResponseCheck check{.request = requestOf()};
    EXPECT_TRUE(checkPart(check, {.id = "id", .index = 0, .data = "ab"}));
    EXPECT_TRUE(checkPart(check, {.id = "id", .index = 1, .data = "c"}));
    EXPECT_TRUE(checkEnd(check, endOf(2, 3)));
}

/// A response end that must be rejected.
struct EndCase
{
    const char *name;
    ResponseEnd end;
};

class ResponseEndTest : public testing::TestWithParam<EndCase>
{
};

TEST_P(ResponseEndTest, IsRejected)
{
    ResponseCheck check{.request = requestOf()};
    ASSERT_TRUE(checkPart(check, {.id = "id", .index = 0, .data = "ab"}));
    EXPECT_FALSE(checkEnd(check, GetParam().end));
}

std::vector<EndCase> endCases()
{
    ResponseEnd crossed = endOf(1, 2);
    crossed.id = "other";
    ResponseEnd olderEntry = endOf(1, 2);
    olderEntry.entryIncarnation = 6;
    ResponseEnd otherWorkspace = endOf(1, 2);
    otherWorkspace.workspace = "mauritius";
    ResponseEnd otherVersion = endOf(1, 2);
    otherVersion.manifest = sha256("v2");
    return {{"Crossed", crossed},           {"OlderEntry", olderEntry},   {"OtherWorkspace", otherWorkspace},
            {"OtherVersion", otherVersion}, {"MissingPart", endOf(2, 2)}, {"MissingBytes", endOf(1, 3)}};
}

INSTANTIATE_TEST_SUITE_P(Cases, ResponseEndTest, testing::ValuesIn(endCases()),
                         [](const auto &it) { return it.param.name; });

TEST(ResponseCheckTest, RejectsPartsOutOfOrderAndOfOtherRequests)
{
    ResponseCheck check{.request = requestOf()};
    EXPECT_FALSE(checkPart(check, {.id = "id", .index = 1, .data = "ab"}));
    EXPECT_FALSE(checkPart(check, {.id = "other", .index = 0, .data = "ab"}));
}

TEST(RoutingTest, PrefersTheOwnDomain)
{
    RouteState state{.random = Random(1)};
    const std::vector<Candidate> candidates{{.load = 0}, {.sameDomain = true, .load = 9}};
    for (const auto &[policy, name] : RoutingPolicyNames) {
        EXPECT_EQ(chooseTarget(policy, candidates, state), 1U) << name;
    }
    EXPECT_EQ(chooseTarget(RoutingPolicy::Random, {}, state), std::nullopt);
}

} // namespace

} // namespace ibislock::requests
