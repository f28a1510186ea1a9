#include "ibislock/peer/listings.h"
#include "ibislock/peer/messages.h"
#include "ibislock/peer/records.h"
#include "peer.capnp.h"

#include <capnp/serialize.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>

namespace ibislock::peer
{

namespace
{

/// Returns the body of a message that is prefixed with its length.
std::string frameBody(const std::string &bytes)
{
    FrameReader reader;
    reader.add(bytes);
    return *reader.next();
}

TEST(MessagesTest, ALoadIsDecodedAsItWasEncoded)
{
    const auto read = decodeDatagram(encode(LoadMessage{.incarnation = 7,
                                                        .sequence = 2,
                                                        .running = 3,
                                                        .queued = 4,
                                                        .version = 5,
                                                        .loading = true,
                                                        .entryVmCount = 6,
                                                        .announcements = {{"m", 2, Millis{30}}},
                                                        .loadStartsIn = Millis{70}}));
    ASSERT_TRUE(read);
    const auto &load = std::get<LoadMessage>(*read);
    EXPECT_EQ(load.incarnation, 7U);
    EXPECT_EQ(load.running, 3);
    EXPECT_EQ(load.version, 5);
    EXPECT_TRUE(load.loading);
    EXPECT_EQ(load.entryVmCount, 6);
    EXPECT_EQ(load.loadStartsIn, Millis{70});
    ASSERT_EQ(load.announcements.size(), 1U);
    EXPECT_EQ(load.announcements[0].age, Millis{30});
    EXPECT_TRUE(std::holds_alternative<SubscribeMessage>(*decodeDatagram(encode(SubscribeMessage{}))));
}

TEST(MessagesTest, AQuarantineReportIsDecodedAsItWasEncoded)
{
    const auto read = decodeDatagram(encode(QuarantineMessage{
        .report = {.suspicions = {{.engine = ~0ULL, .part = 2, .age = Millis{3}, .responding = true, .depth = 4}},
                   .answers = {{.part = 5, .age = Millis{6}}},
                   .parts = {{.part = 7, .origin = 8, .age = Millis{9}, .requestAge = Millis{10}}}}}));
    ASSERT_TRUE(read);
    const auto &report = std::get<QuarantineMessage>(*read).report;
    ASSERT_EQ(report.suspicions.size(), 1U);
    EXPECT_EQ(report.suspicions[0].engine, ~0ULL);
    EXPECT_EQ(report.suspicions[0].part, 2U);
    EXPECT_EQ(report.suspicions[0].age, Millis{3});
    EXPECT_TRUE(report.suspicions[0].responding);
    EXPECT_EQ(report.suspicions[0].depth, 4);
    ASSERT_EQ(report.answers.size(), 1U);
    EXPECT_EQ(report.answers[0].part, 5U);
    EXPECT_EQ(report.answers[0].age, Millis{6});
    ASSERT_EQ(report.parts.size(), 1U);
    EXPECT_EQ(report.parts[0].part, 7U);
    EXPECT_EQ(report.parts[0].origin, 8U);
    EXPECT_EQ(report.parts[0].age, Millis{9});
    EXPECT_EQ(report.parts[0].requestAge, Millis{10});
}

TEST(MessagesTest, RequestsInAQuarantineReportStayRequests)
{
    const serving::Suspect request(7, serving::SuspectKind::Request);
    const auto read = decodeDatagram(encode(QuarantineMessage{.report = {.suspicions = {{.engine = 1, .part = request}},
                                                                         .answers = {{.part = request}},
                                                                         .parts = {{.part = request}}}}));
    ASSERT_TRUE(read);
    const auto &report = std::get<QuarantineMessage>(*read).report;
    EXPECT_EQ(report.suspicions[0].part, request);
    EXPECT_EQ(report.answers[0].part, request);
    EXPECT_EQ(report.parts[0].part, request);
}

// An older VM knows the first three lists only. It would quarantine the digest as a part, which explains the crashes.
TEST(MessagesTest, RequestsAreInNoListThatOlderVmsReadAsParts)
{
    const serving::Suspect request(7, serving::SuspectKind::Request);
    const std::string bytes = encode(QuarantineMessage{.report = {.suspicions = {{.engine = 1, .part = request}},
                                                                  .answers = {{.part = request}},
                                                                  .parts = {{.part = request}}}});
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data(), bytes.size());
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
    const auto report = reader.getRoot<wire::Datagram>().getQuarantine();
    EXPECT_EQ(report.getSuspicions().size(), 0U);
    EXPECT_EQ(report.getAnswers().size(), 0U);
    EXPECT_EQ(report.getParts().size(), 0U);
}

TEST(MessagesTest, APartAndARequestWithTheSameNumberStayApart)
{
    const serving::Suspect request(7, serving::SuspectKind::Request);
    const auto read = decodeDatagram(encode(QuarantineMessage{
        .report = {.suspicions = {{.engine = 4, .part = 7},
                                  {.engine = 1, .part = request, .age = Millis{2}, .responding = true, .depth = 3}},
                   .answers = {{.part = 7, .age = Millis{8}}, {.part = request, .age = Millis{9}}},
                   .parts = {{.part = 7, .origin = 6}, {.part = request, .origin = 5, .age = Millis{11}}}}}));
    ASSERT_TRUE(read);
    const auto &report = std::get<QuarantineMessage>(*read).report;
    ASSERT_EQ(report.suspicions.size(), 2U);
    EXPECT_EQ(report.suspicions[0].part, 7U);
    EXPECT_EQ(report.suspicions[0].engine, 4U);
    EXPECT_EQ(report.suspicions[1].part, request);
    EXPECT_EQ(report.suspicions[1].engine, 1U);
    EXPECT_EQ(report.suspicions[1].age, Millis{2});
    EXPECT_TRUE(report.suspicions[1].responding);
    EXPECT_EQ(report.suspicions[1].depth, 3);
    ASSERT_EQ(report.answers.size(), 2U);
    EXPECT_EQ(report.answers[0].age, Millis{8});
    EXPECT_EQ(report.answers[1].part, request);
    EXPECT_EQ(report.answers[1].age, Millis{9});
    ASSERT_EQ(report.parts.size(), 2U);
    EXPECT_EQ(report.parts[0].origin, 6U);
    EXPECT_EQ(report.parts[1].part, request);
    EXPECT_EQ(report.parts[1].origin, 5U);
    EXPECT_EQ(report.parts[1].age, Millis{11});
}

// A datagram over 1,472 bytes is fragmented, and the receivers' buffers hold 1,500 bytes.
TEST(MessagesTest, TheLargestQuarantineReportFitsIntoADatagram)
{
    constexpr std::size_t MaxDatagram = 1472;
    QuarantineMessage message;
    message.report.suspicions.resize(serving::MaxReportedSuspicions, {.age = Millis{1}});
    message.report.answers.resize(serving::MaxReportedAnswers, {.age = Millis{1}});
    message.report.parts.resize(serving::MaxReportedParts, {.age = Millis{1}});
    EXPECT_LE(encode(message).size(), MaxDatagram);
    const serving::Suspect request(7, serving::SuspectKind::Request);
    message.report.suspicions.back().part = request;
    message.report.answers.back().part = request;
    message.report.parts.back().part = request;
    EXPECT_LE(encode(message).size(), MaxDatagram);
}

RC_GTEST_PROP(MessagesTest, AnyDatagramIsAMessageOrCorrupt, (const std::string &bytes))
{
    const auto read = decodeDatagram(bytes);
    RC_ASSERT(read.has_value() || read.error().code == ErrorCode::Corrupt);
}

RC_GTEST_PROP(MessagesTest, PiecesAreDecodedHoweverTheBytesAreSplit, (const std::string &bytes, std::uint8_t cut))
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

TEST(MessagesTest, RecordsAreDecodedAsTheyWereEncoded)
{
    const auto request = decodeRecords(frameBody(encode(RecordsRequest{
        .sequence = 3, .from = {.era = 1, .offset = 7}, .awaitedEnd = {.era = 2, .offset = 9}, .wait = Millis{40}})));
    ASSERT_TRUE(request);
    EXPECT_EQ(std::get<RecordsRequest>(*request).sequence, 3U);
    EXPECT_EQ(std::get<RecordsRequest>(*request).from, (TopicPosition{.era = 1, .offset = 7}));
    EXPECT_EQ(std::get<RecordsRequest>(*request).awaitedEnd, (TopicPosition{.era = 2, .offset = 9}));
    EXPECT_EQ(std::get<RecordsRequest>(*request).wait, Millis{40});

    const std::string value("a\0b", 3);
    const auto update = decodeRecords(frameBody(encode(RecordsUpdate{
        .sequence = 4,
        .end = {.era = 3, .offset = 9},
        .records = {{"k", value, {.era = 3, .offset = 7}}, {"gone", std::nullopt, {.era = 3, .offset = 8}}}})));
    ASSERT_TRUE(update);
    const auto &read = std::get<RecordsUpdate>(*update);
    EXPECT_EQ(read.sequence, 4U);
    EXPECT_EQ(read.end, (TopicPosition{.era = 3, .offset = 9}));
    ASSERT_EQ(read.records.size(), 2U);
    EXPECT_EQ(read.records[0].key, "k");
    EXPECT_EQ(read.records[0].value, value);
    EXPECT_EQ(read.records[0].position, (TopicPosition{.era = 3, .offset = 7}));
    EXPECT_FALSE(read.records[1].value);
    EXPECT_FALSE(read.keys);

    const auto withKeys = decodeRecords(frameBody(encode(RecordsUpdate{.keys = std::vector<std::string>{"k", "l"}})));
    ASSERT_TRUE(withKeys);
    EXPECT_EQ(std::get<RecordsUpdate>(*withKeys).keys, (std::vector<std::string>{"k", "l"}));
}

TEST(MessagesTest, TheNumberOfAWriteIsForwarded)
{
    const ListingChange change{.id = "i-1",
                               .entry = serving::TargetEntry{.id = "i-1", .startedAt = 5},
                               .position = {.offset = 7},
                               .writeNumber = 1'000'000'000'000};
    const auto update = decodeListings(frameBody(encode(ListingsUpdate{.listings = {change}})));
    ASSERT_TRUE(update);
    EXPECT_EQ(std::get<ListingsUpdate>(*update).listings.front().writeNumber, change.writeNumber);
}

TEST(MessagesTest, TheStartOfAnEngineAndTheTimeForWhichItIsColdAreForwarded)
{
    const auto read = decodeDatagram(encode(
        LoadMessage{.loadSubscriberCount = 25, .engineStartedAt = 1'000'000'000'000, .engineRunningFor = Millis{70}}));
    ASSERT_TRUE(read);
    const auto &load = std::get<LoadMessage>(*read);
    EXPECT_EQ(load.loadSubscriberCount, 25);
    EXPECT_EQ(load.engineStartedAt, 1'000'000'000'000);
    EXPECT_EQ(load.engineRunningFor, Millis{70});
    const ListingChange change{.id = "i-1", .entry = serving::TargetEntry{.id = "i-1", .coldLeft = Millis{9000}}};
    const auto update = decodeListings(frameBody(encode(ListingsUpdate{.listings = {change}})));
    ASSERT_TRUE(update);
    EXPECT_EQ(std::get<ListingsUpdate>(*update).listings.front().entry, change.entry);
}

// A VM of an earlier version sends none of these fields, which must not be read as an incarnation.
TEST(MessagesTest, ALoadOfAnEarlierVersionNamesNoIncarnation)
{
    capnp::MallocMessageBuilder builder;
    builder.initRoot<wire::Datagram>().initLoad().setRunning(3);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    const auto read = decodeDatagram({reinterpret_cast<const char *>(bytes.begin()), bytes.size()});
    ASSERT_TRUE(read);
    EXPECT_EQ(std::get<LoadMessage>(*read).engineStartedAt, 0);
    EXPECT_EQ(std::get<LoadMessage>(*read).loadSubscriberCount, 0);
}

TEST(MessagesTest, ErasAreForwarded)
{
    const TopicPosition end{.era = 4, .offset = 9};
    const TopicPosition announcementsEnd{.era = 3, .offset = 20};
    const TopicWatermark watermark{.end = end, .announcementsEnd = announcementsEnd, .age = Millis{5}};
    const auto request = decodeListings(frameBody(encode(ListingsRequest{.from = end})));
    ASSERT_TRUE(request);
    EXPECT_EQ(std::get<ListingsRequest>(*request).from, end);
    const ListingChange change{.id = "i-1", .entry = {}, .position = {.era = 4, .offset = 7}};
    const auto update = decodeListings(
        frameBody(encode(ListingsUpdate{.end = end, .listings = {change}, .operatorsWatermark = watermark})));
    ASSERT_TRUE(update);
    const auto &listings = std::get<ListingsUpdate>(*update);
    EXPECT_EQ(listings.end, end);
    EXPECT_EQ(listings.listings.front().position, change.position);
    EXPECT_EQ(listings.operatorsWatermark.end, end);
    EXPECT_EQ(listings.operatorsWatermark.announcementsEnd, announcementsEnd);
    const auto subscription = decodeDatagram(encode(SubscribeMessage{.operatorsWatermark = watermark}));
    ASSERT_TRUE(subscription);
    EXPECT_EQ(std::get<SubscribeMessage>(*subscription).operatorsWatermark.end, end);
    const auto load = decodeDatagram(encode(LoadMessage{.operatorsWatermark = watermark}));
    ASSERT_TRUE(load);
    EXPECT_EQ(std::get<LoadMessage>(*load).operatorsWatermark.announcementsEnd, announcementsEnd);
}

TEST(MessagesTest, StampsAreDecodedAsTheyWereEncoded)
{
    const SendStamps stamps{.sent = ~0ULL, .returned = 1ULL << 63, .heldFor = Millis{1234}};
    const auto same = [&](const SendStamps &read) {
        return read.sent == stamps.sent && read.returned == stamps.returned && read.heldFor == stamps.heldFor;
    };
    const auto subscription = decodeDatagram(encode(SubscribeMessage{.stamps = stamps}));
    EXPECT_TRUE(same(std::get<SubscribeMessage>(*subscription).stamps));
    const auto load = decodeDatagram(encode(LoadMessage{.stamps = stamps}));
    EXPECT_TRUE(same(std::get<LoadMessage>(*load).stamps));
    const auto none = decodeDatagram(encode(LoadMessage{}));
    EXPECT_EQ(std::get<LoadMessage>(*none).stamps.returned, 0U);
}

TEST(MessagesTest, EntryVmsAreDecodedWithListings)
{
    const auto request = decodeListings(frameBody(encode(ListingsRequest{.entryVm = "10.0.0.1"})));
    ASSERT_TRUE(request);
    EXPECT_EQ(std::get<ListingsRequest>(*request).entryVm, "10.0.0.1");
    const auto update = decodeListings(frameBody(encode(ListingsUpdate{.entryVms = {"10.0.0.1", "10.0.0.2"}})));
    ASSERT_TRUE(update);
    EXPECT_EQ(std::get<ListingsUpdate>(*update).entryVms, (std::vector<std::string>{"10.0.0.1", "10.0.0.2"}));
}

TEST(MessagesTest, LostRecordsAreDecodedWithListings)
{
    const auto request = decodeListings(frameBody(encode(ListingsRequest{.wantsLostRecords = true})));
    ASSERT_TRUE(request);
    EXPECT_TRUE(std::get<ListingsRequest>(*request).wantsLostRecords);
    const std::string binary("a\0b", 3);
    const auto update = decodeListings(
        frameBody(encode(ListingsUpdate{.lostRecords = {{.key = "config", .value = binary}, {.key = "dropped"}}})));
    ASSERT_TRUE(update);
    const auto &records = std::get<ListingsUpdate>(*update).lostRecords;
    ASSERT_EQ(records.size(), 2U);
    EXPECT_EQ(records[0].key, "config");
    EXPECT_EQ(records[0].value, binary);
    EXPECT_EQ(records[1].key, "dropped");
    EXPECT_FALSE(records[1].value);
}

RC_GTEST_PROP(MessagesTest, AnyBodyIsARecordsMessageOrCorrupt, (const std::string &bytes))
{
    const auto read = decodeRecords(bytes);
    RC_ASSERT(read.has_value() || read.error().code == ErrorCode::Corrupt);
}

} // namespace

} // namespace ibislock::peer
