#include "ibislock/feed/operators_follower.h"
#include "ibislock/feed/source_order.h"

#include "ibislock/platform/listings.h"
#include "platform/store_stand_in.h"

#include <gtest/gtest.h>

namespace ibislock::feed
{

namespace
{

constexpr Millis StateTime{2000};

/// A VM that follows the topic, at a loopback address of its own.
struct Vm
{
    Vm(asio::io_context &loop, const std::string &ip, std::uint16_t port, std::uint16_t storePort, bool entryVm,
       Millis stateTime)
        : client(loop)
        , follower(loop, client, {.ip = "127.0.0.1", .port = storePort},
                   {.ip = ip, .port = port, .isEntryVm = entryVm, .stateTime = stateTime},
                   {.onSnapshot =
                        [this](const std::vector<platform::KeyedRecord> &records) {
                            for (const platform::KeyedRecord &record : records) {
                                values[record.key] = record.value.value_or("");
                            }
                        },
                    .onRecord =
                        [this](const platform::KeyedRecord &record) {
                            EXPECT_GT(record.position, lastPosition) << "delivered twice, or out of order";
                            lastPosition = record.position;
                            values[record.key] = record.value.value_or("");
                        },
                    .onStoreOutage = [](bool) {},
                    .onWatermark =
                        [this](Millis asOf) {
                            reportedAsOf[follower.feed().position()] = asOf;
                        }})
    {
        follower.setPassive(true);
    }

    net::HttpClient client;
    std::map<std::string, std::string> values;
    TopicPosition lastPosition;
    std::map<TopicPosition, Millis> reportedAsOf; ///< What it reports to others: when the topic ended at a position.
    OperatorsFollower follower;
};

/// Entry VMs of a domain that all know each other.
class OperatorsFollowerTest : public testing::Test
{
protected:
    ~OperatorsFollowerTest() override
    {
        for (const auto &connection : m_listenerConnections) {
            connection->close();
        }
    }

    OperatorsFollowerTest()
    {
        net::Listener probe(m_loop, [](const std::shared_ptr<net::Connection> &) {});
        EXPECT_FALSE(probe.open("127.0.4.1", 0));
        m_port = probe.port();
        probe.close();
        for (int n = 1; n <= EntryVms; ++n) {
            m_ips.push_back("127.0.4." + std::to_string(n));
        }
        for (const std::string &ip : m_ips) {
            if (sourcesInTree(ip, m_ips).empty()) {
                m_root = ip;
            }
        }
    }

    Vm &add(const std::string &ip, lab::StoreStandIn &store, bool entryVm = true)
    {
        Vm &vm = *(m_vms[ip] = std::make_unique<Vm>(m_loop, ip, m_port, store.port(), entryVm, m_stateTime));
        EXPECT_FALSE(vm.follower.start());
        vm.follower.setEntryVms(m_ips);
        return vm;
    }

    void addAll()
    {
        append("config", "1");
        for (const std::string &ip : m_ips) {
            add(ip, m_store);
        }
        ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    }

    /// Replaces the VM that reads the store for the others by a plain listener.
    /// @param onData is called when the listener receives data.
    void replaceRoot(const std::function<void(net::Connection &)> &onData)
    {
        replaceRootWith([onData](net::Connection &connection, std::string_view) { onData(connection); });
    }

    /// Does so with what the listener receives.
    void replaceRootWith(const std::function<void(net::Connection &, std::string_view)> &onData)
    {
        m_vms.erase(m_root);
        m_loop.run_for(Millis{20}); // The other VMs notice that their connections are closed.
        m_listener =
            std::make_unique<net::Listener>(m_loop, [this, onData](const std::shared_ptr<net::Connection> &connection) {
                connection->start(
                    {.data = [raw = connection.get(), onData](std::string_view bytes) { onData(*raw, bytes); },
                     .closed =
                         [](net::CloseReason) {
                         }});
                m_listenerConnections.push_back(connection);
            });
        ASSERT_FALSE(m_listener->open(m_root, m_port));
    }

    /// Replaces the VM that reads the store for the others by a listener that responds to each request at once.
    void replaceRoot(const std::function<peer::RecordsUpdate(const peer::RecordsRequest &)> &respond)
    {
        replaceRootWith([respond, reader = std::make_shared<peer::FrameReader>()](net::Connection &connection,
                                                                                  std::string_view bytes) {
            reader->add(bytes);
            for (auto body = reader->next(); body; body = reader->next()) {
                const auto message = peer::decodeRecords(*body);
                ASSERT_TRUE(message);
                connection.write(encode(respond(std::get<peer::RecordsRequest>(*message))));
            }
        });
    }

    /// Returns an entry VM that asks nobody but the root.
    std::string childOfRoot() const
    {
        return *std::find_if(m_ips.begin(), m_ips.end(), [this](const std::string &ip) {
            return sourcesInTree(ip, m_ips) == std::vector<std::string>{m_root};
        });
    }

    /// Returns the update of a VM that knows the first records of the key "config", of values 1, 2 and so on.
    static peer::RecordsUpdate updateUpTo(std::int64_t end, const peer::RecordsRequest &request)
    {
        peer::RecordsUpdate out{.sequence = request.sequence, .end = {.era = 0, .offset = end}, .records = {}};
        if (out.end > request.from) {
            out.records.push_back({.key = "config", .value = std::to_string(end), .position = advancedBy(out.end, -1)});
        }
        return out;
    }

    /// Writes to both stores.
    void append(const std::string &key, const std::string &value)
    {
        m_store.append(key, value);
        m_otherStore.append(key, value);
        ++m_end;
    }

    /// Reports the end of the topic to all VMs, as loads do.
    void reportWatermarks()
    {
        for (const auto &[ip, vm] : m_vms) {
            const TopicPosition end{.era = m_era, .offset = m_end};
            vm->follower.applyWatermark({.end = end, .asOf = bootMillis()}, end);
        }
    }

    /// Reports the end of the topic again and again, until all VMs have a value.
    /// @return whether they have it in time.
    bool reportUntilAllHave(const std::string &value, Millis most)
    {
        for (const Millis end = steadyMillis() + most; !allHave(value) && steadyMillis() < end;) {
            reportWatermarks();
            m_loop.run_for(Millis{50});
        }
        return allHave(value);
    }

    /// Validates the state of all VMs until the store holds no read of any.
    void letReadsEnd()
    {
        for (const Millis end = steadyMillis() + m_stateTime; steadyMillis() < end;) {
            reportWatermarks();
            m_loop.run_for(Millis{100});
        }
    }

    /// Returns how often the store has sent a desired state.
    int copiesSent()
    {
        return m_store.recordsSent[{std::string(platform::OperatorsTopic), "config"}];
    }

    bool allHave(const std::string &value) const
    {
        return std::all_of(m_vms.begin(), m_vms.end(), [&](const auto &item) {
            const auto it = item.second->values.find("config");
            return it != item.second->values.end() && it->second == value;
        });
    }

    bool runUntil(const std::function<bool()> &holds, Millis most = Millis{5000})
    {
        const Millis end = steadyMillis() + most;
        while (!holds() && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        return holds();
    }

    /// Lets one VM go on with two sources, which receive requests and never respond.
    Vm &isolateBehindSilentSources()
    {
        std::string ip;
        for (const std::string &candidate : m_ips) {
            ip = sourcesInTree(candidate, m_ips).size() == 2 ? candidate : ip;
        }
        std::erase_if(m_vms, [&](const auto &item) { return item.first != ip; });
        for (const std::string &source : sourcesInTree(ip, m_ips)) {
            const auto listener =
                std::make_shared<net::Listener>(m_loop, [this](const std::shared_ptr<net::Connection> &connection) {
                    connection->start({.data = [](std::string_view) {},
                                       .closed =
                                           [](net::CloseReason) {
                                           }});
                    m_listenerConnections.push_back(connection);
                });
            EXPECT_FALSE(listener->open(source, m_port));
            m_silentSources.push_back(listener);
        }
        return *m_vms.at(ip);
    }

    static constexpr int EntryVms = 8;
    /// Copies of a state that may cross the link to the store for a domain whose first reader is late, whatever the
    /// number of its VMs.
    static constexpr int MostCopies = 4;
    Millis m_stateTime = StateTime;
    asio::io_context m_loop;
    lab::StoreStandIn m_store{m_loop};
    lab::StoreStandIn m_otherStore{
        m_loop}; ///< Holds the same records; read by VMs that are cut off without the others.
    std::uint16_t m_port = 0;
    std::vector<std::string> m_ips;
    std::string m_root; ///< The root of the tree, which reads the store for the others.
    std::map<std::string, std::unique_ptr<Vm>> m_vms;
    std::int64_t m_end = 0;
    std::int64_t m_era = 0;
    std::unique_ptr<net::Listener> m_listener;
    std::vector<std::shared_ptr<net::Listener>> m_silentSources;
    std::vector<std::shared_ptr<net::Connection>>
        m_listenerConnections; ///< Connections to the listener in place of the root.
};

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
