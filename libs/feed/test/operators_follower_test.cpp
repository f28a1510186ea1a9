#include "operators_follower_fixture.h"

namespace ibislock::feed
{

namespace
{

TEST_F(OperatorsFollowerTest, OneVmReadsAStateForAll)
{
    addAll();
    letReadsEnd();
    const int before = copiesSent();
    append("config", "2");
    reportWatermarks();
    ASSERT_TRUE(runUntil([&] { return allHave("2"); }, StateTime));
    EXPECT_EQ(copiesSent() - before, 1);
}

TEST_F(OperatorsFollowerTest, ATargetVmThatServesNoOthersUsesAnEntryVm)
{
    addAll();
    Vm &target = add("127.0.4.100", m_store, false);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    letReadsEnd();
    const int before = copiesSent();
    append("config", "2");
    reportWatermarks();
    ASSERT_TRUE(runUntil([&] { return allHave("2"); }, StateTime));
    EXPECT_EQ(copiesSent() - before, 1);
    EXPECT_EQ(target.follower.peerUpdatesApplied(), 1U);
}

TEST_F(OperatorsFollowerTest, AVmOnWhichOthersRelyReadsTheStoreItself)
{
    addAll();
    Vm &relay = add("127.0.4.100", m_store, false);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    relay.follower.setPassive(false);
    letReadsEnd();
    append("config", "2");
    reportWatermarks();
    ASSERT_TRUE(runUntil([&] { return allHave("2"); }, StateTime));
    EXPECT_EQ(relay.follower.peerUpdatesApplied(), 0U);
}

TEST_F(OperatorsFollowerTest, AVmThatTheStoreRejectsGetsAStateFromAnother)
{
    append("config", "1");
    for (const std::string &ip : m_ips) {
        add(ip, ip == m_root ? m_otherStore : m_store); // The one that reads for the others.
    }
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    m_otherStore.refusals = 1'000'000;
    for (int n = 2; n < 6; ++n) {
        m_store.append("config",
                       std::to_string(n)); // The other store gets no records, so its held reads stay unanswered.
        ++m_end;
        const Millis end = steadyMillis() + StateTime;
        while (!allHave(std::to_string(n)) && steadyMillis() < end) {
            reportWatermarks();
            m_loop.run_for(Millis{100});
        }
        ASSERT_TRUE(allHave(std::to_string(n))) << n;
    }
}

TEST_F(OperatorsFollowerTest, AnUnreachableSourceIsReplacedInTimeForTheState)
{
    addAll();
    m_vms.erase(m_root);
    append("config", "2");
    reportWatermarks();
    EXPECT_TRUE(runUntil([&] { return allHave("2"); }, StateTime));
}

TEST_F(OperatorsFollowerTest, AnUnresponsiveSourceIsReplacedInTimeForTheState)
{
    addAll();
    letReadsEnd();
    replaceRoot([](net::Connection &) {});
    append("config", "2");
    reportWatermarks();
    EXPECT_TRUE(runUntil([&] { return allHave("2"); }, StateTime));
    EXPECT_FALSE(m_listenerConnections.empty()) << "it received a request";
}

// After the sources, the next read followed the lost one later than the state had to be in effect.
TEST_F(OperatorsFollowerTest, AReadWhoseResponseIsLostIsRepeatedInTimeForTheState)
{
    m_stateTime = Millis{1500};
    addAll();
    letReadsEnd();
    const Vm &vm = isolateBehindSilentSources();
    m_store.losses = 1;
    append("config", "2");
    reportWatermarks();
    EXPECT_TRUE(runUntil([&] { return allHave("2"); }, m_stateTime));
    EXPECT_EQ(m_store.losses, 0);
    EXPECT_EQ(m_listenerConnections.size(), 2U) << "both sources received a request";
    EXPECT_EQ(vm.follower.feed().repeatedCalls(), 1U);
}

// Each VM whose source was late read the state itself, over the link that made it late.
TEST_F(OperatorsFollowerTest, VmsBehindASourceThatTheStoreIgnoresDoNotEachReadTheState)
{
    append("config", "1");
    for (const std::string &ip : m_ips) {
        add(ip, ip == m_root ? m_otherStore : m_store);
    }
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    letReadsEnd();
    m_otherStore.silent = true;
    for (int n = 2; n < 6; ++n) {
        const int before = copiesSent();
        append("config", std::to_string(n));
        ASSERT_TRUE(reportUntilAllHave(std::to_string(n), StateTime)) << n;
        EXPECT_LE(copiesSent() - before, MostCopies) << n;
    }
}

// The same over a link that is full, on which each copy takes long.
TEST_F(OperatorsFollowerTest, VmsBehindALateSourceDoNotEachReadTheState)
{
    addAll();
    letReadsEnd();
    m_store.spread = m_stateTime / 2;
    const int before = copiesSent();
    append("config", "2");
    ASSERT_TRUE(reportUntilAllHave("2", 2 * StateTime));
    EXPECT_LE(copiesSent() - before, MostCopies);
}

// All VMs had reads open at the store, as the watermarks that they received were too old.
TEST_F(OperatorsFollowerTest, VmsThatReceiveOldWatermarksDoNotEachReadTheNextState)
{
    addAll();
    const auto reportOldWatermarks = [this] {
        for (const auto &[ip, vm] : m_vms) {
            const TopicPosition end{.era = 0, .offset = 1};
            vm->follower.applyWatermark({.end = end, .asOf = Millis{1}}, end);
        }
        m_loop.run_for(Millis{100});
    };
    for (const Millis end = steadyMillis() + 2 * m_stateTime; steadyMillis() < end;) {
        reportOldWatermarks();
    }
    const int before = copiesSent();
    append("config", "2");
    const auto anyHas = [this] {
        return std::any_of(m_vms.begin(), m_vms.end(),
                           [](const auto &item) { return item.second->values.at("config") == "2"; });
    };
    for (const Millis end = steadyMillis() + m_stateTime; !anyHas() && steadyMillis() < end;) {
        reportOldWatermarks();
    }
    ASSERT_TRUE(anyHas());
    ASSERT_TRUE(reportUntilAllHave("2", StateTime));
    EXPECT_LE(copiesSent() - before, MostCopies);
}

// A VM that was behind read each state that it had missed, though only the last one was still of use.
TEST_F(OperatorsFollowerTest, StatesThatWereSupersededMeanwhileAreNotRead)
{
    addAll();
    letReadsEnd();
    isolateBehindSilentSources();
    m_store.silent = true;
    append("config", "2");
    reportWatermarks();
    m_loop.run_for(m_stateTime);
    for (int n = 3; n < 8; ++n) {
        append("config", std::to_string(n));
        reportWatermarks();
        m_loop.run_for(Millis{100});
    }
    const int before = copiesSent();
    m_store.silent = false;
    ASSERT_TRUE(runUntil([&] { return allHave("7"); }));
    EXPECT_EQ(copiesSent() - before, 1);
}

// VMs asked for records that don't exist again and again, and took that for being behind.
TEST_F(OperatorsFollowerTest, AReportedEndThatTheStoreDoesNotHaveIsForgottenByAllVms)
{
    addAll();
    letReadsEnd();
    for (const auto &[ip, vm] : m_vms) {
        const TopicPosition end{.era = 0, .offset = m_end + 5};
        vm->follower.applyWatermark({.end = end, .asOf = bootMillis()}, end);
    }
    for (const Millis end = steadyMillis() + 3 * m_stateTime; steadyMillis() < end;) {
        reportWatermarks();
        m_loop.run_for(Millis{50});
    }
    for (const auto &[ip, vm] : m_vms) {
        EXPECT_FALSE(vm->follower.feed().isBehind()) << ip;
    }
}

// A target VM relied on sources of which one had responded once.
TEST_F(OperatorsFollowerTest, ATargetVmReadsTheStoreWhenItsSourcesAreGone)
{
    append("config", "1");
    Vm &target = add("127.0.4.100", m_store, false);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    target.follower.setEntryVms({m_root});
    letReadsEnd();
    replaceRoot([](const peer::RecordsRequest &request) { return updateUpTo(1, request); });
    append("config", "2");
    reportWatermarks();
    m_loop.run_for(Millis{200});
    m_listener->close();
    for (const auto &connection : m_listenerConnections) {
        connection->close();
    }
    target.follower.setEntryVms({});
    EXPECT_TRUE(reportUntilAllHave("2", 5 * m_stateTime));
}

// The same, if they respond but never get the records.
TEST_F(OperatorsFollowerTest, ATargetVmReadsTheStoreWhenItsSourcesDoNotGetTheRecords)
{
    append("config", "1");
    Vm &target = add("127.0.4.100", m_store, false);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    target.follower.setEntryVms({m_root});
    letReadsEnd();
    replaceRoot([](const peer::RecordsRequest &request) { return updateUpTo(1, request); });
    append("config", "2");
    EXPECT_TRUE(reportUntilAllHave("2", 5 * m_stateTime));
}

// The pages that had been read were discarded when the turn ended.
TEST_F(OperatorsFollowerTest, ASnapshotOfSeveralPagesIsReadToItsEndBehindTheTurn)
{
    append("config", "1");
    for (int n = 0; n < 4; ++n) {
        append("key" + std::to_string(n), "1");
    }
    add(childOfRoot(), m_store);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    letReadsEnd();
    replaceRoot([end = m_end](const peer::RecordsRequest &request) { return updateUpTo(end, request); });
    m_store.snapshotPageSize = 1;
    m_store.snapshotDelay = Millis{200};
    append("config", "2");
    append("config", "3");
    EXPECT_TRUE(reportUntilAllHave("3", 8 * m_stateTime));
}

// A retry must not begin anew what arrives over a congested link.
TEST_F(OperatorsFollowerTest, AReadThatIsRepeatedIsNotCancelled)
{
    addAll();
    letReadsEnd();
    const Vm &vm = isolateBehindSilentSources();
    const int before = copiesSent();
    m_store.delay = Millis{600}; // Until the first byte of the response; the read is repeated after 400 ms.
    append("config", "2");
    reportWatermarks();
    ASSERT_TRUE(runUntil([&] { return allHave("2"); }));
    EXPECT_EQ(copiesSent() - before, 1) << "the response to the first read was used";
    EXPECT_EQ(vm.follower.feed().repeatedCalls(), 1U);
    EXPECT_EQ(vm.follower.feed().failures(), 0U);
}

// All calls that are under way count as one: the outage is known when the first of them fails.
TEST_F(OperatorsFollowerTest, AStoreThatDoesNotRespondIsUnreachableThoughReadsAreRepeated)
{
    addAll();
    letReadsEnd();
    const Vm &vm = isolateBehindSilentSources();
    m_store.losses = 3;
    append("config", "2");
    reportWatermarks();
    ASSERT_TRUE(runUntil([&] { return vm.follower.feed().isUnreachable(); }));
    EXPECT_EQ(vm.follower.feed().failures(), 1U);
    EXPECT_TRUE(runUntil([&] { return allHave("2"); }));
    EXPECT_FALSE(vm.follower.feed().isUnreachable());
}

TEST_F(OperatorsFollowerTest, ASourceThatSendsInvalidMessagesIsReplaced)
{
    addAll();
    letReadsEnd();
    replaceRoot([](net::Connection &connection) { connection.write(peer::frame("no message")); });
    append("config", "2");
    reportWatermarks();
    EXPECT_TRUE(runUntil([&] { return allHave("2"); }, StateTime));
    EXPECT_FALSE(m_listenerConnections.empty()) << "it received a request";
}

// A VM reported that the topic ended before a record that it knew of, as of a time at which the record was there. VMs
// that lacked it were validated by that.
TEST_F(OperatorsFollowerTest, RecordsBeforeTheWantedEndAreNotReportedAsTheEndOfTheTopic)
{
    append("config", "1");
    replaceRoot([](const peer::RecordsRequest &request) { return updateUpTo(2, request); });
    Vm &vm = add(childOfRoot(), m_store);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    m_loop.run_for(Millis{20});
    const Millis readAt = bootMillis(); // Later than the VM's own read.
    const TopicPosition end{.era = 0, .offset = 3};
    vm.follower.applyWatermark({.end = end, .asOf = readAt}, end);
    ASSERT_TRUE(runUntil([&] { return allHave("2"); }, StateTime));
    EXPECT_LT(vm.reportedAsOf.at({.era = 0, .offset = 2}), readAt) << "the topic ended at 3 by then";
}

// The same at a target VM that needs the topic only up to the last announcement.
TEST_F(OperatorsFollowerTest, RecordsUpToAnAnnouncementAreNotReportedAsTheEndOfTheTopic)
{
    append("config", "1");
    replaceRoot([](const peer::RecordsRequest &request) { return updateUpTo(2, request); });
    Vm &vm = add(childOfRoot(), m_store);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    m_loop.run_for(Millis{20});
    const Millis readAt = bootMillis(); // Later than the VM's own read.
    const TopicPosition needed{.era = 0, .offset = 2};
    vm.follower.applyWatermark({.end = {.era = 0, .offset = 3}, .announcementsEnd = needed, .asOf = readAt}, needed);
    ASSERT_TRUE(runUntil([&] { return allHave("2"); }, StateTime));
    EXPECT_LT(vm.reportedAsOf.at(needed), readAt) << "the topic ended at 3 by then";
}

// Records of another VM that ended before the wanted end cancelled the read of the store and counted as a validation,
// so that nobody read the newest state.
TEST_F(OperatorsFollowerTest, RecordsBeforeTheWantedEndDoNotDelayTheStateBehindThem)
{
    append("config", "1");
    bool sourceHasSecond = false;
    replaceRoot([&](const peer::RecordsRequest &request) { return updateUpTo(sourceHasSecond ? 2 : 1, request); });
    add(childOfRoot(), m_store);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    letReadsEnd();
    m_store.silent = true; // The response to the first read is lost.
    append("config", "2");
    append("config", "3");
    const Millis confirmedAt = steadyMillis();
    constexpr double LostFraction = 0.35;
    while (!allHave("3") && steadyMillis() < confirmedAt + 2 * StateTime) {
        sourceHasSecond = steadyMillis() >= confirmedAt + std::chrono::duration_cast<Millis>(StateTime * LostFraction);
        m_store.silent = !sourceHasSecond;
        reportWatermarks();
        m_loop.run_for(Millis{50});
    }
    ASSERT_TRUE(allHave("3"));
    EXPECT_LE(steadyMillis() - confirmedAt, StateTime);
}

// Reads of a VM that nobody validates were held for so long that a lost response was noticed too late.
TEST_F(OperatorsFollowerTest, AStateIsInTimeThoughTheResponseToAReadOfAVmWithoutValidationIsLost)
{
    append("config", "1");
    add(childOfRoot(), m_store);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    m_store.silent = true;
    ASSERT_TRUE(runUntil([&] { return m_store.lastWait > 0; }));
    m_store.silent = false;
    append("config", "2");
    const Millis confirmedAt = steadyMillis();
    ASSERT_TRUE(runUntil([&] { return allHave("2"); }));
    EXPECT_LE(steadyMillis() - confirmedAt, StateTime);
}

TEST_F(OperatorsFollowerTest, StatesInQuickSuccessionReachAllInOrder)
{
    addAll();
    for (int n = 2; n < 22; ++n) {
        append("config", std::to_string(n));
        append("other", std::to_string(n));
        reportWatermarks();
        m_loop.run_for(Millis{50});
    }
    reportWatermarks();
    EXPECT_TRUE(runUntil([&] { return allHave("21"); }, StateTime));
}

// VMs took the end of before the restore back from each other, and none read the records behind it.
TEST_F(OperatorsFollowerTest, ARestoredTopicReachesAllVmsThoughItIsShorter)
{
    m_store.era = m_otherStore.era = m_era = 1;
    addAll();
    const std::size_t copy = m_store.size();
    append("config", "2");
    append("config", "3");
    reportWatermarks();
    ASSERT_TRUE(runUntil([&] { return allHave("3"); }, StateTime));
    letReadsEnd();
    m_store.restore(copy);
    m_otherStore.restore(copy);
    m_era = 2;
    m_end = static_cast<std::int64_t>(copy);
    append("config", "3");
    reportWatermarks();
    ASSERT_TRUE(runUntil([&] {
        return std::all_of(m_vms.begin(), m_vms.end(),
                           [](const auto &item) { return item.second->follower.feed().position().era == 2; });
    }));
    letReadsEnd();
    const int before = copiesSent();
    append("config", "4");
    reportWatermarks();
    EXPECT_TRUE(runUntil([&] { return allHave("4"); }, StateTime));
    EXPECT_LE(copiesSent() - before, 3) << "the VMs read the store for each other";
    for (const auto &[ip, vm] : m_vms) {
        const TopicPosition earlier{.era = 1, .offset = 50};
        vm->follower.applyWatermark({.end = earlier, .asOf = bootMillis()}, earlier);
        EXPECT_EQ(vm->follower.feed().position(), (TopicPosition{.era = 2, .offset = m_end})) << ip;
    }
}

// VMs that read a snapshot, and those that got records from them, missed a deletion.
TEST_F(OperatorsFollowerTest, ADeletionAmongSeveralMissedRecordsReachesAllVms)
{
    m_store.omitsDeleted = m_otherStore.omitsDeleted = true;
    append("evacuate/d", "{}");
    addAll();
    letReadsEnd();
    const std::string ip = childOfRoot();
    m_store.silent = true;
    append("evacuate/d", "");
    append("other", "x");
    append("config", "2");
    m_store.silent = false;
    reportWatermarks();
    ASSERT_TRUE(runUntil([&] { return allHave("2"); }));
    for (const auto &[vm, state] : m_vms) {
        EXPECT_EQ(state->values["evacuate/d"], "") << vm;
    }
    EXPECT_GT(m_vms.at(ip)->follower.peerUpdatesApplied(), 0U);
}

// A VM that started behind the deletion can't know it, and others lagged behind that.
TEST_F(OperatorsFollowerTest, ADeletionReachesAVmThroughOneThatStartedBehindIt)
{
    m_store.omitsDeleted = m_otherStore.omitsDeleted = true;
    append("config", "1");
    append("evacuate/d", "{}");
    const std::string child = childOfRoot();
    Vm &vm = add(child, m_store);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    m_store.silent = true; // The child depends on the root.
    append("evacuate/d", "");
    append("config", "2");
    add(m_root, m_otherStore);
    ASSERT_TRUE(runUntil([&] { return m_vms.at(m_root)->values["config"] == "2"; }));
    EXPECT_FALSE(m_vms.at(m_root)->values.contains("evacuate/d"));
    reportWatermarks();
    ASSERT_TRUE(runUntil([&] { return allHave("2"); }));
    EXPECT_EQ(vm.follower.peerUpdatesApplied(), 1U);
    EXPECT_EQ(vm.values["evacuate/d"], "");
}

// A store that was restored from an older copy ended evacuations, at VMs that knew of them and at VMs that started.
TEST_F(OperatorsFollowerTest, AnEvacuationThatARestoredTopicLacksIsHandedOnUntilItsDeletion)
{
    m_store.omitsDeleted = m_otherStore.omitsDeleted = true;
    m_store.era = m_otherStore.era = m_era = 1;
    append("config", "1");
    Vm &first = add(m_root, m_store);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    const std::size_t copy = m_store.size();
    append("evacuate/d", "{}");
    ASSERT_TRUE(runUntil([&] { return first.values["evacuate/d"] == "{}"; }));
    first.follower.recordInForce({.key = "evacuate/d", .value = "{}", .position = first.lastPosition});
    m_store.restore(copy);
    m_otherStore.restore(copy);
    ASSERT_TRUE(runUntil([&] { return first.follower.feed().position().era == 2; }));
    EXPECT_EQ(first.values["evacuate/d"], "{}");
    Vm &second = add(childOfRoot(), m_store);
    ASSERT_TRUE(runUntil([&] { return second.follower.isCaughtUp(); }));
    EXPECT_EQ(second.values["evacuate/d"], "{}") << "known before the VM is ready";
    append("evacuate/d", "");
    ASSERT_TRUE(runUntil([&] { return first.values["evacuate/d"].empty() && second.values["evacuate/d"].empty(); }));
    first.follower.recordInForce({.key = "evacuate/d", .value = std::nullopt, .position = first.lastPosition});
    EXPECT_TRUE(first.follower.lostRecords(2).empty());
}

} // namespace

} // namespace ibislock::feed
