// Entry and target VMs of one failure domain on the users' platform, with stores of their own where a test cuts one
// off.

#include "ibislock/front/daemon.h"
#include "ibislock/net/http_client.h"
#include "ibislock/platform/listings.h"
#include "ibislock/side/daemon.h"
#include "platform/engine_stand_in.h"
#include "platform/store_stand_in.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace ibislock
{

namespace
{

constexpr Millis StateTime{2000};

/// Until all VMs have found a relay and rely on it: a relay that was not ready is asked anew after four seconds.
constexpr Millis RelayTime{6000};

/// A state whose only route is named after its version, so that callers can tell which one is in force.
std::string stateOf(int version)
{
    const std::string prefix = "/v" + std::to_string(version) + "/";
    return nlohmann::json{{"Version", version},
                          {"Routes",
                           {{{"Name", "r"},
                             {"Host", "h"},
                             {"PathPrefix", prefix},
                             {"Kind", "idempotent"},
                             {"TimeoutMs", 700},
                             {"Service", "none"},
                             {"Anonymous", true}}}},
                          {"Services",
                           {{{"Name", "s"},
                             {"Engine",
                              {{"Slots", 16},
                               {"step_ms", 9.0},
                               {"read_per_s", 20700.0},
                               {"Chunks", 8},
                               {"ChunkBytes", 64},
                               {"Models", {{{"Name", "m"}}}}}}}}}}
        .dump();
}

/// A failure domain.
class DisseminationTest : public testing::Test
{
protected:
    DisseminationTest()
    {
        net::Listener probe(m_loop, [](const std::shared_ptr<net::Connection> &) {});
        EXPECT_FALSE(probe.open("127.0.3.1", 0));
        m_port = probe.port();
        probe.close();
    }

    platform::DaemonSettings settingsFor(const std::string &ip, const lab::StoreStandIn &store) const
    {
        platform::DaemonSettings out;
        out.vmName = "vm-" + ip;
        out.ip = ip;
        out.domain = "a";
        out.callers = {.ip = ip, .port = 0};
        out.readiness = {.ip = ip, .port = 0};
        out.firstPeerPort = m_port;
        out.lastPeerPort = static_cast<std::uint16_t>(m_port + 1);
        out.store = {.ip = "127.0.0.1", .port = store.port()};
        out.bounds.stateApplyTime = StateTime;
        out.bounds.drainTimeout = StateTime;
        return out;
    }

    /// Adds an entry VM.
    void addEntry(const lab::StoreStandIn &store)
    {
        const std::string ip = "127.0.3." + std::to_string(100 + m_entries.size());
        m_entries.push_back(std::make_unique<front::FrontDaemon>(
            m_loop, settingsFor(ip, store), front::FrontOptions{.randomSeed = m_entries.size() + 1}));
        m_entryIps.push_back(ip);
        ASSERT_TRUE(m_entries.back()->start());
    }

    /// Ends the process of an entry VM and starts another one.
    void restartEntry(std::size_t entry, const lab::StoreStandIn &store)
    {
        m_entries[entry].reset();
        m_entries[entry] = std::make_unique<front::FrontDaemon>(m_loop, settingsFor(m_entryIps[entry], store),
                                                                front::FrontOptions{.randomSeed = entry + 1});
        ASSERT_TRUE(m_entries[entry]->start());
    }

    /// Adds a target VM with its engine; the first one of a domain passes on what it learns.
    void addTarget(const std::string &ip, const lab::StoreStandIn &store)
    {
        m_engines.push_back(std::make_unique<lab::EngineStandIn>(m_loop, ip, 0));
        platform::DaemonSettings settings = settingsFor(ip, store);
        settings.engine = {.ip = ip, .port = m_engines.back()->port()};
        settings.service = "s";
        settings.linkMbps = 1000;
        m_targets.push_back(std::make_unique<side::SideDaemon>(m_loop, settings, side::SideOptions{}));
        ASSERT_TRUE(m_targets.back()->start());
        append("i-" + ip,
               nlohmann::json{{"Service", "s"},
                              {"Address", ip + ":" + std::to_string(m_engines.back()->port())},
                              {"Zone", "a"},
                              {"Version", "v1"},
                              {"Slots", 16},
                              {"State", "ready"},
                              {"ColdLeftMs", 0},
                              {"Phase", "mixed"},
                              {"Models", nlohmann::json::array()},
                              {"Sequence", 1}}
                   .dump());
    }

    /// Writes a record to both stores.
    void append(const std::string &key, const std::string &value)
    {
        m_store.append(key, value);
        m_otherStore.append(key, value);
    }

    /// Tells whether an entry VM goes by a version: it then knows the route of that one alone, and no target for it.
    bool goesBy(std::size_t entry, int version)
    {
        return statusOf(entry, "/v" + std::to_string(version) + "/") == 503 && statusOf(entry, "/v0/") == 404;
    }

    /// @return the status that a caller gets; 0 for none.
    int statusOf(std::size_t entry, const std::string &path)
    {
        int status = 0;
        bool done = false;
        http::RequestHead head{.method = "GET", .target = path};
        head.headers.add("Host", "h");
        head.headers.add("X-Ibislock-Attempt-Id", "attempt-" + std::to_string(++m_attempts));
        const auto exchange =
            m_client.call(m_entryIps[entry], m_entries[entry]->callerPort(), writeRequest(head, ""), {},
                          [&](net::ExchangeOutcome, const http::ResponseHead &answer, const std::string &) {
                              status = answer.status;
                              done = true;
                          });
        const Millis end = steadyMillis() + Millis{1000};
        while (!done && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        return status;
    }

    /// How often the store has sent a state to those that follow the operators.
    int copiesSent()
    {
        return m_store.recordsSent[{std::string(platform::OperatorsTopic), "config"}];
    }

    bool allGoBy(int version, Millis within)
    {
        const Millis end = steadyMillis() + within;
        while (steadyMillis() < end) {
            bool all = true;
            for (std::size_t n = 0; n < m_entries.size(); ++n) {
                all = all && goesBy(n, version);
            }
            if (all) {
                return true;
            }
            m_loop.run_for(Millis{20});
        }
        return false;
    }

    asio::io_context m_loop;
    lab::StoreStandIn m_store{m_loop};
    lab::StoreStandIn m_otherStore{m_loop}; ///< Holds the same; of VMs that are to be cut off alone.
    net::HttpClient m_client{m_loop};
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<lab::EngineStandIn>> m_engines;
    std::vector<std::unique_ptr<side::SideDaemon>> m_targets;
    std::vector<std::unique_ptr<front::FrontDaemon>> m_entries;
    std::vector<std::string> m_entryIps;
    int m_attempts = 0;
};

TEST_F(DisseminationTest, AStateReachesAnEntryVmThatTheStoreTurnsAway)
{
    append("config", stateOf(1));
    addTarget("127.0.3.1", m_store);
    for (int n = 0; n < 3; ++n) {
        addEntry(m_store);
    }
    addEntry(m_otherStore);
    ASSERT_TRUE(allGoBy(1, Millis{5000}));
    m_loop.run_for(RelayTime);
    m_otherStore.refusals = 1'000'000;
    m_store.append("config", stateOf(2)); // Reads that the other store holds back are not answered either.
    EXPECT_TRUE(allGoBy(2, StateTime));
}

TEST_F(DisseminationTest, NotEachEntryVmOfADomainReadsAStateFromTheStore)
{
    constexpr int EntryVms = 6;
    append("config", stateOf(1));
    addTarget("127.0.3.1", m_store);
    for (int n = 0; n < EntryVms; ++n) {
        addEntry(m_store);
    }
    ASSERT_TRUE(allGoBy(1, Millis{5000}));
    m_loop.run_for(RelayTime);
    const int before = copiesSent();
    append("config", stateOf(2));
    ASSERT_TRUE(allGoBy(2, StateTime));
    m_loop.run_for(StateTime);
    EXPECT_LE(copiesSent() - before, 2) << "one entry VM, and the target VM that passes listings on";
}

// A start of all VMs filled the links from the store with one copy of the state for each; with large states most reads
// timed out and were begun anew, so that whole domains had no state for longer than 15 s.
TEST_F(DisseminationTest, VmsThatStartTogetherDoNotEachReadTheState)
{
    constexpr int EntryVms = 10;
    append("config", stateOf(1));
    for (const char *ip : {"127.0.3.1", "127.0.3.2", "127.0.3.3", "127.0.3.4"}) {
        addTarget(ip, m_store);
    }
    for (int n = 0; n < EntryVms; ++n) {
        addEntry(m_store);
    }
    ASSERT_TRUE(allGoBy(1, Millis{5000}));
    m_loop.run_for(RelayTime);
    EXPECT_LE(copiesSent(), 4);
}

/// How long after the return of a restored store the next state is written.
class RestoredStoreTest : public DisseminationTest, public testing::WithParamInterface<Millis>
{
};

// An offset that was assigned again counted as read: entry VMs stayed on the state of before for good.
TEST_P(RestoredStoreTest, AStateAtTheOffsetOfALostOneTakesEffectOnAllEntryVms)
{
    m_store.era = 1;
    append("config", stateOf(1));
    addTarget("127.0.3.1", m_store);
    addTarget("127.0.3.2", m_store);
    addEntry(m_store);
    addEntry(m_store);
    ASSERT_TRUE(allGoBy(1, Millis{5000}));
    m_loop.run_for(RelayTime);
    const std::size_t copy = m_store.size();
    append("config", stateOf(2));
    append("config", stateOf(3));
    ASSERT_TRUE(allGoBy(3, StateTime));
    m_store.restore(copy);
    append("config", stateOf(3)); // The operators write their newest state again.
    m_loop.run_for(GetParam());
    append("config", stateOf(4));
    EXPECT_TRUE(allGoBy(4, StateTime));
}

INSTANTIATE_TEST_SUITE_P(Pauses, RestoredStoreTest, testing::Values(Millis{0}, Millis{1000}, Millis{4000}));

// An entry VM that started between the return of the store and the operators' next write went by the copy's state.
TEST_F(DisseminationTest, AnEntryVmThatStartsBehindARestoreGoesByTheNewerStateOfOthers)
{
    m_store.era = 1;
    append("config", stateOf(1));
    addTarget("127.0.3.1", m_store);
    addTarget("127.0.3.2", m_store);
    addEntry(m_store);
    addEntry(m_store);
    ASSERT_TRUE(allGoBy(1, Millis{5000}));
    m_loop.run_for(RelayTime);
    const std::size_t copy = m_store.size();
    append("config", stateOf(2));
    append("config", stateOf(3));
    ASSERT_TRUE(allGoBy(3, StateTime));
    m_store.restore(copy);
    m_loop.run_for(StateTime);
    addEntry(m_store);
    m_loop.run_for(StateTime);
    EXPECT_TRUE(allGoBy(3, StateTime));
    // Those that have read it themselves are replaced one after the other.
    for (const std::size_t n : {0U, 1U}) {
        restartEntry(n, m_store);
        m_loop.run_for(StateTime);
        EXPECT_TRUE(allGoBy(3, StateTime));
    }
    append("config", stateOf(3)); // The operators write their newest state again.
    m_loop.run_for(StateTime);
    append("config", stateOf(4));
    EXPECT_TRUE(allGoBy(4, StateTime));
}

// Only entry VMs handed out the state that a restored topic lacks, and a domain may have a single one.
TEST_F(DisseminationTest, TheOnlyEntryVmOfADomainThatStartsBehindARestoreGoesByTheNewerStateOfTargetVms)
{
    m_store.era = 1;
    append("config", stateOf(1));
    addTarget("127.0.3.1", m_store);
    addTarget("127.0.3.2", m_store);
    addTarget("127.0.3.3", m_store);
    addEntry(m_store);
    ASSERT_TRUE(allGoBy(1, Millis{5000}));
    m_loop.run_for(RelayTime);
    const std::size_t copy = m_store.size();
    append("config", stateOf(2));
    append("config", stateOf(3));
    ASSERT_TRUE(allGoBy(3, StateTime));
    m_store.restore(copy);
    m_loop.run_for(StateTime);
    restartEntry(0, m_store);
    m_loop.run_for(StateTime);
    EXPECT_TRUE(allGoBy(3, StateTime));
    append("config", stateOf(3)); // The operators write their newest state again.
    m_loop.run_for(StateTime);
    append("config", stateOf(4));
    EXPECT_TRUE(allGoBy(4, StateTime));
}

// VMs that had not read the restored topic yet took their newest state for one that it holds, and handed out nothing.
TEST_F(DisseminationTest, AnEntryVmThatKnowsOfARestoreBeforeOthersGoesByTheirNewerState)
{
    m_store.era = 1;
    append("config", stateOf(1));
    addTarget("127.0.3.1", m_store);
    addTarget("127.0.3.2", m_store);
    addEntry(m_store);
    addEntry(m_store);
    ASSERT_TRUE(allGoBy(1, Millis{5000}));
    m_loop.run_for(RelayTime);
    const std::size_t copy = m_store.size();
    append("config", stateOf(2));
    append("config", stateOf(3));
    ASSERT_TRUE(allGoBy(3, StateTime));
    m_store.restore(copy);
    restartEntry(0, m_store);
    m_loop.run_for(StateTime);
    EXPECT_TRUE(allGoBy(3, StateTime));
}

} // namespace

} // namespace ibislock
