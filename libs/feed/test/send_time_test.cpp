#include "ibislock/feed/send_time.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

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

using Micros = std::chrono::microseconds;

/// A process whose clock differs from true time.
struct SendingProcess
{
    Micros ahead{0};
    SendTimeClock clock;
    SendTimePeer peer;

    Millis read(Micros now) const
    {
        return std::chrono::floor<Millis>(now + ahead);
    }
};

// Datagrams are lost, late, reordered and repeated, and processes start anew, also at the address of another one.
RC_GTEST_PROP(SendTimeProperty, ADatagramIsNeverTakenForYoungerThanItIs, ())
{
    struct Datagram
    {
        std::size_t to = 0;
        peer::SendStamps stamps;
        Micros sentAt{0};
    };
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(200, rc::gen::inRange(0U, 1U << 30U));
    std::vector<SendingProcess> vms(2);
    std::vector<Datagram> sent;
    Micros now{std::chrono::hours{1}};
    std::uint64_t random = 0;
    const auto restart = [&](SendingProcess &vm, std::uint32_t step) {
        random += 0x9e3779b97f4a7c15; // Far from all others.
        vm = {.ahead = Micros{step % 3'000'000}, .clock = {}, .peer = {}};
        vm.clock = makeSendTimeClock(random, vm.read(now));
    };
    restart(vms[0], 1234);
    restart(vms[1], 1'999'999);
    for (const std::uint32_t step : steps) {
        const std::size_t vm = step / 16 % 2;
        const std::uint32_t rest = step / 32;
        if (step % 16 == 0) {
            restart(vms[vm], rest);
        } else if (step % 16 == 1) {
            vms[vm].peer = {};
        } else if (step % 16 < 5) {
            now += Micros{rest % 700'000};
        } else if (step % 16 < 10) {
            sent.push_back(
                {.to = 1 - vm, .stamps = stampsFor(vms[vm].clock, vms[vm].peer, vms[vm].read(now)), .sentAt = now});
        } else if (!sent.empty()) {
            const std::size_t back = std::min<std::size_t>(sent.size(), step % 16 < 14 ? 3 : 40);
            const Datagram &datagram = sent[sent.size() - 1 - rest % back];
            SendingProcess &receiver = vms[datagram.to];
            const auto sentAfter = recordStamps(receiver.clock, receiver.peer, datagram.stamps, receiver.read(now));
            RC_ASSERT(!sentAfter || *sentAfter <= receiver.read(datagram.sentAt) + Millis{1}); // Clocks are rounded.
        }
    }
}

} // namespace

} // namespace ibislock::feed
