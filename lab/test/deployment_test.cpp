#include "deployment.h"
#include "load/load.h"

#include <functional>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace ibislock::lab
{

namespace
{

constexpr Millis Patience{30000};
constexpr std::uint64_t ChunkBytes = 64 << 10;
constexpr std::uint64_t VersionBytes = 8 * ChunkBytes;

class DeploymentTest : public testing::Test
{
protected:
    void serve(std::uint64_t ticket, const std::string &version)
    {
        const Digest root = m_deployment.store().addVersion("frost", version, VersionBytes, ChunkBytes, ticket);
        ASSERT_TRUE(m_deployment.fileTicket(m_deployment.ticketFor(ticket, version, root), Patience));
        ASSERT_TRUE(m_deployment.waitUntilServing(root, Patience))
            << "version " << version << " does not serve everywhere";
    }

    void waitFor(const std::function<bool()> &condition)
    {
        const Millis deadline = steadyMillis() + Patience;
        while (!condition() && steadyMillis() < deadline) {
            std::this_thread::sleep_for(Millis(10));
        }
    }

    /// Waits until a load has some answered calls.
    bool waitForAnswers(const Load &load, std::uint64_t answers)
    {
        const Millis deadline = steadyMillis() + Patience;
        while (load.snapshot().answered < answers && steadyMillis() < deadline) {
            std::this_thread::sleep_for(Millis(10));
        }
        return load.snapshot().answered >= answers;
    }

    Deployment m_deployment{{.domains = 2, .entriesPerDomain = 1, .targetsPerDomain = 2}};
};

TEST_F(DeploymentTest, ServesATicketsVersionToCallers)
{
    m_deployment.start();
    serve(1, "1");
    Load load({.entries = m_deployment.callerUrls(), .credential = CallerCredential, .callers = 4});
    load.start();
    EXPECT_TRUE(waitForAnswers(load, 20));
    const LoadResult result = load.finish();
    EXPECT_EQ(result.wrong, 0U);
}

TEST_F(DeploymentTest, MovesToANewVersionUnderLoadWithoutAWrongAnswer)
{
    m_deployment.start();
    serve(1, "1");
    Load load({.entries = m_deployment.callerUrls(), .credential = CallerCredential, .callers = 4});
    load.start();
    EXPECT_TRUE(waitForAnswers(load, 5));
    serve(2, "2");
    EXPECT_TRUE(waitForAnswers(load, load.snapshot().answered + 20));
    EXPECT_EQ(load.finish().wrong, 0U);
    EXPECT_EQ(m_deployment.store().sentBytes(), 2 * VersionBytes);
}

TEST_F(DeploymentTest, ATicketThatOnlyTakesAVmAwayInterruptsNoOther)
{
    m_deployment.start();
    serve(1, "1");
    auto &targets = m_deployment.targets();
    const auto isUpToDate = [&](std::uint64_t ticket) {
        return std::all_of(targets.begin() + 1, targets.end(),
                           [&](const TargetVm &vm) { return vm.daemon->servedTicket() == ticket; });
    };
    waitFor([&] { return isUpToDate(1); });
    const auto activations = targets[1].daemon->counters().value(Counter::Activations);
    auto ticket = nlohmann::json::parse(m_deployment.ticketFor(2, "1", targets[0].engine->root()));
    ticket["scopes"][0]["vms"].erase(0);
    ASSERT_TRUE(m_deployment.fileTicket(ticket.dump(), Patience));
    waitFor([&] { return isUpToDate(2); });
    EXPECT_TRUE(isUpToDate(2)) << "a target does not serve under the new ticket";
    EXPECT_EQ(targets[1].daemon->counters().value(Counter::Activations), activations);
}

TEST_F(DeploymentTest, RefusesATicketWhoseNumberIsTaken)
{
    m_deployment.start();
    serve(1, "1");
    EXPECT_FALSE(m_deployment.fileTicket(m_deployment.ticketFor(1, "other", sha256("other")), Millis(1)));
    EXPECT_TRUE(
        m_deployment.fileTicket(m_deployment.ticketFor(1, "1", m_deployment.targets()[0].engine->root()), Patience));
}

TEST_F(DeploymentTest, ARestartedTargetServesAgain)
{
    m_deployment.start();
    serve(1, "1");
    TargetVm &vm = m_deployment.targets()[0];
    m_deployment.stopTarget(vm);
    m_deployment.startTarget(vm);
    serve(2, "2");
}

} // namespace

} // namespace ibislock::lab
