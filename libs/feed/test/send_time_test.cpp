#include "ibislock/feed/send_time.h"

#include <gtest/gtest.h>

namespace ibislock::feed
{

namespace
{

/// Two VMs whose clocks differ.
class SendTimeTest : public testing::Test
{
protected:
    /// The other VM's clock shows this much more.
    static constexpr Millis Difference{123456};

    /// Lets this VM send at `sentAt`, and the other one receive that at `receivedAt` and respond at `respondedAt`.
    /// @return the stamps of the response.
    peer::SendStamps exchange(Millis sentAt, Millis receivedAt, Millis respondedAt)
    {
        recordStamps(m_otherClock, m_other, stampsFor(m_clock, m_peer, sentAt), receivedAt + Difference);
        return stampsFor(m_otherClock, m_other, respondedAt + Difference);
    }

    SendTimeClock m_clock = makeSendTimeClock(1000, Millis{0});
    SendTimeClock m_otherClock = makeSendTimeClock(987654321, Difference);
    SendTimePeer m_peer; ///< What this VM knows of the other one.
    SendTimePeer m_other; ///< What the other one knows of this VM.
};

TEST_F(SendTimeTest, ADatagramWasSentAfterTheStampThatItReturnsWasHeld)
{
    const peer::SendStamps stamps = exchange(Millis{100}, Millis{130}, Millis{400});
    EXPECT_EQ(recordStamps(m_clock, m_peer, stamps, Millis{900}), Millis{370}) << "it was sent at 400 ms";
}

TEST_F(SendTimeTest, AStampThatIsReturnedLateStillBoundsTheTime)
{
    exchange(Millis{100}, Millis{100}, Millis{200});
    const peer::SendStamps stamps = exchange(Millis{150}, Millis{900}, Millis{950});
    EXPECT_EQ(recordStamps(m_clock, m_peer, stamps, Millis{960}), Millis{200}) << "it was sent at 950 ms";
}

TEST_F(SendTimeTest, WithoutAReturnedStampTheTimeIsUnknown)
{
    const peer::SendStamps first = stampsFor(m_otherClock, m_other, Millis{50} + Difference);
    EXPECT_EQ(recordStamps(m_clock, m_peer, first, Millis{60}), std::nullopt);
    EXPECT_EQ(m_peer.stamp, first.sent) << "the next datagram returns it";
    EXPECT_EQ(recordStamps(m_clock, m_peer, {}, Millis{70}), std::nullopt) << "of an earlier release";
    EXPECT_EQ(m_peer.stamp, first.sent);
}

// An address may belong to another VM or process by now.
TEST_F(SendTimeTest, AStampOfAnotherProcessSaysNothing)
{
    EXPECT_EQ(recordStamps(m_clock, m_peer, {.sent = 5, .returned = 77, .heldFor = Millis{1}}, Millis{100}),
              std::nullopt);
    EXPECT_EQ(recordStamps(m_clock, m_peer, {.sent = 5, .returned = 5000, .heldFor = Millis{1}}, Millis{100}),
              std::nullopt);
    EXPECT_EQ(recordStamps(m_clock, m_peer, {.sent = 5, .returned = 1050, .heldFor = Millis{100}}, Millis{100}),
              std::nullopt)
        << "held for longer than since it was sent";
}

} // namespace

} // namespace ibislock::feed
