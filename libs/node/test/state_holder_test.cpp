#include "state_holder.h"

#include <gtest/gtest.h>
#include <thread>

namespace ibislock::node
{

namespace
{

using configuration::TicketRecord;

constexpr std::uint64_t Records = 400;

stores::LogRecord ticketAt(std::uint64_t offset)
{
    const configuration::ScopeChange change{
        .scope = {.workspace = "*", .role = "forecast"},
        .assignment = {.model = "frost", .version = std::to_string(offset), .adapters = {}, .vms = {"t1"}}};
    return {.offset = offset,
            .data = configuration::encodeRecord(
                TicketRecord{.ticket = {.number = offset + 1, .changes = {change}}, .filedBy = "anna"})};
}

/// Takes over a delta as a neighbour does.
void apply(StateHolder &holder, const rpc::StateDelta &delta)
{
    std::vector<stores::LogRecord> records;
    for (std::size_t i = 0; i < delta.records.size(); ++i) {
        records.push_back({.offset = delta.first + i, .data = delta.records[i]});
    }
    holder.foldRecords(records);
}

TEST(StateHolderTest, HandsOverRecordsAtTheirOwnOffsetsWhileOthersFold)
{
    Counters counters;
    StateHolder source(counters);
    StateHolder neighbour(counters);
    std::thread folding([&] {
        for (std::uint64_t offset = 0; offset < Records; offset += 2) {
            const std::vector<stores::LogRecord> page{ticketAt(offset), ticketAt(offset + 1)};
            source.foldRecords(page);
        }
    });
    while (neighbour.state()->next < Records) {
        const auto delta = source.deltaAfter(neighbour.state()->next);
        ASSERT_TRUE(delta.state.empty()) << "the tail is too short for the test";
        apply(neighbour, delta);
    }
    folding.join();
    EXPECT_EQ(*neighbour.state(), *source.state());
}

TEST(StateHolderTest, HandsOverTheWholeStateWhenTheTailIsTooShort)
{
    Counters counters;
    StateHolder source(counters);
    for (std::uint64_t offset = 0; offset < Records; ++offset) {
        const std::vector<stores::LogRecord> page{ticketAt(offset)};
        source.foldRecords(page);
    }
    const auto delta = source.deltaAfter(0);
    const auto state = configuration::decodeState(delta.state);
    ASSERT_TRUE(state) << state.error().message;
    EXPECT_EQ(*state, *source.state());
}

TEST(StateHolderTest, NeverGoesBack)
{
    Counters counters;
    StateHolder holder(counters);
    const std::vector<stores::LogRecord> page{ticketAt(0), ticketAt(1)};
    holder.foldRecords(page);
    const configuration::State known = *holder.state();
    EXPECT_FALSE(holder.adoptState(configuration::State{.next = 1}));
    holder.foldRecords(page);
    EXPECT_EQ(*holder.state(), known);
}

} // namespace

} // namespace ibislock::node
