#include "ibislock/peer/messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace ibislock::peer
{

namespace
{

TEST(MessagesTest, ALoadComesBackAsItWas)
{
    const auto read = decodeDatagram(encode(LoadMessage{.incarnation = 7,
                                                        .sequence = 2,
                                                        .running = 3,
                                                        .queued = 4,
                                                        .version = 5,
                                                        .loading = true,
                                                        .entryVms = 6,
                                                        .namings = {{"m", 2, Millis{30}}},
                                                        .loadsIn = Millis{70}}));
    ASSERT_TRUE(read);
    const auto &load = std::get<LoadMessage>(*read);
    EXPECT_EQ(load.incarnation, 7U);
    EXPECT_EQ(load.running, 3);
    EXPECT_EQ(load.version, 5);
    EXPECT_TRUE(load.loading);
    EXPECT_EQ(load.entryVms, 6);
    EXPECT_EQ(load.loadsIn, Millis{70});
    ASSERT_EQ(load.namings.size(), 1U);
    EXPECT_EQ(load.namings[0].age, Millis{30});
    EXPECT_TRUE(std::holds_alternative<SubscribeMessage>(*decodeDatagram(encode(SubscribeMessage{}))));
}

RC_GTEST_PROP(MessagesTest, AnyDatagramIsAMessageOrCorrupt, (const std::string &bytes))
{
    const auto read = decodeDatagram(bytes);
    RC_ASSERT(read.has_value() || read.error().code == ErrorCode::Corrupt);
}

RC_GTEST_PROP(MessagesTest, PiecesComeBackHoweverTheBytesAreSplit, (const std::string &bytes, std::uint8_t cut))
{
    const std::string wire =
        encode(PieceMessage{.model = "m", .version = 2, .index = 5, .content = PieceContent::Bytes, .bytes = bytes});
    PieceReader reader;
    const std::size_t at = cut % wire.size();
    reader.add(std::string_view(wire).substr(0, at));
    RC_ASSERT(!reader.next());
    reader.add(std::string_view(wire).substr(at));
    const auto read = reader.next();
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->bytes == bytes);
    RC_ASSERT(read->index == 5);
}

TEST(MessagesTest, ALengthBeyondTheLimitIsCorrupt)
{
    PieceReader reader;
    reader.add("\xff\xff\xff\xff");
    EXPECT_EQ(reader.next().error().code, ErrorCode::Corrupt);
}

} // namespace

} // namespace ibislock::peer
