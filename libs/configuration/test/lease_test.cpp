#include "ibislock/configuration/lease.h"

#include <array>
#include <gtest/gtest.h>
#include <set>

namespace ibislock::configuration
{

namespace
{

constexpr LeaseOptions Options{.duration = Millis(2)};

State stateOf(const std::vector<ClaimRecord> &log, std::size_t next)
{
    State state;
    for (std::size_t i = 0; i < next; ++i) {
        fold(state, i, encodeRecord(log[i]));
    }
    return state;
}

TEST(LeaseTest, DoesNotActAfterTheConfirmationExpired)
{
    Lease lease{.vm = "t1", .incarnation = 1};
    applyLogRead(lease, stateOf({{.vm = "t1", .incarnation = 1}}, 1), Millis(10));
    EXPECT_TRUE(mayAct(lease, Options, Millis(11)));
    EXPECT_FALSE(mayAct(lease, Options, Millis(12)));
}

TEST(LeaseTest, NeverActsAgainAfterTheLeaseIsLost)
{
    Lease lease{.vm = "t1", .incarnation = 1};
    const std::vector<ClaimRecord> log{{.vm = "t1", .incarnation = 1},
                                       {.vm = "t1", .incarnation = 2, .replaces = 0},
                                       {.vm = "t1", .incarnation = 1, .replaces = 1}};
    applyLogRead(lease, stateOf(log, 1), Millis(10));
    applyLogRead(lease, stateOf(log, 2), Millis(11));
    applyLogRead(lease, stateOf(log, 3), Millis(12));
    EXPECT_EQ(lease.status, LeaseStatus::Lost);
    EXPECT_FALSE(claimToAppend(lease, stateOf(log, 2)));
    EXPECT_FALSE(mayAct(lease, Options, Millis(12)));
}

/// Model checker that explores every interleaving of two processes that compete for one slot: the old one wants version
/// 1, the new one version 2. Time advances between steps, appends reach the log late or twice, and either process may
/// pause at any point.
class LeaseExplorer
{
public:
    explicit LeaseExplorer(bool engineHonoursTokens)
        : m_engineHonoursTokens(engineHonoursTokens)
    {
    }

    void run()
    {
        World world;
        for (std::size_t i = 0; i < world.processes.size(); ++i) {
            world.processes[i].lease = {.vm = "t1", .incarnation = i + 1};
        }
        explore(world);
    }

    std::size_t states() const
    {
        return m_seen.size();
    }

    std::size_t responses() const
    {
        return m_responses;
    }

private:
    static constexpr int TimeMax = 3;
    static constexpr std::size_t LogMax = 3;

    struct Process
    {
        Lease lease;
        std::optional<ClaimRecord> inFlight; ///< An append without a response; it may reach the log later.
        bool checked = false; ///< The lease was checked, and the command is not sent yet.
        int commands = 0;
        bool knowsLoss = false;
        bool readBack = false;

        auto key() const
        {
            return std::tuple(lease.status, lease.fencingToken, lease.confirmedAt.count(), inFlight.has_value(),
                              inFlight ? inFlight->replaces : std::nullopt, checked, commands, knowsLoss, readBack);
        }
    };

    struct World
    {
        int now = 10;
        std::vector<ClaimRecord> log;
        std::array<Process, 2> processes;
        std::uint64_t engineVersion = 0;
        std::uint64_t engineToken = 0;
    };

    static std::string keyOf(const std::vector<ClaimRecord> &log)
    {
        std::string key;
        for (const ClaimRecord &record : log) {
            key += "|" + std::to_string(record.incarnation) + ":" + textOf(record.replaces);
        }
        return key;
    }

    /// Folds a log; the result is cached by the content of the log.
    const State &stateAfter(const std::vector<ClaimRecord> &log)
    {
        const auto [it, isNew] = m_states.try_emplace(keyOf(log));
        if (isNew) {
            it->second = stateOf(log, log.size());
        }
        return it->second;
    }

    std::string keyOf(const World &world) const
    {
        std::string key = std::to_string(world.now) + "/" + std::to_string(world.engineVersion) + "/"
            + std::to_string(world.engineToken) + keyOf(world.log);
        for (const Process &it : world.processes) {
            std::apply([&key](const auto &...part) { ((key += "," + textOf(part)), ...); }, it.key());
        }
        return key;
    }

    static std::string textOf(LeaseStatus status)
    {
        return std::string(nameOf(LeaseStatusNames, status));
    }

    static std::string textOf(const std::optional<Offset> &offset)
    {
        return offset ? std::to_string(*offset) : "-";
    }

    template <typename Number>
    static std::string textOf(Number number)
    {
        return std::to_string(number);
    }

    void explore(const World &world)
    {
        if (testing::Test::HasFailure() || !m_seen.insert(keyOf(world)).second) {
            return;
        }
        if (world.now < 10 + TimeMax) {
            World next = world;
            ++next.now;
            explore(next);
        }
        for (std::size_t i = 0; i < world.processes.size(); ++i) {
            read(world, i);
            append(world, i);
            deliver(world, i);
            check(world, i);
            sendCommand(world, i);
            readBackAndRespond(world, i);
        }
    }

    void read(World world, std::size_t i)
    {
        Process &process = world.processes[i];
        applyLogRead(process.lease, stateAfter(world.log), Millis(world.now));
        process.knowsLoss = process.lease.status == LeaseStatus::Lost;
        explore(world);
    }

    /// Appends a claim that either reaches the log at once or stays without a response.
    void append(World world, std::size_t i)
    {
        const auto claim = claimToAppend(world.processes[i].lease, stateAfter(world.log));
        if (!claim || world.log.size() >= LogMax) {
            return;
        }
        World late = world;
        late.processes[i].inFlight = *claim;
        explore(late);
        world.log.push_back(*claim);
        explore(world);
    }

    void deliver(World world, std::size_t i)
    {
        if (!world.processes[i].inFlight || world.log.size() >= LogMax) {
            return;
        }
        world.log.push_back(*world.processes[i].inFlight);
        explore(world); // It stays in flight, so that it may be delivered again as a duplicate.
        world.processes[i].inFlight.reset();
        explore(world);
    }

    void check(World world, std::size_t i)
    {
        Process &process = world.processes[i];
        if (process.checked || process.commands > 0 || !mayAct(process.lease, Options, Millis(world.now))) {
            return;
        }
        EXPECT_FALSE(process.knowsLoss) << "a process acts after a read that showed that its lease is lost";
        EXPECT_LT(world.now - process.lease.confirmedAt.count(), Options.duration.count());
        process.checked = true;
        explore(world);
    }

    /// Sends the command for which the lease was checked, however long ago; the process may have paused in between.
    void sendCommand(World world, std::size_t i)
    {
        Process &process = world.processes[i];
        if (!process.checked) {
            return;
        }
        process.checked = false;
        ++process.commands;
        const std::uint64_t token = process.lease.fencingToken + 1;
        if (!m_engineHonoursTokens || token >= world.engineToken) {
            EXPECT_TRUE(!m_engineHonoursTokens || token >= world.engineToken);
            world.engineToken = std::max(world.engineToken, token);
            world.engineVersion = i + 1;
        }
        explore(world);
    }

    /// Reads back which version the engine serves, and then handles a request whose response names the version that
    /// produced
    /// it.
    void readBackAndRespond(World world, std::size_t i)
    {
        Process &process = world.processes[i];
        if (process.commands == 0) {
            return;
        }
        if (!process.readBack) {
            process.readBack = world.engineVersion == i + 1;
            if (process.readBack) {
                explore(world);
            }
            return;
        }
        // The engine may have loaded another version since the read-back; the version in the response decides whether
        // the response is returned.
        const std::uint64_t respondingVersion = world.engineVersion;
        const bool released = respondingVersion == i + 1;
        m_responses += released ? 1 : 0;
        if (m_engineHonoursTokens && process.lease.status == LeaseStatus::Held
            && stateAfter(world.log).claims.at("t1").fencingToken == process.lease.fencingToken) {
            EXPECT_TRUE(released || world.engineToken > process.lease.fencingToken + 1)
                << "an engine that honours fencing tokens reverted the version of the current holder";
        }
    }

    bool m_engineHonoursTokens;
    std::set<std::string> m_seen;
    std::map<std::string, State> m_states;
    std::size_t m_responses = 0;
};

class LeaseExplorerTest : public testing::TestWithParam<bool>
{
};

TEST_P(LeaseExplorerTest, NoInterleavingLetsAProcessActAfterItsLossOrRespondWithAnotherVersion)
{
    LeaseExplorer explorer(GetParam());
    explorer.run();
    EXPECT_GT(explorer.states(), 1000U);
    EXPECT_GT(explorer.responses(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Engines, LeaseExplorerTest, testing::Bool(),
                         [](const auto &it) { return it.param ? "HonourFencingTokens" : "IgnoreFencingTokens"; });

} // namespace

} // namespace ibislock::configuration
