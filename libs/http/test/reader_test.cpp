#include "ibislock/http/reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace ibislock::http
{

namespace
{

/// Bytes of a request, and whether the reader must accept them.
struct FramingCase
{
    std::string name;
    std::string bytes;
    bool accepted = false; ///< It is one complete, valid message.
    std::string body;
};

class RequestFramingTest : public testing::TestWithParam<FramingCase>
{
};

TEST_P(RequestFramingTest, AcceptsOnlyValidFraming)
{
    MessageReader reader(MessageKind::Request, {.headBytes = 200, .bodyBytes = 64});
    const auto used = reader.feed(GetParam().bytes);
    EXPECT_EQ(used.has_value() && reader.complete(), GetParam().accepted);
    if (GetParam().accepted) {
        EXPECT_EQ(reader.takeBody(), GetParam().body);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, RequestFramingTest,
    testing::Values(
        FramingCase{"Plain", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true, ""},
        FramingCase{"Length", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", true, "abc"},
        FramingCase{"Chunked", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                    true, "abc"},
        FramingCase{"DuplicateLength", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", false,
                    ""},
        FramingCase{"ChunkedWithLength",
                    "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, ""},
        FramingCase{"NegativeLength", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", false, ""},
        FramingCase{"BadChunkSize", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, ""},
        FramingCase{"CutBody", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", false, ""},
        FramingCase{"CutHead", "GET / HTTP/1.1\r\nHost: a\r\n", false, ""},
        FramingCase{"SpaceInName", "GET / HTTP/1.1\r\nHo st: a\r\n\r\n", false, ""},
        FramingCase{"NoMethod", "\x01\x02\x03\r\n\r\n", false, ""},
        FramingCase{"LargeBody", "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x'), false, ""},
        FramingCase{"LargeWholeHead", "GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n", false, ""},
        FramingCase{"LargeBodyWithSmallHead", "POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n" + std::string(60, 'x'),
                    true, std::string(60, 'x')},
        FramingCase{"OtherMajorVersion", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", false, ""},
        FramingCase{"LargeHead", "GET / HTTP/1.1\r\nX: " + std::string(300, 'x'), false, ""}),
    [](const auto &item) { return item.param.name; });

class BodylessResponseTest : public testing::TestWithParam<int>
{
};

TEST_P(BodylessResponseTest, EndsAfterItsHead)
{
    MessageReader reader(MessageKind::Response, {});
    const std::string head = "HTTP/1.1 " + std::to_string(GetParam()) + " X\r\nContent-Length: 3\r\n\r\n";
    EXPECT_EQ(reader.feed(head + "abc").value(), head.size());
    EXPECT_TRUE(reader.complete());
    EXPECT_EQ(reader.takeBody(), "");
    EXPECT_FALSE(reader.response().closeDelimited);
}

INSTANTIATE_TEST_SUITE_P(Statuses, BodylessResponseTest, testing::Values(100, 103, 204, 304),
                         [](const auto &item) { return std::to_string(item.param); });

TEST(ReaderTest, ResponseToHeadRequestEndsAfterItsHead)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    MessageReader reader(MessageKind::Response, {});
    reader.expectNoBody();
    EXPECT_EQ(reader.feed(head).value(), head.size());
    EXPECT_TRUE(reader.complete());
    reader.next();
    EXPECT_EQ(reader.feed(head + "abc").value(), head.size() + 3) << "the next response has a body again";
}

TEST(ReaderTest, AcceptsHeadOfMaximumSizeInParts)
{
    const std::string head = "GET / HTTP/1.1\r\nX: " + std::string(20, 'x') + "\r\n\r\n";
    MessageReader reader(MessageKind::Request, {.headBytes = head.size()});
    ASSERT_TRUE(reader.feed(head.substr(0, head.size() - 1)));
    ASSERT_TRUE(reader.feed(head.substr(head.size() - 1)));
    EXPECT_TRUE(reader.complete());
}

TEST(ReaderTest, RejectsHeadThatContinuesPastItsLimit)
{
    const std::string part = "GET / HTTP/1.1\r\nX: " + std::string(20, 'x');
    MessageReader reader(MessageKind::Request, {.headBytes = part.size()});
    ASSERT_TRUE(reader.feed(part));
    const auto used = reader.feed("x");
    ASSERT_FALSE(used);
    EXPECT_EQ(used.error().code, ErrorCode::Exhausted);
    EXPECT_TRUE(reader.headTooLarge());
}

// Guards against memory and processor time for framing beside which the body is nothing.
TEST(ReaderTest, RejectsChunksWithMoreFramingThanContent)
{
    MessageReader reader(MessageKind::Request, {});
    ASSERT_TRUE(reader.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"));
    const std::string chunk = "1;" + std::string(1000, 'x') + "\r\na\r\n";
    int accepted = 0;
    while (accepted < 1000 && reader.feed(chunk)) {
        ++accepted;
    }
    EXPECT_GT(accepted, 10);
    EXPECT_LT(accepted, 100);
}

// Guards against a buffer of twice the size of what was received, and against bodies in the smallest chunks being
// refused.
TEST(ReaderTest, ABodyInChunksOfOneByteTakesLittleMoreThanItsBytes)
{
    constexpr std::size_t Bytes = 1 << 20U;
    MessageReader reader(MessageKind::Request, {});
    ASSERT_TRUE(reader.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"));
    for (std::size_t n = 0; n < Bytes; ++n) {
        ASSERT_TRUE(reader.feed("1\r\na\r\n"));
    }
    EXPECT_EQ(reader.bodyBytesRead(), Bytes);
    EXPECT_LT(reader.heldBytes(), Bytes + Bytes / 3);
}

// Guards against a body that is read although its announced length is over the limit.
TEST(ReaderTest, RejectsAnAnnouncedLengthOverTheLimitWithTheHead)
{
    MessageReader reader(MessageKind::Request, {.headBytes = 200, .bodyBytes = 64});
    const auto used = reader.feed("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n");
    ASSERT_FALSE(used);
    EXPECT_EQ(used.error().code, ErrorCode::Exhausted);
    EXPECT_FALSE(reader.headTooLarge());
}

/// The status of a response as text, and whether it is one.
struct StatusCase
{
    std::string name;
    std::string text;
    bool accepted = false;
};

class ResponseStatusTest : public testing::TestWithParam<StatusCase>
{
};

// Guards against a response that is treated as one although nobody can say what it means.
TEST_P(ResponseStatusTest, OnlyHttpStatusesAreResponses)
{
    const std::string bytes = "HTTP/1.1 " + GetParam().text + "\r\nContent-Length: 0\r\n\r\n";
    for (const std::size_t first : {bytes.size(), std::size_t{11}, std::size_t{1}}) {
        MessageReader reader(MessageKind::Response, {});
        const bool read = reader.feed(std::string_view(bytes).substr(0, first))
            && (first == bytes.size() || reader.feed(std::string_view(bytes).substr(first)));
        EXPECT_EQ(read && reader.complete(), GetParam().accepted) << first;
    }
}

INSTANTIATE_TEST_SUITE_P(Cases, ResponseStatusTest,
                         testing::Values(StatusCase{"Ok", "200 OK", true}, StatusCase{"WithoutReason", "503", true},
                                         StatusCase{"Unusual", "599 x", true}, StatusCase{"Lowest", "101 x", true},
                                         StatusCase{"Zero", "000 x"}, StatusCase{"Below", "099 x"},
                                         StatusCase{"Above", "600 x"}, StatusCase{"Largest", "999 x"},
                                         StatusCase{"TwoDigits", "99 x"}, StatusCase{"OneDigit", "2 x"},
                                         StatusCase{"FourDigits", "2000 x"}, StatusCase{"LeadingZero", "0200 x"},
                                         StatusCase{"Letters", "abc x"}, StatusCase{"LetterBehind", "20x"},
                                         StatusCase{"Negative", "-200 x"}, StatusCase{"Empty", " x"}),
                         [](const auto &item) { return item.param.name; });

TEST(ReaderTest, StopsAfterOneMessageAndParsesTheNext)
{
    const std::string one = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
    const std::string two = "GET /b HTTP/1.1\r\nConnection: close\r\n\r\n";
    MessageReader reader(MessageKind::Request, {});
    EXPECT_EQ(reader.feed(one + two).value(), one.size());
    EXPECT_EQ(reader.request().target, "/a");
    reader.next();
    EXPECT_EQ(reader.feed(two).value(), two.size());
    ASSERT_TRUE(reader.complete());
    EXPECT_EQ(reader.request().target, "/b");
    EXPECT_FALSE(reader.request().keepAlive);
}

TEST(ReaderTest, ResponseWithoutFramingEndsWithTheConnection)
{
    MessageReader reader(MessageKind::Response, {});
    ASSERT_TRUE(reader.feed("HTTP/1.1 200 OK\r\n\r\nabc"));
    EXPECT_TRUE(reader.response().closeDelimited);
    EXPECT_FALSE(reader.complete());
    EXPECT_TRUE(reader.finish());
    EXPECT_TRUE(reader.complete());
    EXPECT_EQ(reader.takeBody(), "abc");
}

TEST(ReaderTest, TruncatedResponseIsNotComplete)
{
    MessageReader reader(MessageKind::Response, {});
    ASSERT_TRUE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"));
    EXPECT_FALSE(reader.finish());
    EXPECT_FALSE(reader.complete());
}

TEST(ReaderTest, ChunkedResponseWithoutLastChunkIsNotComplete)
{
    MessageReader reader(MessageKind::Response, {});
    ASSERT_TRUE(reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
    EXPECT_FALSE(reader.finish());
    EXPECT_FALSE(reader.complete());
}

TEST(ReaderTest, LeavesBytesAfterTheResponse)
{
    MessageReader reader(MessageKind::Response, {});
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    EXPECT_EQ(reader.feed(answer + "junk").value(), answer.size());
    EXPECT_TRUE(reader.complete());
}

RC_GTEST_PROP(ReaderTest, ResultDoesNotDependOnHowInputIsSplit,
              (const std::string &body, const std::vector<std::uint8_t> &cuts))
{
    const std::string wire = writeRequest({.method = "POST", .target = "/x"}, body);
    MessageReader reader(MessageKind::Request, {});
    std::size_t at = 0;
    std::string read;
    for (std::size_t n = 0; at < wire.size(); ++n) {
        const std::size_t step = cuts.empty() ? wire.size() : 1 + cuts[n % cuts.size()] % 16;
        const auto used = reader.feed(std::string_view(wire).substr(at, step));
        RC_ASSERT(used.has_value());
        at += *used;
        read += reader.takeBody();
    }
    RC_ASSERT(reader.complete());
    RC_ASSERT(read == body);
}

TEST(MessageTest, RemovesHopByHopHeaders)
{
    Headers headers;
    headers.add("Connection", "close, X-Hop");
    headers.add("x-hop", "1");
    headers.add("Transfer-Encoding", "chunked");
    headers.add("X-End", "2");
    removeHopByHopHeaders(headers);
    ASSERT_EQ(headers.lines.size(), 1U);
    EXPECT_EQ(headers.find("x-end"), "2");
}

} // namespace

} // namespace ibislock::http
