// A sound engine may be silent for a second or so and then go on. Its target daemon must not take that for a failure.

#include "load_listener.h"
#include "platform/log_capture.h"
#include "side_fixture.h"

#include <array>

namespace ibislock::side
{

namespace
{

/// How long an engine is silent.
constexpr Millis Silence{1300};

/// Within this time, a version must be loaded although an engine was silent once.
constexpr Millis LoadBound{6000};

/// VMs whose engines fall silent.
class SilenceTest : public SideTest
{
protected:
    template <typename Holds>
    bool runUntil(Holds holds, Millis time = Millis{20000})
    {
        const Millis end = steadyMillis() + time;
        while (!holds() && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(1));
        }
        return holds();
    }

    /// Starts all daemons and lets them settle on version 1.
    void startSettled()
    {
        start();
        m_loop.run_for(Millis{600});
    }

    /// Makes an engine silent at the first such moment in its stage.
    void silenceAt(Vm &vm, lab::StageEvent event, Millis length = Silence)
    {
        vm.engine.onStage = [this, &vm, event, length](lab::StageEvent now) {
            if (now == event && !std::exchange(m_silenced, true)) {
                vm.engine.freeze(length);
            }
        };
    }

    /// Runs until all engines have loaded a version, which they must do in time.
    void expectLoadedInTime(std::int64_t version)
    {
        const Millis begin = steadyMillis();
        EXPECT_TRUE(runUntilLoaded(version));
        EXPECT_LT(steadyMillis() - begin, LoadBound);
        expectNothingSpoilt();
    }

    /// Runs until entry VMs are told that the engine serves a version.
    void expectServes(const Vm &vm, std::int64_t version)
    {
        LoadListener entry(m_loop, "127.0.1.101", m_peerPort);
        EXPECT_TRUE(runUntil(
            [&] {
                entry.subscribe(vm.ip);
                const auto load = entry.latest();
                return load && load->version == version && !load->loading;
            },
            Millis{3000}));
    }

    /// Runs while an entry VM subscribes to the loads of a VM.
    void runSubscribed(LoadListener &entry, const Vm &vm, Millis time)
    {
        for (const Millis until = steadyMillis() + time; steadyMillis() < until;) {
            entry.subscribe(vm.ip);
            m_loop.run_for(Millis{10});
        }
    }

    /// Runs for a while in which no further order and no copy from the origin must follow.
    void expectNothingFollows()
    {
        const int served = m_origin.piecesServed;
        const auto orders = [this] {
            int sum = 0;
            for (const auto &vm : m_vms) {
                sum += vm->engine.orders + vm->engine.refusedOrders;
            }
            return sum;
        };
        const int before = orders();
        m_loop.run_for(Millis{2500});
        EXPECT_EQ(orders(), before);
        EXPECT_EQ(m_origin.piecesServed, served);
    }

    bool m_silenced = false;
};

TEST_F(SilenceTest, AnIdleEngineIsNotReportedAsLoadingNorOrderedToLoad)
{
    Vm &vm = add(1);
    startSettled();
    const int served = m_origin.piecesServed;
    lab::LogCapture log;
    LoadListener entry(m_loop, "127.0.1.101", m_peerPort);
    vm.engine.freeze(Silence);
    const Millis end = steadyMillis() + Silence + Millis{2500};
    while (steadyMillis() < end) {
        entry.subscribe(vm.ip);
        m_loop.run_for(Millis{50});
        const auto load = entry.latest();
        ASSERT_FALSE(load && (load->loading || load->version != 1));
    }
    EXPECT_EQ(vm.engine.orders + vm.engine.refusedOrders, 0);
    EXPECT_EQ(m_origin.piecesServed, served);
    EXPECT_TRUE(entry.latest());
    EXPECT_TRUE(log.take("The engine doesn't respond to polls.").empty());
}

TEST_F(SilenceTest, TheLastReportIsNotSentAgainAsANewLoad)
{
    Vm &vm = add(1);
    startSettled();
    LoadListener entry(m_loop, "127.0.1.101", m_peerPort);
    runSubscribed(entry, vm, Millis{500});
    vm.engine.freeze(Silence);
    vm.engine.running = 7;
    runSubscribed(entry, vm, Millis{200}); // Loads of reports from before arrive.
    const auto before = entry.latest();
    ASSERT_TRUE(before);
    ASSERT_EQ(before->running, 0);
    runSubscribed(entry, vm, Silence - Millis{300});
    EXPECT_EQ(entry.latest()->sequence, before->sequence);
    runSubscribed(entry, vm, Millis{500});
    EXPECT_EQ(entry.latest()->running, 7);
}

TEST_F(SilenceTest, TheNewsOfADesiredStateDoNotWaitForTheEngine)
{
    constexpr Millis UntilItReadsForOthers{3000};
    constexpr Millis NewsTime{300};
    Vm &vm = add(1);
    start();
    m_loop.run_for(UntilItReadsForOthers);
    LoadListener entry(m_loop, "127.0.1.101", m_peerPort);
    runSubscribed(entry, vm, Millis{500});
    ASSERT_TRUE(entry.latest());
    const TopicPosition before = entry.latest()->operatorsWatermark.end;
    vm.engine.freeze(Silence);
    runSubscribed(entry, vm, Millis{50});
    m_store.append("config", R"({"Version":2,"Services":[]})");
    const Millis begin = steadyMillis();
    EXPECT_TRUE(runUntil([&] { return entry.latest()->operatorsWatermark.end > before; }));
    EXPECT_LT(steadyMillis() - begin, NewsTime);
}

TEST_F(SilenceTest, AnOrderThatIsAnsweredAfterTheSilenceIsGivenOnce)
{
    Vm &vm = add(1);
    startSettled();
    silenceAt(vm, lab::StageEvent::OrderArrives);
    name(2);
    expectLoadedInTime(2);
    EXPECT_TRUE(m_silenced);
    expectServes(vm, 2);
    expectNothingFollows();
    EXPECT_EQ(vm.engine.loadCounts().loads, 1);
    EXPECT_EQ(vm.engine.refusedOrders, 0);
    EXPECT_EQ(m_origin.piecesServed, lab::WeightsStandIn{}.pieces);
}

TEST_F(SilenceTest, AnOrderThatWasAcceptedRightBeforeTheSilenceIsGivenOnce)
{
    Vm &vm = add(1);
    startSettled();
    vm.engine.onAccepted = [this, &vm] {
        if (!std::exchange(m_silenced, true)) {
            vm.engine.freeze(Silence);
        }
    };
    name(2);
    expectLoadedInTime(2);
    EXPECT_TRUE(m_silenced);
    expectServes(vm, 2);
    expectNothingFollows();
    EXPECT_EQ(vm.engine.loadCounts().loads, 1);
    EXPECT_EQ(vm.engine.refusedOrders, 0);
}

TEST_F(SilenceTest, ANewerVersionDoesNotReplaceThePiecesOfAnOrderThatIsNotAnsweredYet)
{
    Vm &vm = add(1);
    startSettled();
    silenceAt(vm, lab::StageEvent::OrderArrives);
    name(2);
    ASSERT_TRUE(runUntil([&] { return m_silenced; }));
    m_loop.run_for(Millis{100});
    name(3);
    expectLoadedInTime(3);
    expectServes(vm, 3);
    EXPECT_EQ(vm.engine.loadCounts().loads, 2);
    EXPECT_EQ(vm.engine.loadCounts().violating, 0);
}

TEST_F(SilenceTest, PiecesThatAreReadForTheOrderAreNotTakenForCorrupt)
{
    Vm &vm = add(1);
    startSettled();
    silenceAt(vm, lab::StageEvent::VerificationBegins);
    lab::LogCapture log;
    name(2);
    expectLoadedInTime(2);
    EXPECT_TRUE(m_silenced);
    expectServes(vm, 2);
    EXPECT_EQ(m_origin.piecesServed, lab::WeightsStandIn{}.pieces);
    EXPECT_EQ(vm.engine.loadCounts().loads, 1);
    EXPECT_TRUE(log.take("A staged piece doesn't match its digest.").empty());
}

TEST_F(SilenceTest, TwoSilencesAtTheVerificationAndAtTheOrderEndInOneLoad)
{
    Vm &vm = add(1);
    startSettled();
    std::array<bool, 2> silenced{};
    vm.engine.onStage = [&](lab::StageEvent event) {
        const std::size_t which = event == lab::StageEvent::OrderArrives ? 1 : 0;
        if (event != lab::StageEvent::VerificationEnds && !std::exchange(silenced[which], true)) {
            vm.engine.freeze(Silence);
        }
    };
    name(2);
    expectLoadedInTime(2);
    EXPECT_TRUE(silenced[0] && silenced[1]);
    expectServes(vm, 2);
    expectNothingFollows();
    EXPECT_EQ(vm.engine.loadCounts().loads, 1);
    EXPECT_EQ(m_origin.piecesServed, lab::WeightsStandIn{}.pieces);
}

TEST_F(SilenceTest, PiecesThatAreStagedAlreadyAreNotFetchedAgain)
{
    Vm &vm = add(1);
    startSettled();
    const int served = m_origin.piecesServed;
    vm.engine.startedAt = 2; // Restarted: nothing is loaded, all is staged.
    vm.engine.version = 0;
    vm.engine.orders = 0;
    vm.engine.stageReads = 0;
    ASSERT_TRUE(runUntil([&] { return vm.engine.stageReads > 0; }));
    vm.engine.freeze(Silence);
    expectLoadedInTime(1);
    expectServes(vm, 1);
    EXPECT_EQ(m_origin.piecesServed, served);
}

TEST_F(SilenceTest, PiecesThatAreBeingStagedDoNotCountAsLost)
{
    for (int n = 0; n < 4; ++n) {
        add(1);
    }
    startSettled();
    lab::LogCapture log;
    name(2);
    ASSERT_TRUE(runUntil([&] { return m_origin.piecesServed >= 1; }));
    for (const auto &vm : m_vms) {
        vm->engine.freeze(Silence);
    }
    expectLoadedInTime(2);
    EXPECT_EQ(m_origin.piecesServed, lab::WeightsStandIn{}.pieces);
    for (const auto &vm : m_vms) {
        EXPECT_EQ(vm->engine.loadCounts().loads, 1) << vm->ip;
    }
    EXPECT_TRUE(log.take("Staging a piece failed.").empty());
}

TEST_F(SilenceTest, OtherVmsDoNotTurnToTheOriginForThePiecesOfOneSilentEngine)
{
    for (int n = 0; n < 6; ++n) {
        add(1);
    }
    startSettled();
    name(2);
    Vm &silent = *m_vms[0];
    ASSERT_TRUE(runUntil([&] { return m_origin.piecesServed >= 1; }));
    silent.engine.freeze(Silence);
    expectLoadedInTime(2);
    EXPECT_EQ(m_origin.piecesServed, lab::WeightsStandIn{}.pieces);
}

TEST_F(SilenceTest, AnEmptyEngineIsNotFilledFromTheOriginWhileTheHoldersAreSilent)
{
    m_limits = {.linkMbps = 2, .versionTime = Millis{6000}};
    add(1);
    add(1);
    startSettled();
    const int served = m_origin.piecesServed;
    std::array<int, 2> reads{m_vms[0]->engine.stageReads, m_vms[1]->engine.stageReads};
    Vm &empty = add(0);
    ASSERT_TRUE(empty.daemon->start());
    ASSERT_TRUE(
        runUntil([&] { return m_vms[0]->engine.stageReads > reads[0] || m_vms[1]->engine.stageReads > reads[1]; }));
    m_vms[0]->engine.freeze(Silence);
    m_vms[1]->engine.freeze(Silence);
    expectLoadedInTime(1);
    EXPECT_EQ(m_origin.piecesServed, served);
}

} // namespace

} // namespace ibislock::side
