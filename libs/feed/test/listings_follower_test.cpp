#include "ibislock/feed/listings_follower.h"
#include "ibislock/feed/relay_order.h"

#include "platform/store_stand_in.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace ibislock::feed
{

namespace
{

constexpr Millis DrainTime{1000};

/// A VM that follows the listings, at a loopback address of its own.
struct Vm
{
    Vm(asio::io_context &loop, const std::string &ip, std::uint16_t port, std::uint16_t storePort, bool servesListings,
       Millis drainTime = DrainTime, Millis minExpiringOutage = Millis{0})
        : client(loop)
        , follower(loop, client, {.ip = "127.0.0.1", .port = storePort},
                   {.ip = ip,
                    .domain = "a",
                    .port = port,
                    .servesListings = servesListings,
                    .isEntryVm = !servesListings,
                    .drainTime = drainTime,
                    .minExpiringOutage = minExpiringOutage},
                   {.onListing =
                        [this](const std::string &id, const std::optional<serving::TargetEntry> &entry) {
                            entry ? void(draining[id] = entry->draining) : void(draining.erase(id));
                        },
                    .onStoreRecovered =
                        [this](Millis at) {
                            ++storeRecoveries;
                            storeRecoveredAt = at;
                        },
                    .hasDaemon = [](const serving::TargetEntry &entry) { return entry.service == "engines"; },
                    .onOperatorsWatermark =
                        [this](const OperatorsWatermark &reported) { mergeWatermark(watermark, reported); },
                    .ownWatermark = [this] { return toMessage(watermark, bootMillis()); },
                    .onEntryVms =
                        [this](std::vector<std::string> vms, bool) {
                            entryVms = std::move(vms);
                        }})
    {
    }

    net::HttpClient client;
    std::map<std::string, bool> draining; ///< Whether a target is draining; for all that are listed.
    int storeRecoveries = 0;
    Millis storeRecoveredAt{0};
    OperatorsWatermark watermark;
    std::vector<std::string> entryVms;
    ListingsFollower follower;
};

/// A domain with two target VMs with daemons, of which the first in order is the relay, and an entry VM.
class ListingsFollowerTest : public testing::Test
{
protected:
    ListingsFollowerTest()
    {
        net::Listener probe(m_loop, [](const std::shared_ptr<net::Connection> &) {});
        EXPECT_FALSE(probe.open("127.0.2.1", 0));
        m_port = probe.port();
        probe.close();
        for (const char *ip : {"127.0.2.1", "127.0.2.2"}) {
            append(m_store, ip, "engines");
            append(m_relayStore, ip, "engines");
        }
        const std::vector<std::string> vms{"127.0.2.1", "127.0.2.2"};
        m_relayIp = relaysFor(Entry, vms).front();
        m_backupIp = m_relayIp == vms[0] ? vms[1] : vms[0];
    }

    void append(lab::StoreStandIn &store, const std::string &ip, const std::string &service, bool draining = false)
    {
        store.append("i-" + ip,
                     nlohmann::json{{"Service", service},
                                    {"Address", ip + ":80"},
                                    {"Zone", "a"},
                                    {"Version", "v1"},
                                    {"Slots", 16},
                                    {"State", draining ? "draining" : "ready"},
                                    {"ColdLeftMs", 0},
                                    {"Sequence", ++m_writes}}
                         .dump());
    }

    /// Adds a VM.
    /// @param store the store that the VM reads; the relay may have one of its own, so that it alone can be cut off.
    Vm &add(const std::string &ip, lab::StoreStandIn &store)
    {
        m_vms.push_back(std::make_unique<Vm>(m_loop, ip, m_port, store.port(), ip != Entry));
        EXPECT_FALSE(m_vms.back()->follower.start());
        return *m_vms.back();
    }

    bool runUntil(const std::function<bool()> &holds, Millis most = Millis{5000})
    {
        const Millis end = steadyMillis() + most;
        while (!holds() && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(10));
        }
        return holds();
    }

    bool follows(const Vm &vm, const std::string &relay)
    {
        return runUntil([&] { return vm.follower.relay() == relay; });
    }

    static constexpr const char *Entry = "127.0.2.9";

    asio::io_context m_loop;
    lab::StoreStandIn m_store{m_loop};
    lab::StoreStandIn m_relayStore{m_loop};
    std::uint16_t m_port = 0;
    int m_writes = 0;
    std::string m_relayIp;
    std::string m_backupIp;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::vector<std::shared_ptr<net::Connection>> m_frozen;
};

TEST_F(ListingsFollowerTest, ChangesComeFromTheRelayAndTheStoreIsNotRead)
{
    add(m_relayIp, m_store);
    Vm &entry = add(Entry, m_store);
    ASSERT_TRUE(follows(entry, m_relayIp));
    const std::uint64_t calls = entry.follower.storeCalls();
    append(m_store, "127.0.2.7", "plain");
    EXPECT_TRUE(runUntil([&] { return entry.draining.contains("i-127.0.2.7"); }));
    append(m_store, "127.0.2.7", "plain", true);
    EXPECT_TRUE(runUntil([&] { return entry.draining["i-127.0.2.7"]; }));
    EXPECT_EQ(entry.follower.storeCalls(), calls);
    EXPECT_TRUE(m_vms.front()->follower.relay().empty());
}

TEST_F(ListingsFollowerTest, EntryVmsThatUseARelayAreReportedToAllUntilTheyStop)
{
    add(m_relayIp, m_store);
    Vm &target = add(m_backupIp, m_store);
    Vm &entry = add(Entry, m_store);
    const std::vector<std::string> entryVms{Entry};
    EXPECT_TRUE(runUntil([&] { return target.entryVms == entryVms && entry.entryVms == entryVms; }));
    m_vms.pop_back();
    EXPECT_TRUE(runUntil([&] { return target.entryVms.empty(); }, Millis{8000}));
}

TEST_F(ListingsFollowerTest, WithoutAnyRelayTheStoreIsRead)
{
    Vm &entry = add(Entry, m_store);
    ASSERT_TRUE(runUntil([&] { return entry.follower.relayFailovers() >= 2; }));
    append(m_store, "127.0.2.7", "plain");
    EXPECT_TRUE(runUntil([&] { return entry.draining.contains("i-127.0.2.7"); }));
    EXPECT_TRUE(entry.follower.relay().empty());
}

TEST_F(ListingsFollowerTest, WhenTheRelayFailsItsBackupReadsTheStoreForTheDomain)
{
    add(m_relayIp, m_store);
    Vm &backup = add(m_backupIp, m_store);
    Vm &entry = add(Entry, m_store);
    ASSERT_TRUE(follows(entry, m_relayIp));
    ASSERT_TRUE(follows(backup, m_relayIp));
    m_vms.erase(m_vms.begin());
    ASSERT_TRUE(follows(entry, m_backupIp));
    append(m_store, "127.0.2.7", "plain");
    EXPECT_TRUE(runUntil([&] { return entry.draining.contains("i-127.0.2.7"); }));
    EXPECT_TRUE(backup.follower.relay().empty());
}

// The store held its first read for 0.9 of the drain time, and until then it didn't read the operators' topic either.
TEST_F(ListingsFollowerTest, AVmThatBecomesARelayReadsTheStoreForOthersAtOnce)
{
    const std::string third = "127.0.2.3";
    for (lab::StoreStandIn *store : {&m_store, &m_relayStore}) {
        append(*store, third, "engines");
    }
    const std::vector<std::string> vms{m_relayIp, m_backupIp, third};
    const std::vector<std::string> serving = relaysFor(Entry, vms);
    const std::string next =
        *std::find_if(vms.begin(), vms.end(), [&](const std::string &vm) { return !isRelayOrBackup(vm, vms); });
    add(serving.front(), m_store);
    Vm &vm = add(next, m_store);
    ASSERT_TRUE(follows(vm, serving.front()));
    for (const std::string &gone : serving) {
        m_store.append("i-" + gone, "");
    }
    ASSERT_TRUE(runUntil([&] { return vm.draining.size() == 1 && vm.follower.relay().empty(); }));
    EXPECT_TRUE(runUntil([&] { return vm.follower.readsStoreForOthers(); }, DrainTime / 2));
    EXPECT_LE(vm.follower.age(), DrainTime / 2);
}

TEST_F(ListingsFollowerTest, ARelayThatIsCutOffFromTheStoreIsReplaced)
{
    add(m_relayIp, m_relayStore);
    Vm &entry = add(Entry, m_store);
    ASSERT_TRUE(follows(entry, m_relayIp));
    m_relayStore.silent = true;
    append(m_store, "127.0.2.7", "plain", true);
    EXPECT_TRUE(runUntil([&] { return entry.draining["i-127.0.2.7"]; }));
    // The change may be known before: the entry VM reads the store beside a relay that is late.
    EXPECT_TRUE(runUntil([&] { return entry.follower.relay().empty(); }));
}

TEST_F(ListingsFollowerTest, AnUnresponsiveRelayIsReplaced)
{
    // Accepts connections and requests without responding, as a frozen VM does.
    net::Listener frozen(m_loop, [this](const std::shared_ptr<net::Connection> &connection) {
        m_frozen.push_back(connection);
        connection->start({});
    });
    ASSERT_FALSE(frozen.open(m_relayIp, m_port));
    Vm &entry = add(Entry, m_store);
    ASSERT_TRUE(runUntil([&] { return entry.follower.relayFailovers() >= 1; }));
    append(m_store, "127.0.2.7", "plain");
    EXPECT_TRUE(runUntil([&] { return entry.draining.contains("i-127.0.2.7"); }));
    EXPECT_EQ(entry.follower.relayResponses(), 0U);
    for (const auto &connection : m_frozen) {
        connection->close();
    }
}

TEST_F(ListingsFollowerTest, ARelayIsNotReplacedAfterTheLoopWasBlocked)
{
    constexpr Millis LongTime{8000};
    constexpr Millis LongerThanAResponse{LongTime * 2 / 5 + Millis{200}};
    asio::io_context relayLoop; // Runs while the loop of the entry VM is blocked.
    lab::StoreStandIn relayStore(relayLoop);
    for (const char *ip : {"127.0.2.1", "127.0.2.2"}) {
        append(relayStore, ip, "engines");
    }
    Vm relay(relayLoop, m_relayIp, m_port, relayStore.port(), true, LongTime);
    ASSERT_FALSE(relay.follower.start());
    Vm entry(m_loop, Entry, m_port, m_store.port(), false, LongTime);
    ASSERT_FALSE(entry.follower.start());
    const auto runBothUntil = [&](const std::function<bool()> &holds) {
        const Millis end = steadyMillis() + Millis{20000};
        while (!holds() && steadyMillis() < end) {
            m_loop.run_one_for(Millis{5});
            relayLoop.run_one_for(Millis{5});
        }
        return holds();
    };
    const std::uint64_t responses = entry.follower.relayResponses();
    ASSERT_TRUE(runBothUntil([&] { return entry.follower.relayResponses() > responses; }));
    const std::uint64_t failovers = entry.follower.relayFailovers();
    // The relay holds the next request; its response arrives while the loop is blocked.
    for (const Millis end = steadyMillis() + LongTime / 5; steadyMillis() < end;) {
        m_loop.run_one_for(Millis{5});
        relayLoop.run_one_for(Millis{5});
    }
    append(relayStore, "127.0.2.7", "plain");
    relayLoop.run_for(LongerThanAResponse);
    ASSERT_TRUE(runBothUntil([&] { return entry.draining.contains("i-127.0.2.7"); }));
    m_loop.poll(); // Runs a handler that is still queued.
    EXPECT_EQ(entry.follower.relayFailovers(), failovers);
}

// A VM that had lost its relay asked no relay again until the store responded to it.
TEST_F(ListingsFollowerTest, AVmThatTheStoreRejectsReturnsToItsRelay)
{
    add(m_relayIp, m_relayStore);
    Vm &entry = add(Entry, m_store);
    ASSERT_TRUE(follows(entry, m_relayIp));
    m_store.refusals = 1'000'000;
    m_store.append("i-127.0.2.7", ""); // Ends a read that the store holds.
    m_vms.erase(m_vms.begin());
    ASSERT_TRUE(runUntil([&] { return entry.follower.storeUnreachable(); }));
    append(m_relayStore, "127.0.2.8", "plain");
    add(m_relayIp, m_relayStore);
    EXPECT_TRUE(runUntil([&] { return entry.draining.contains("i-127.0.2.8"); }, Millis{10000}));
    EXPECT_EQ(entry.follower.relay(), m_relayIp);
    EXPECT_FALSE(entry.follower.storeUnreachable());
}

TEST_F(ListingsFollowerTest, ARelayWithARecreatedTopicIsNotFollowedForever)
{
    // The relay's topic stays shorter: a read of the store decides which of the two is right.
    for (int n = 0; n < 5; ++n) {
        append(m_store, "127.0.2.7", "plain");
    }
    add(m_relayIp, m_relayStore);
    Vm &entry = add(Entry, m_store);
    ASSERT_TRUE(runUntil([&] { return entry.follower.relayFailovers() >= 1; }));
    append(m_store, "127.0.2.7", "plain", true);
    EXPECT_TRUE(runUntil([&] { return entry.draining["i-127.0.2.7"]; }));
}

TEST_F(ListingsFollowerTest, AStoreOutageIsNoticedAndItsEndIsReported)
{
    add(m_relayIp, m_store);
    Vm &entry = add(Entry, m_store);
    ASSERT_TRUE(follows(entry, m_relayIp));
    m_store.silent = true;
    EXPECT_TRUE(runUntil([&] { return entry.follower.storeUnreachable(); }));
    m_store.silent = false;
    EXPECT_TRUE(runUntil([&] { return !entry.follower.storeUnreachable(); }));
    ASSERT_TRUE(runUntil([&] { return entry.storeRecoveries > 0; }, Millis{8000}));
    EXPECT_EQ(entry.draining.size(), 2U);
}

// One refused read at a relay let its domain keep targets that had left for two seconds.
TEST_F(ListingsFollowerTest, AShortOutageOfARelayIsNotReportedToOthers)
{
    constexpr Millis MinExpiringOutage{2400};
    Vm relay(m_loop, m_relayIp, m_port, m_relayStore.port(), true, DrainTime, MinExpiringOutage);
    ASSERT_FALSE(relay.follower.start());
    Vm &entry = add(Entry, m_store);
    ASSERT_TRUE(follows(entry, m_relayIp));
    m_relayStore.refusals = 1;
    append(m_relayStore, "127.0.2.7", "plain"); // Ends a read that the store holds.
    ASSERT_TRUE(runUntil([&] { return relay.follower.storeUnreachable(); }));
    ASSERT_TRUE(runUntil([&] { return !relay.follower.storeUnreachable(); }));
    append(m_relayStore, "127.0.2.8", "plain");
    ASSERT_TRUE(runUntil([&] { return entry.draining.contains("i-127.0.2.8"); }));
    ASSERT_EQ(entry.follower.relay(), m_relayIp);
    EXPECT_EQ(entry.storeRecoveries, 0);
}

TEST_F(ListingsFollowerTest, AnOutageInWhichListingsMayHaveExpiredIsNoticedBehindARelay)
{
    constexpr Millis MinExpiringOutage{2400};
    Vm relay(m_loop, m_relayIp, m_port, m_relayStore.port(), true, DrainTime, MinExpiringOutage);
    ASSERT_FALSE(relay.follower.start());
    Vm entry(m_loop, Entry, m_port, m_store.port(), false, DrainTime, MinExpiringOutage);
    ASSERT_FALSE(entry.follower.start());
    ASSERT_TRUE(follows(entry, m_relayIp));
    m_store.silent = m_relayStore.silent = true;
    const Millis startedAt = steadyMillis();
    runUntil([&] { return steadyMillis() >= startedAt + MinExpiringOutage; });
    EXPECT_EQ(entry.storeRecoveries, 0);
    m_relayStore.silent = false; // The entry VM learns from its relay alone that the store responds again.
    EXPECT_TRUE(runUntil([&] { return entry.storeRecoveries > 0; }, Millis{10000}));
    EXPECT_EQ(entry.storeRecoveries, 1);
    EXPECT_EQ(entry.follower.relay(), m_relayIp);
}

// Targets that had left were kept until two seconds after a VM had noticed that the store responds again, which takes a
// second or more.
TEST_F(ListingsFollowerTest, AnOutageIsNotReportedToEndLaterThanItDid)
{
    constexpr Millis Step{150}; // The calls that fail are at different points when the store responds again.
    for (Millis outage = DrainTime * 3 / 2; outage < DrainTime * 4; outage += DrainTime + Step) {
        m_store.silent = false;
        m_vms.clear();
        Vm &entry = add(Entry, m_store);
        ASSERT_TRUE(runUntil([&] { return entry.follower.synchronized(); }));
        m_store.silent = true;
        const Millis startedAt = steadyMillis();
        runUntil([&] { return steadyMillis() >= startedAt + outage; });
        m_store.silent = false;
        const Millis endedAt = steadyMillis();
        ASSERT_TRUE(runUntil([&] { return entry.storeRecoveries > 0; }));
        EXPECT_GE(entry.storeRecoveredAt, startedAt) << outage.count() << " ms";
        EXPECT_LE(entry.storeRecoveredAt, endedAt) << outage.count() << " ms";
    }
}

// A relay that had been cut off let VMs that had read the store meanwhile keep targets that had left for two seconds.
TEST_F(ListingsFollowerTest, AnOutageOfARelayAloneIsNoneForAVmThatReadTheStore)
{
    constexpr Millis Outage{2600};
    Vm relay(m_loop, m_relayIp, m_port, m_relayStore.port(), true, DrainTime, Outage / 2);
    ASSERT_FALSE(relay.follower.start());
    Vm entry(m_loop, Entry, m_port, m_store.port(), false, DrainTime, Outage / 2);
    ASSERT_FALSE(entry.follower.start());
    ASSERT_TRUE(follows(entry, m_relayIp));
    m_relayStore.silent = true;
    const Millis startedAt = steadyMillis();
    runUntil([&] { return steadyMillis() >= startedAt + Outage; });
    ASSERT_TRUE(relay.follower.storeUnreachable());
    m_relayStore.silent = false;
    ASSERT_TRUE(runUntil([&] { return entry.follower.relay() == m_relayIp; }, Millis{10000}));
    EXPECT_EQ(entry.storeRecoveries, 0);
}

// The copy of a restored store lists a target as usable that said since that it leaves, and lacks one that is new.
TEST_F(ListingsFollowerTest, ARestoredStoreBringsNoLeavingTargetBack)
{
    m_store.era = 1;
    append(m_store, "127.0.2.7", "plain");
    add(m_relayIp, m_store);
    Vm &entry = add(Entry, m_store);
    ASSERT_TRUE(follows(entry, m_relayIp));
    const std::size_t copy = m_store.size();
    append(m_store, "127.0.2.7", "plain", true);
    append(m_store, "127.0.2.8", "plain");
    ASSERT_TRUE(runUntil([&] { return entry.draining["i-127.0.2.7"] && entry.draining.contains("i-127.0.2.8"); }));
    m_store.restore(copy);
    ASSERT_TRUE(runUntil([&] { return entry.follower.cache().end.era == 2; }));
    EXPECT_TRUE(entry.draining["i-127.0.2.7"]);
    EXPECT_GE(entry.storeRecoveries, 1) << "a missing listing is kept for a while";
    append(m_store, "127.0.2.8", "plain");
    EXPECT_TRUE(runUntil([&] { return entry.draining.contains("i-127.0.2.8"); }));
    EXPECT_EQ(entry.follower.relay(), m_relayIp);
}

} // namespace

} // namespace ibislock::feed
