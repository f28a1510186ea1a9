#include "ibislock/feed/operators_watermark.h"
#include "ibislock/feed/send_time.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace ibislock::feed
{

namespace
{

TopicPosition at(std::int64_t offset, std::int64_t era)
{
    return {.era = era, .offset = offset};
}

// The end of a restored topic is lower than the one that was known before.
TEST(OperatorsWatermarkTest, AnEndOfALaterEraReplacesAHigherOffset)
{
    OperatorsWatermark watermark{.end = at(30, 1), .announcementsEnd = at(20, 1), .asOf = Millis{500}};
    EXPECT_TRUE(mergeWatermark(watermark, {.end = at(3, 2), .announcementsEnd = at(1, 2), .asOf = Millis{400}}));
    EXPECT_EQ(watermark.end, at(3, 2));
    EXPECT_EQ(watermark.announcementsEnd, at(1, 2));
    EXPECT_EQ(watermark.asOf, Millis{400}) << "when the topic of the earlier era ended says nothing";
}

TEST(OperatorsWatermarkTest, AnEndOfAnEarlierEraIsIgnored)
{
    OperatorsWatermark watermark{.end = at(3, 2), .asOf = Millis{400}};
    EXPECT_FALSE(mergeWatermark(watermark, {.end = at(30, 1), .asOf = Millis{600}}));
    EXPECT_FALSE(mergeWatermark(watermark, {.end = at(30, 0), .asOf = Millis{600}})) << "of an earlier release";
    EXPECT_EQ(watermark.end, at(3, 2));
    EXPECT_EQ(watermark.asOf, Millis{400});
}

TEST(OperatorsWatermarkTest, AnnouncementsAreOrderedByTheirEra)
{
    OperatorsWatermark watermark{.end = at(30, 1), .announcementsEnd = at(20, 1)};
    recordAnnouncementPosition(watermark, at(2, 2));
    EXPECT_EQ(watermark.announcementsEnd, at(3, 2));
    recordAnnouncementPosition(watermark, at(25, 1));
    EXPECT_EQ(watermark.announcementsEnd, at(3, 2));
}

// Reports arrive in any order and any number of times; each VM ends up with the greatest position.
RC_GTEST_PROP(OperatorsWatermarkProperty, KnowledgeNeverGoesBackAndAllKnowTheNewest, ())
{
    const auto steps = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 1 << 16));
    std::vector<OperatorsWatermark> vms(3);
    TopicPosition store = at(0, 1);
    for (const int step : steps) {
        const auto vm = static_cast<std::size_t>(step / 8) % vms.size();
        const TopicPosition before = vms[vm].end;
        switch (step % 8) {
        case 0:
            store = at(std::max<std::int64_t>(0, store.offset - step / 64 % 6), store.era + 1);
            break;
        case 1:
        case 2:
            ++store.offset;
            break;
        case 3:
        case 4:
            mergeWatermark(vms[vm], {.end = store});
            break;
        default:
            mergeWatermark(vms[vm], vms[static_cast<std::size_t>(step / 64) % vms.size()]);
        }
        RC_ASSERT(vms[vm].end >= before);
        RC_ASSERT(vms[vm].end <= store);
    }
    mergeWatermark(vms.front(), {.end = store});
    for (OperatorsWatermark &vm : vms) {
        mergeWatermark(vm, vms.front());
        RC_ASSERT(vm.end == store);
    }
}

/// A VM of the exchange that `WatermarkExchangeTest` plays in virtual time.
struct ExchangingVm
{
    OperatorsWatermark watermark;
    SendTimeClock clock;
    std::map<std::size_t, SendTimePeer> peers;

    peer::SubscribeMessage send(std::size_t to, Millis now)
    {
        return {.operatorsWatermark = toMessage(watermark, now), .stamps = stampsFor(clock, peers[to], now)};
    }

    void receive(std::size_t from, const peer::SubscribeMessage &message, Millis now)
    {
        const auto sentAfter = recordStamps(clock, peers[from], message.stamps, now);
        mergeWatermark(watermark, fromMessage(message.operatorsWatermark, sentAfter));
    }
};

/// Entry and target VMs that exchange their watermarks after the last VM that reads the store has fallen silent.
class WatermarkExchangeTest : public testing::TestWithParam<int>
{
protected:
    /// How often entry VMs and target VMs send, as the daemons do.
    static constexpr Millis EntryInterval{1000};
    static constexpr Millis TargetInterval{300};

    /// Returns the age of the youngest watermark, `time` after the last read.
    Millis youngestAfter(Millis time)
    {
        for (Millis now{0}; now <= time; ++now) {
            deliver(now);
            for (std::size_t n = 0; n < Vms; ++n) {
                const Millis interval = isEntryVm(n) ? EntryInterval : TargetInterval;
                if ((now + Millis{37 * static_cast<int>(n)}) % interval == Millis{0}) {
                    sendToOthers(n, now);
                }
            }
        }
        Millis out = Millis::max();
        for (const ExchangingVm &vm : m_vms) {
            out = std::min(out, time - vm.watermark.asOf);
        }
        return out;
    }

private:
    static constexpr std::size_t Vms = 12;

    struct Datagram
    {
        std::size_t from = 0;
        std::size_t to = 0;
        peer::SubscribeMessage message;
    };

    static bool isEntryVm(std::size_t n)
    {
        return n % 2 == 0;
    }

    void sendToOthers(std::size_t from, Millis now)
    {
        for (std::size_t to = 0; to < Vms; ++to) {
            if (isEntryVm(to) != isEntryVm(from)) {
                m_underWay.emplace(now + Millis{GetParam()},
                                   Datagram{.from = from, .to = to, .message = m_vms.at(from).send(to, now)});
            }
        }
    }

    void deliver(Millis now)
    {
        while (!m_underWay.empty() && m_underWay.begin()->first <= now) {
            const Datagram datagram = m_underWay.begin()->second;
            m_underWay.erase(m_underWay.begin());
            m_vms.at(datagram.to).receive(datagram.from, datagram.message, now);
        }
    }

    static std::vector<ExchangingVm> vmsThatHaveReadNow()
    {
        std::vector<ExchangingVm> out;
        for (std::size_t n = 0; n < Vms; ++n) {
            out.push_back({.watermark = {.end = at(7, 0), .announcementsEnd = at(3, 0), .asOf = Millis{0}},
                           .clock = makeSendTimeClock(1 + 1'000'000 * n, Millis{0}),
                           .peers = {}});
        }
        return out;
    }

    std::vector<ExchangingVm> m_vms = vmsThatHaveReadNow();
    std::multimap<Millis, Datagram> m_underWay; ///< By the time of their arrival.
};

// A VM that others validate reads the store by itself once the watermark is too old; it must not stay young by the time
// that it is under way.
TEST_P(WatermarkExchangeTest, AWatermarkGetsOlderHoweverLongItIsUnderWay)
{
    constexpr Millis Silence{5000};
    EXPECT_GE(youngestAfter(Silence), Silence);
}

INSTANTIATE_TEST_SUITE_P(Ways, WatermarkExchangeTest, testing::Values(1, 50, 200, 800));

} // namespace

} // namespace ibislock::feed
