#include "ibislock/configuration/state.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ibislock::configuration
{

namespace
{

Ticket ticketOf(std::uint64_t number, const std::string &version, const std::string &vm = "t1")
{
    return {.number = number,
            .changes = {
                {.scope = {.workspace = "*", .role = "forecast"},
                 .assignment = {
                     .model = "frost", .version = version, .manifest = sha256(version), .adapters = {}, .vms = {vm}}}}};
}

std::string recordOf(std::uint64_t number, const std::string &version, const std::string &by = "ops")
{
    return encodeRecord(TicketRecord{.ticket = ticketOf(number, version), .filedBy = by, .filedAtMs = 5});
}

TEST(StateTest, AcceptsTheFirstTicketForANumberAndRefusesTheOther)
{
    State state;
    EXPECT_EQ(fold(state, 0, recordOf(1, "a", "anna")), FoldOutcome::Accepted);
    EXPECT_EQ(fold(state, 1, recordOf(1, "b", "boris")), FoldOutcome::Refused);
    EXPECT_EQ(assignmentOf(state, "t1")->assignment.version, "a");
    EXPECT_NE(state.audit.back().reason.find("taken by anna"), std::string::npos) << state.audit.back().reason;
}

TEST(StateTest, AcceptsATicketWithTheSameContentOnlyOnce)
{
    State state;
    EXPECT_EQ(fold(state, 0, recordOf(1, "a")), FoldOutcome::Accepted);
    EXPECT_EQ(fold(state, 1, recordOf(1, "a")), FoldOutcome::Duplicate);
    EXPECT_EQ(state.audit.size(), 1U);
}

TEST(StateTest, RefusesANumberOutOfOrder)
{
    State state;
    EXPECT_EQ(fold(state, 0, recordOf(2, "a")), FoldOutcome::Refused);
    EXPECT_EQ(state.audit.back().reason, "the next number is 1");
}

TEST(StateTest, SkipsMalformedAndNewerRecords)
{
    State state;
    EXPECT_EQ(fold(state, 0, "not json"), FoldOutcome::Skipped);
    EXPECT_EQ(fold(state, 1, R"({"schema": 2, "kind": "ticket"})"), FoldOutcome::Skipped);
    EXPECT_EQ(state.next, 2U);
}

TEST(StateTest, NeedsASnapshotAfterAGap)
{
    State complete;
    fold(complete, 0, recordOf(1, "a"));
    const std::string snapshot = encodeRecord(SnapshotRecord{.state = encodeState(complete), .next = complete.next});
    State late;
    EXPECT_EQ(fold(late, 1, recordOf(2, "b")), FoldOutcome::Gap);
    EXPECT_EQ(late, State{});
    EXPECT_EQ(fold(late, 2, snapshot), FoldOutcome::Adopted);
    EXPECT_EQ(late, complete);
}

TEST(StateTest, ANewerClaimReplacesTheOlder)
{
    State state;
    fold(state, 0, encodeRecord(ClaimRecord{.vm = "t1", .incarnation = 7}));
    fold(state, 1, encodeRecord(ClaimRecord{.vm = "t1", .incarnation = 8, .replaces = 0}));
    EXPECT_EQ(state.claims.at("t1"), (Claim{.incarnation = 8, .fencingToken = 1}));
}

TEST(StateTest, AClaimThatReachesTheLogLateDoesNotReplaceANewerOne)
{
    State state;
    const std::string old = encodeRecord(ClaimRecord{.vm = "t1", .incarnation = 7});
    fold(state, 0, old);
    fold(state, 1, encodeRecord(ClaimRecord{.vm = "t1", .incarnation = 8, .replaces = 0}));
    EXPECT_EQ(fold(state, 2, old), FoldOutcome::Duplicate);
    EXPECT_EQ(state.claims.at("t1"), (Claim{.incarnation = 8, .fencingToken = 1}));
}

TEST(StateTest, EncodingRoundTrips)
{
    State state;
    fold(state, 0, recordOf(1, "a"));
    fold(state, 1, recordOf(2, "b"));
    fold(state, 2, recordOf(2, "c"));
    const auto decoded = decodeState(encodeState(state));
    ASSERT_TRUE(decoded) << decoded.error().message;
    EXPECT_EQ(*decoded, state);
    EXPECT_EQ(stateDigest(*decoded), stateDigest(state));
}

TEST(StateTest, AcceptsOneContentForEachNumberInAnyOrder)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t> &choices) {
        State state;
        std::map<std::uint64_t, Digest> winners;
        Offset offset = 0;
        for (const std::uint8_t choice : choices) {
            const std::uint64_t number = choice % 5 + 1;
            const std::string version = std::to_string(choice / 5);
            const std::uint64_t last = state.lastTicket;
            fold(state, offset++, recordOf(number, version));
            RC_ASSERT(state.lastTicket >= last);
            for (const AuditEntry &entry : state.audit) {
                if (entry.accepted) {
                    RC_ASSERT(winners.emplace(entry.number, entry.content).first->second == entry.content);
                }
            }
        }
    }));
}

/// A ticket document with one mistake, and the text that the error message must contain.
struct TicketCase
{
    const char *name;
    const char *text;
    const char *expected;
};

class TicketFormTest : public testing::TestWithParam<TicketCase>
{
};

TEST_P(TicketFormTest, IsRejectedWithTheNameOfTheField)
{
    const auto ticket = ticketFromJson(GetParam().text);
    ASSERT_FALSE(ticket);
    EXPECT_NE(ticket.error().message.find(GetParam().expected), std::string::npos) << ticket.error().message;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, TicketFormTest,
    testing::Values(
        TicketCase{"NotJson", "{", "JSON"}, TicketCase{"NotAnObject", "[]", "object"},
        TicketCase{"NoNumber", R"({"scopes": []})", "number"},
        TicketCase{"NegativeNumber", R"({"number": -1, "scopes": []})", "number"},
        TicketCase{"NoScopes", R"({"number": 1, "scopes": []})", "scopes"},
        TicketCase{"NoRole", R"({"number": 1, "scopes": [{"workspace": "*"}]})", "role"},
        TicketCase{
            "BadDigest",
            R"({"number": 1, "scopes": [{"workspace": "*", "role": "r", "model": "m", "version": "1", "manifest": "xy"}]})",
            "manifest"}),
    [](const auto &it) { return it.param.name; });

} // namespace

} // namespace ibislock::configuration
