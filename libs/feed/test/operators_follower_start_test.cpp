// How VMs that start get their first desired state.

#include "operators_follower_fixture.h"

namespace ibislock::feed
{

namespace
{

// Each VM read its first state from the store, which all of them that started together kept busy.
TEST_F(OperatorsFollowerTest, VmsThatStartTogetherReadOneCopyOfTheState)
{
    addAll();
    EXPECT_EQ(copiesSent(), 1);
}

TEST_F(OperatorsFollowerTest, VmsThatStartWithoutTheRootOfTheirTreeDoNotEachReadTheState)
{
    append("config", "1");
    for (const std::string &ip : m_ips) {
        if (ip != m_root) {
            add(ip, m_store);
        }
    }
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    EXPECT_LE(copiesSent(), MostCopies);
}

TEST_F(OperatorsFollowerTest, AVmThatTheStoreRejectsFromItsStartOnGetsTheStateFromAnother)
{
    addAll();
    m_otherStore.refusals = 1'000'000;
    const int before = copiesSent();
    add("127.0.4.99", m_otherStore);
    ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    EXPECT_EQ(copiesSent(), before);
}

TEST_F(OperatorsFollowerTest, AVmThatFindsNoOthersReadsTheStateByItself)
{
    append("config", "1");
    Vm &vm =
        *(m_vms["127.0.4.99"] = std::make_unique<Vm>(m_loop, "127.0.4.99", m_port, m_store.port(), true, m_stateTime));
    EXPECT_FALSE(vm.follower.start());
    m_loop.run_for(m_stateTime / 4);
    EXPECT_EQ(copiesSent(), 0) << "others may be starting";
    vm.follower.recordNoRelay();
    EXPECT_TRUE(runUntil([&] { return allHave("1"); }));
}

} // namespace

} // namespace ibislock::feed
