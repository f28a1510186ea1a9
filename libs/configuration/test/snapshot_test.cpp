#include "ibislock/configuration/snapshot_policy.h"
#include "ibislock/configuration/ticket_check.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ibislock::configuration
{

namespace
{

Ticket ticketOf(std::uint64_t number, const std::string &version, std::vector<std::string> vms = {"t1"})
{
    return {.number = number,
            .changes = {{.scope = {.workspace = "*", .role = "forecast"},
                         .assignment = {.model = "frost",
                                        .version = version,
                                        .manifest = sha256(version),
                                        .adapters = {},
                                        .vms = std::move(vms)}}}};
}

/// Creates a log in which writers append snapshots of what they have folded, including stale ones and repeated records.
std::vector<std::string> logOf(const std::vector<std::uint8_t> &choices)
{
    std::vector<std::string> log;
    State writer;
    for (const std::uint8_t choice : choices) {
        if (choice % 5 == 0) {
            log.push_back(encodeRecord(SnapshotRecord{.state = encodeState(writer), .next = writer.next}));
        } else if (choice % 5 == 1 && !log.empty()) {
            log.push_back(log.back());
        } else if (choice % 5 == 2) {
            log.push_back(encodeRecord(ClaimRecord{.vm = "t1", .incarnation = choice}));
        } else {
            log.push_back(encodeRecord(
                TicketRecord{.ticket = ticketOf(choice / 5U % 8U + 1, std::to_string(choice)), .filedBy = "anna"}));
        }
        if ((choice & 0x40U) == 0) {
            while (writer.next < log.size()) {
                fold(writer, writer.next, log[writer.next]);
            }
        }
    }
    return log;
}

State foldAll(const std::vector<std::string> &log)
{
    State state;
    for (std::size_t i = 0; i < log.size(); ++i) {
        fold(state, i, log[i]);
    }
    return state;
}

/// Folds a log that has been trimmed before `first`, as a reader does that starts with an empty state.
State foldTrimmed(const std::vector<std::string> &log, Offset first)
{
    State state;
    Offset scanned = first;
    while (scanned < log.size()) {
        if (state.next >= first) {
            scanned = std::max(scanned, state.next);
            fold(state, state.next, log[state.next]);
            scanned = state.next;
            continue;
        }
        fold(state, scanned, log[scanned]);
        ++scanned;
    }
    while (state.next >= first && state.next < log.size()) {
        fold(state, state.next, log[state.next]);
    }
    return state;
}

TEST(SnapshotTest, TrimmedReaderReachesTheSameStateOrAPrefix)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t> &choices, std::uint8_t cut) {
        const auto log = logOf(choices);
        RC_PRE(!log.empty());
        const Offset first = cut % log.size();
        const State complete = foldAll(log);
        const State fromSnapshot = foldTrimmed(log, first);
        if (fromSnapshot.next == complete.next) {
            RC_ASSERT(fromSnapshot == complete);
            RC_ASSERT(stateDigest(fromSnapshot) == stateDigest(complete));
        } else {
            const std::vector<std::string> prefix(log.begin(),
                                                  log.begin() + static_cast<std::ptrdiff_t>(fromSnapshot.next));
            RC_ASSERT(fromSnapshot == foldAll(prefix));
            RC_ASSERT(fromSnapshot.next < first);
        }
    }));
}

TEST(SnapshotTest, MergeOfStatesIsCommutativeAssociativeAndIdempotent)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t> &choices, std::uint8_t x, std::uint8_t y, std::uint8_t z) {
        const auto log = logOf(choices);
        const auto prefix = [&log](std::uint8_t length) {
            return foldAll({log.begin(), log.begin() + length % (static_cast<int>(log.size()) + 1)});
        };
        const auto merged = [](State a, const State &b) {
            adoptIfNewer(a, b);
            return a;
        };
        const State a = prefix(x);
        const State b = prefix(y);
        const State c = prefix(z);
        RC_ASSERT(merged(a, b) == merged(b, a));
        RC_ASSERT(merged(a, merged(b, c)) == merged(merged(a, b), c));
        RC_ASSERT(merged(a, a) == a);
    }));
}

TEST(SnapshotTest, DecodersRejectCorruptInputWithAMessage)
{
    const std::string state = encodeState(foldAll(logOf({3, 4, 0, 9, 2})));
    const std::string record = encodeRecord(SnapshotRecord{.state = state, .next = 5});
    EXPECT_TRUE(rc::check([&](std::size_t at, char with, std::size_t length) {
        for (std::string text : {state, record, ticketToJson(ticketOf(1, "a"))}) {
            text[at % text.size()] = with;
            text.resize(text.size() - length % 8);
            const auto decodedState = decodeState(text);
            const auto decodedRecord = decodeRecord(text);
            const auto ticket = ticketFromJson(text);
            RC_ASSERT(decodedState || !decodedState.error().message.empty());
            RC_ASSERT(decodedRecord || !decodedRecord.error().message.empty());
            RC_ASSERT(ticket || !ticket.error().message.empty());
        }
    }));
}

TEST(SnapshotTest, FilingStaysIdempotentBeyondTheAuditTrail)
{
    State state;
    const std::uint64_t count = AuditAcceptedMax + 10;
    for (std::uint64_t number = 1; number <= count; ++number) {
        fold(state, state.next, encodeRecord(TicketRecord{.ticket = ticketOf(number, "a"), .filedBy = "anna"}));
    }
    EXPECT_EQ(findAccepted(state, 1), nullptr);
    EXPECT_EQ(ticketStatusOf(state, 1, contentDigest(ticketOf(1, "a"))), TicketStatus::Accepted);
    EXPECT_EQ(ticketStatusOf(state, 1, contentDigest(ticketOf(1, "b"))), TicketStatus::Taken);
}

TEST(SnapshotTest, RefusedTicketsDoNotEvictAcceptedOnesFromTheAuditTrail)
{
    State state;
    fold(state, 0, encodeRecord(TicketRecord{.ticket = ticketOf(1, "a"), .filedBy = "anna"}));
    for (std::uint64_t i = 0; i < AuditRefusedMax + 10; ++i) {
        fold(state, state.next,
             encodeRecord(TicketRecord{.ticket = ticketOf(1, std::to_string(i)), .filedBy = "boris"}));
    }
    EXPECT_NE(findAccepted(state, 1), nullptr);
    EXPECT_EQ(state.audit.size(), AuditRefusedMax + 1);
}

TEST(SnapshotPolicyTest, IsAppendedByOneVmAndByTheNextIfThatFails)
{
    const SnapshotOptions options{.recordsMax = 16, .rankDelay = Millis(100)};
    SnapshotTracker first;
    SnapshotTracker second;
    recordLogRange(first, 0, 20);
    recordLogRange(second, 0, 20);
    EXPECT_TRUE(isSnapshotDue(first, options, Millis(0), 0));
    EXPECT_FALSE(isSnapshotDue(second, options, Millis(0), 1));
    EXPECT_TRUE(isSnapshotDue(second, options, Millis(100), 1));
    recordSnapshot(second, 20, Millis(100));
    EXPECT_FALSE(isSnapshotDue(second, options, Millis(1000), 1));
}

TEST(SnapshotPolicyTest, IsDueBeforeTheLogTrimsUpToTheLastSnapshot)
{
    const SnapshotOptions options;
    SnapshotTracker tracker;
    recordLogRange(tracker, 100, 160);
    recordSnapshot(tracker, 155, Millis(0));
    EXPECT_FALSE(isSnapshotDue(tracker, options, Millis(0), 0));
    recordLogRange(tracker, 105, 165);
    EXPECT_TRUE(isSnapshotDue(tracker, options, Millis(0), 0));
    EXPECT_LT(tracker.first, tracker.snapshotEnd);
}

TEST(SnapshotPolicyTest, IsDueAfterTheIntervalWithoutNewRecords)
{
    const SnapshotOptions options{.interval = Millis(1000)};
    SnapshotTracker tracker;
    recordLogRange(tracker, 0, 5);
    recordSnapshot(tracker, 5, Millis(0));
    EXPECT_FALSE(isSnapshotDue(tracker, options, Millis(999), 0));
    EXPECT_TRUE(isSnapshotDue(tracker, options, Millis(1000), 0));
}

/// A ticket with one mistake, and the kind of refusal that it must result in.
struct CheckCase
{
    const char *name;
    Ticket ticket;
    RefusalKind expected;
};

class TicketCheckTest : public testing::TestWithParam<CheckCase>
{
};

TEST_P(TicketCheckTest, IsRefusedForItsMistake)
{
    State state;
    fold(state, 0, encodeRecord(TicketRecord{.ticket = ticketOf(1, "a"), .filedBy = "anna"}));
    const TicketCheckContext facts{.targets = std::set<std::string>{"t1", "t2"},
                                   .lookUpVersion = [](const std::string &, const std::string &version) {
                                       return VersionLookup{.isKnown = version != "gone", .manifest = sha256("a")};
                                   }};
    const auto refusals = checkTicket(GetParam().ticket, state, facts);
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals[0].kind, GetParam().expected) << refusals[0].message;
}

Ticket otherScope(Ticket ticket)
{
    ticket.changes[0].scope.role = "digest";
    return ticket;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, TicketCheckTest,
    testing::Values(CheckCase{"TooHigh", ticketOf(3, "a"), RefusalKind::NumberOutOfOrder},
                    CheckCase{"Taken", ticketOf(1, "a", {"t2"}), RefusalKind::NumberTaken},
                    CheckCase{"UnknownVm", ticketOf(2, "a", {"t9"}), RefusalKind::UnknownVm},
                    CheckCase{"UnknownVersion", ticketOf(2, "gone"), RefusalKind::UnknownVersion},
                    CheckCase{"OtherManifest", ticketOf(2, "b"), RefusalKind::ManifestDiffers},
                    CheckCase{"NoTarget", ticketOf(2, "a", {}), RefusalKind::NoTarget},
                    CheckCase{"VmNamedTwice", ticketOf(2, "a", {"t1", "t1"}), RefusalKind::RepeatedVm},
                    CheckCase{"VmOfAnotherScope", otherScope(ticketOf(2, "a")), RefusalKind::VmClaimedTwice}),
    [](const auto &it) { return it.param.name; });

TEST(TicketNameTest, IsSafeAsASegmentOfAPath)
{
    EXPECT_TRUE(isSafeName("frost-2.1_a"));
    for (const char *name : {"", "..", "a/b", "a b", "-a", "a\n", "é"}) {
        EXPECT_FALSE(isSafeName(name)) << name;
    }
}

} // namespace

} // namespace ibislock::configuration
