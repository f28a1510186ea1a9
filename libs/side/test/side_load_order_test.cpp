// What an engine may load: pieces that were checked a short time before it accepts the order.

#include "load_listener.h"
#include "piece_exchange.h"
#include "side_fixture.h"

#include <thread>

namespace ibislock::side
{

namespace
{

/// A load must not take a piece that has been corrupt for longer than this time.
constexpr Millis CorruptionTolerance{3000};

/// Longer than the tolerance.
constexpr Millis LongPause{3500};

/// An engine whose staged pieces become corrupt, and which judges the loads that it accepts.
class LoadOrderTest : public SideTest
{
protected:
    /// Overwrites a staged piece with other bytes.
    void corrupt(Vm &vm, int piece)
    {
        vm.engine.staged[piece] = "corrupt";
        m_corruptSince[piece] = steadyMillis();
    }

    /// Counts the loads that take a piece of another version, or one that has been corrupt for too long.
    void judgeLoads(Vm &vm, std::int64_t version)
    {
        vm.engine.onAccepted = [this, &vm, version] {
            for (int piece = 0; piece < WeightsStandIn{}.pieces; ++piece) {
                const auto it = m_corruptSince.find(piece);
                const bool good = vm.engine.staged[piece] == lab::pieceBytes({.version = version}, piece);
                const bool tolerated = it != m_corruptSince.end() && vm.engine.staged[piece] == "corrupt"
                    && steadyMillis() - it->second <= CorruptionTolerance;
                if (!good && !tolerated) {
                    ++m_badLoads;
                    return;
                }
            }
        };
    }

    template <typename Holds>
    bool runUntil(Holds holds)
    {
        const Millis end = steadyMillis() + Millis{20000};
        while (!holds() && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(1));
        }
        return holds();
    }

    /// Runs until all staged pieces of a version were read for the order, which has not been sent.
    bool runUntilVerified(Vm &vm, std::int64_t version)
    {
        return runUntil([&] {
            return vm.engine.orders == 0 && vm.engine.holdsWhole({.version = version})
                && vm.engine.stageReads >= WeightsStandIn{}.pieces;
        });
    }

    using WeightsStandIn = lab::WeightsStandIn;

    std::map<int, Millis> m_corruptSince;
    int m_badLoads = 0;
};

TEST_F(LoadOrderTest, PiecesThatBecomeCorruptWhileTheDaemonStandsStillAreNotLoaded)
{
    Vm &vm = add(1);
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    judgeLoads(vm, 2);
    name(2);
    ASSERT_TRUE(runUntilVerified(vm, 2));
    corrupt(vm, 3);
    std::this_thread::sleep_for(LongPause);
    EXPECT_TRUE(runUntilLoaded(2));
    EXPECT_EQ(m_badLoads, 0);
}

TEST_F(LoadOrderTest, PiecesThatBecomeCorruptDuringASlowVerificationAreNotLoaded)
{
    Vm &vm = add(1);
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    judgeLoads(vm, 2);
    name(2);
    ASSERT_TRUE(runUntil([&] { return vm.engine.holdsWhole({.version = 2}); }));
    vm.engine.stageReads = 0;
    vm.engine.readDelay = Millis{500};
    ASSERT_TRUE(runUntil([&] { return vm.engine.stageReads > 0; }));
    corrupt(vm, 0);
    EXPECT_TRUE(runUntilLoaded(2));
    EXPECT_EQ(m_badLoads, 0);
}

TEST_F(LoadOrderTest, APieceThatIsFoundCorruptForAnotherVmBeforeTheOrderIsNotLoaded)
{
    Vm &vm = add(1);
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    name(2);
    ASSERT_TRUE(runUntilVerified(vm, 2));
    corrupt(vm, 3);
    PieceExchange other(m_loop, m_peerPort, Millis{1}, {});
    bool answered = false;
    other.request(vm.ip, {.model = "m", .version = 2, .index = 3}, Millis{2000}, [&](const auto &answer) {
        answered = true;
        EXPECT_TRUE(answer && answer->content == peer::PieceContent::Missing);
    });
    ASSERT_TRUE(runUntil([&] { return answered; }));
    ASSERT_EQ(vm.engine.orders, 0) << "the test needs the response before the order";
    EXPECT_TRUE(runUntilLoaded(2));
    EXPECT_FALSE(vm.engine.loadedSpoilt);
}

TEST_F(LoadOrderTest, AWriteOfASupersededVersionThatTakesEffectLateIsNotLoaded)
{
    Vm &vm = add(1);
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    judgeLoads(vm, 3);
    vm.engine.holdsWrites = true;
    name(2);
    ASSERT_TRUE(runUntil([&] { return m_origin.piecesServed >= 1; }));
    m_loop.run_for(std::chrono::milliseconds(20)); // The write arrives at the engine.
    name(3);
    ASSERT_TRUE(runUntil([&] { return m_origin.manifestsServed == 6; })) << "of three versions, twice each";
    vm.engine.holdsWrites = false;
    ASSERT_TRUE(runUntil([&] { return vm.engine.holdsWhole({.version = 3}); }));
    const Millis end = steadyMillis() + Millis{1500};
    runUntil([&] { return vm.engine.stageReads >= WeightsStandIn{}.pieces || steadyMillis() >= end; });
    ASSERT_EQ(vm.engine.orders, 0);
    vm.engine.applyHeldWrites();
    ASSERT_FALSE(vm.engine.holdsWhole({.version = 3})) << "a write of version 2 must have been held";
    EXPECT_TRUE(runUntilLoaded(3));
    EXPECT_EQ(m_badLoads, 0);
}

TEST_F(LoadOrderTest, AnOrderThatTakesEffectAfterItCountedAsIneffectiveLoadsOneVersion)
{
    Vm &vm = add(1);
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    vm.engine.holdsOrders = true;
    name(2);
    ASSERT_TRUE(runUntil([&] { return vm.engine.delayedOrders == 1; }));
    name(3);
    // The daemon gives the order up; it sends the same one again, or stages the newer version.
    ASSERT_TRUE(runUntil([&] { return vm.engine.delayedOrders == 2 || !vm.engine.holdsWhole({.version = 2}); }));
    vm.engine.holdsOrders = false;
    vm.engine.applyHeldOrders();
    EXPECT_TRUE(runUntilLoaded(3));
    expectNothingSpoilt();
}

TEST_F(LoadOrderTest, AnEngineThatAcceptedItsOrderLateServesOnlyIfItsPiecesStillMatch)
{
    Vm &vm = add(1);
    start();
    LoadListener entry(m_loop, "127.0.1.101", m_peerPort);
    m_loop.run_for(std::chrono::milliseconds(300));
    judgeLoads(vm, 2);
    vm.engine.orderDelay = LongPause + Millis{500};
    name(2);
    ASSERT_TRUE(runUntil([&] { return vm.engine.delayedOrders == 1; }));
    corrupt(vm, 3);
    vm.engine.away = true;
    ASSERT_TRUE(runUntil([&] {
        vm.engine.away = vm.engine.orders == 0;
        return vm.engine.version == 2;
    }));
    ASSERT_EQ(m_badLoads, 1) << "the engine must have accepted the order after the tolerance";
    vm.engine.orderDelay = Millis{0};
    // From now on, entry VMs must be told that the engine takes no requests.
    const Millis end = steadyMillis() + Millis{3000};
    while (steadyMillis() < end) {
        entry.subscribe(vm.ip);
        m_loop.run_for(std::chrono::milliseconds(50));
        const auto load = entry.latest();
        ASSERT_FALSE(load && load->version == 2 && !load->loading);
    }
    // A load of another version ends it.
    judgeLoads(vm, 3);
    name(3);
    EXPECT_TRUE(runUntilLoaded(3));
    EXPECT_TRUE(runUntil([&] {
        entry.subscribe(vm.ip);
        const auto load = entry.latest();
        return load && load->version == 3 && !load->loading;
    }));
    EXPECT_EQ(m_badLoads, 1);
}

TEST_F(LoadOrderTest, AnEngineThatAcceptedItsOrderLateServesAgainOnceItsPiecesAreCheckedAgain)
{
    Vm &vm = add(1);
    start();
    LoadListener entry(m_loop, "127.0.1.101", m_peerPort);
    m_loop.run_for(std::chrono::milliseconds(300));
    vm.engine.orderDelay = LongPause;
    name(2);
    ASSERT_TRUE(runUntil([&] { return vm.engine.delayedOrders == 1; }));
    vm.engine.orderDelay = Millis{0};
    EXPECT_TRUE(runUntilLoaded(2));
    EXPECT_TRUE(runUntil([&] {
        entry.subscribe(vm.ip);
        const auto load = entry.latest();
        return load && load->version == 2 && !load->loading;
    }));
    expectNothingSpoilt();
}

TEST_F(LoadOrderTest, AnEngineIsNotLeftOutBecauseItsPiecesCouldNotBeReadAfterALateOrder)
{
    Vm &vm = add(1);
    start();
    LoadListener entry(m_loop, "127.0.1.101", m_peerPort);
    m_loop.run_for(std::chrono::milliseconds(300));
    vm.engine.orderDelay = LongPause;
    name(2);
    ASSERT_TRUE(runUntil([&] { return vm.engine.delayedOrders == 1; }));
    vm.engine.orderDelay = Millis{0};
    vm.engine.onAccepted = [&vm] {
        vm.engine.stageReads = 0;
    };
    // The pieces are checked again as soon as the daemon knows of the load, maybe before it has ended.
    ASSERT_TRUE(runUntil([&] { return vm.engine.orders == 1 && vm.engine.stageReads > 0; }));
    vm.engine.away = true;
    m_loop.run_for(std::chrono::milliseconds(500));
    vm.engine.away = false;
    ASSERT_TRUE(runUntilLoaded(2));
    EXPECT_TRUE(runUntil([&] {
        entry.subscribe(vm.ip);
        const auto load = entry.latest();
        return load && load->version == 2 && !load->loading;
    }));
}

TEST_F(LoadOrderTest, APieceThatIsStagedAfterALateOrderDoesNotProveItsLoad)
{
    Vm &vm = add(1);
    start();
    LoadListener entry(m_loop, "127.0.1.101", m_peerPort);
    m_loop.run_for(std::chrono::milliseconds(300));
    judgeLoads(vm, 2);
    vm.engine.holdsOrders = true;
    name(2);
    ASSERT_TRUE(runUntil([&] { return vm.engine.delayedOrders == 1; }));
    corrupt(vm, 3);
    const int served = m_origin.piecesServed;
    ASSERT_TRUE(runUntil([&] { return m_origin.piecesServed > served; })) << "the piece must be fetched again";
    vm.engine.holdsOrders = false;
    vm.engine.applyHeldOrders();
    ASSERT_EQ(m_badLoads, 1);
    const Millis end = steadyMillis() + Millis{3000};
    while (steadyMillis() < end) {
        entry.subscribe(vm.ip);
        m_loop.run_for(std::chrono::milliseconds(50));
        const auto load = entry.latest();
        ASSERT_FALSE(load && load->version == 2 && !load->loading);
    }
}

} // namespace

} // namespace ibislock::side
