// Which targets get requests while listings are removed and the store can't be read.

#include "front_fixture.h"
#include "platform/log_capture.h"

#include <limits>

namespace ibislock::front
{

namespace
{

/// The drain time of `settingsFor`.
constexpr Millis DrainTime{2000};

TEST_F(FrontTest, LogsThatATargetWithoutListingIsUsed)
{
    constexpr Millis Outage{4000}; // Listings may expire in it.
    list(m_first);
    start();
    m_store.silent = true;
    runFor(Outage / 2);
    lab::LogCapture log;
    unlist(m_first);
    runFor(Outage / 2);
    m_store.silent = false;
    const Millis end = steadyMillis() + Millis{5000};
    while (timesRead(m_first) < 2 && steadyMillis() < end) {
        runFor(Millis{20});
    }
    runFor(Millis{100});
    EXPECT_EQ(call(request("/often/x")).body, "from i-1");
    std::vector<std::string> lines = log.take("A target's listing was removed.");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_TRUE(lab::hasField(lines[0], "in_use", "1")) << lines[0];
    lines = log.take("A request was answered.");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_FALSE(lab::hasField(lines[0], "unlisted_ms", "-1")) << lines[0];
    EXPECT_NE(lines[0].find(" unlisted_ms="), std::string::npos) << lines[0];
}

TEST_F(FrontTest, LogsThatTheTargetOfARequestIsListed)
{
    list(m_first);
    start();
    lab::LogCapture log;
    EXPECT_EQ(call(request("/often/x")).body, "from i-1");
    const std::vector<std::string> lines = log.take("A request was answered.");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_TRUE(lab::hasField(lines[0], "unlisted_ms", "-1")) << lines[0];
}

// A target that leaves without a report has its listing removed; it was used until 2 s after the VM could read again.
TEST_F(FrontTest, TargetThatLeavesWhileReadsFailGetsNoRequestsAfterTheDrainTime)
{
    constexpr Millis Refusing{1200}; // No listing expires in so short an outage.
    list(m_first);
    list(m_second);
    start();
    m_store.refusals = std::numeric_limits<int>::max();
    runFor(Millis{700}); // The read that is held ends.
    unlist(m_first);
    const Millis removedAt = steadyMillis();
    runFor(Refusing);
    m_store.refusals = 0;
    runFor(removedAt + DrainTime - steadyMillis());
    const std::size_t before = m_first.requests.size();
    while (steadyMillis() < removedAt + DrainTime + Refusing) {
        call(request("/often/x"));
        runFor(Millis{20});
    }
    EXPECT_EQ(m_first.requests.size() - before, 0U);
}

TEST_F(FrontTest, TargetThatMayReturnIsUsedWhileTheStoreIsAwayAgain)
{
    constexpr Millis Outage{3000}; // Listings may expire in it.
    constexpr Millis GracePeriod = serving::ListingGracePeriod;
    list(m_first);
    start();
    m_store.silent = true;
    runFor(Outage / 2);
    unlist(m_first);
    runFor(Outage / 2);
    m_store.silent = false;
    const Millis end = steadyMillis() + Millis{5000};
    while (timesRead(m_first) < 2 && steadyMillis() < end) {
        runFor(Millis{20});
    }
    runFor(Millis{200});
    m_store.silent = true;
    runFor(GracePeriod + Millis{500});
    EXPECT_EQ(call(request("/often/x")).body, "from i-1");
}

} // namespace

} // namespace ibislock::front
