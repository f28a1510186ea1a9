#include "event_splitter.h"

#include <gtest/gtest.h>

namespace ibislock::front
{

namespace
{

/// The bytes of a stream, and how much of it is complete.
struct SplitCase
{
    std::string name;
    std::string bytes;
    std::string events; ///< The complete events.
    std::int64_t lastId = -1;
    bool hasEvents = true;
    bool inside = false; ///< The bytes end inside an event.
};

class EventSplitterTest : public testing::TestWithParam<SplitCase>
{
};

// The result must not depend on how the bytes are split into reads.
TEST_P(EventSplitterTest, SplitsAtEachByteAlike)
{
    const std::string &bytes = GetParam().bytes;
    for (std::size_t at = 0; at <= bytes.size(); ++at) {
        EventSplitter splitter;
        const std::string first = appendBytes(splitter, bytes.substr(0, at));
        const std::string second = appendBytes(splitter, bytes.substr(at));
        EXPECT_EQ(first + second, GetParam().events) << at;
        EXPECT_EQ(splitter.lastId, GetParam().lastId) << at;
        EXPECT_EQ(splitter.hasEvents, GetParam().hasEvents) << at;
        EXPECT_EQ(endsInsideEvent(splitter), GetParam().inside) << at;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, EventSplitterTest,
    testing::Values(
        SplitCase{"LineFeeds", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2},
        SplitCase{"ReturnsAndLineFeeds", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", 1},
        SplitCase{"Returns", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", 2},
        SplitCase{"InsideALine", "id: 1\n\nid: 2\nda", "id: 1\n\n", 1, true, true},
        SplitCase{"AfterALine", "id: 1\n\nid: 2\ndata: b\n", "id: 1\n\n", 1, true, true},
        SplitCase{"CommentAtTheEnd", "id: 1\n\n: the end\n", "id: 1\n\n", 1, true, false},
        SplitCase{"InsideAComment", "id: 1\n\n: the e", "id: 1\n\n", 1, true, true},
        SplitCase{"EmptyLinesAtTheEnd", "id: 1\n\n\n\r\n", "id: 1\n\n\n\r\n", 1},
        SplitCase{"OnlyComments", ": hello\n\n", ": hello\n\n", -1, false, false},
        SplitCase{"Nothing", "", "", -1, false, false}),
    [](const auto &item) { return item.param.name; });

} // namespace

} // namespace ibislock::front
